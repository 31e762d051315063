//! Log lines as text or JSON.

use std::io::IsTerminal;

use tracing_subscriber::EnvFilter;

use crate::settings::LogFormat;

/// The web framework writes lines for each request, and warns of each path that
/// it does not know: neither is an event of the node.
const DEFAULT_FILTER: &str = "info,rocket=off";

/// Starts the log; `RUST_LOG` chooses what is written, if it is set.
pub(crate) fn start_logs(format: LogFormat) {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    // A second start in one process, as in tests, keeps the first log.
    let _ = match format {
        LogFormat::Text => lines.try_init(),
        LogFormat::Json => lines.json().try_init(),
    };
}
