//! What operators see: logs, metrics, traces, status.

mod entry_counts;
mod histogram;
mod logs;
mod metrics;
mod status;
mod traces;
mod waits;

pub(crate) use entry_counts::EntryCounts;
pub(crate) use logs::start_logs;
pub(crate) use metrics::metrics_text;
pub(crate) use status::status;
pub(crate) use traces::{ObservedSpan, request_line, spans_of, start_tracer};
pub(crate) use waits::Waits;
