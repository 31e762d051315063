//! Observability for operators: logs, metrics, traces, status.

mod entry_counts;
mod histogram;
mod log_rate_limiter;
mod log_throttle;
mod logs;
mod metrics;
mod monitor;
mod status;
mod traces;
mod waits;

pub(crate) use entry_counts::EntryCounts;
pub(crate) use log_rate_limiter::LogRateLimiter;
pub(crate) use log_throttle::LogThrottle;
pub(crate) use logs::start_logs;
pub(crate) use metrics::metrics_text;
pub(crate) use monitor::monitor;
pub(crate) use status::status;
pub(crate) use traces::{CallSpan, request_line, spans_of, start_tracer};
pub(crate) use waits::Waits;
