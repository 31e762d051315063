//! What operators see: logs, metrics, traces, status.

mod entry_counts;
mod histogram;
mod line_budget;
mod log_limit;
mod logs;
mod metrics;
mod monitor;
mod status;
mod traces;
mod waits;

pub(crate) use entry_counts::EntryCounts;
pub(crate) use line_budget::LineBudget;
pub(crate) use log_limit::LogLimit;
pub(crate) use logs::start_logs;
pub(crate) use metrics::metrics_text;
pub(crate) use monitor::monitor;
pub(crate) use status::status;
pub(crate) use traces::{ObservedSpan, request_line, spans_of, start_tracer};
pub(crate) use waits::Waits;
