//! Log lines as text or JSON on standard output.

use std::io::IsTerminal;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::settings::LogFormat;

/// The web framework writes lines for each request, and warns of each path that
/// it does not know: neither is an event of the node.
const DEFAULT_FILTER: &str = "info,rocket=off";
/// Lines that may wait for a reader of the log; about a megabyte.
const WAITING_LINES_MAX: usize = 2_000;

/// Starts the log; `RUST_LOG` chooses what is written, if it is set. What waits
/// is written when the guard goes.
///
/// Failure: whoever reads the log stops reading, the pipe fills, and the next
/// line blocks the thread that answers callers. A thread of its own writes, and
/// what it cannot get rid of in time is dropped.
pub(crate) fn start_logs(format: LogFormat) -> WorkerGuard {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES_MAX)
        .lossy(true)
        .finish(std::io::stdout());
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_ansi(std::io::stdout().is_terminal())
        .with_writer(writer);
    // A second start in one process, as in tests, keeps the first log.
    let _ = match format {
        LogFormat::Text => lines.try_init(),
        LogFormat::Json => lines.json().flatten_event(true).try_init(),
    };
    guard
}
