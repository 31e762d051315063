//! Logging to standard output, as text or JSON.

use std::io::IsTerminal;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::settings::LogFormat;

/// Turns off the web framework's own log lines. It logs each request and warns of each
/// unknown path, and neither is an event of the node.
const DEFAULT_FILTER: &str = "info,rocket=off";
/// Log lines buffered while the reader of the log is slow; about 1 MB.
const MAX_BUFFERED_LINES: usize = 2_000;

/// Starts logging, filtered by `RUST_LOG` if it is set. Dropping the guard flushes the
/// buffered lines.
///
/// A separate thread writes the lines, and lines beyond the buffer are dropped. Otherwise a
/// reader that stops reading would fill the pipe, and the next line would block a thread
/// that answers callers.
pub(crate) fn start_logs(format: LogFormat) -> WorkerGuard {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_ansi(std::io::stdout().is_terminal())
        .with_writer(writer);
    // Fails if logging was started before in this process, as in tests; the first one stays.
    let _ = match format {
        LogFormat::Text => lines.try_init(),
        LogFormat::Json => lines.json().flatten_event(true).try_init(),
    };
    guard
}
