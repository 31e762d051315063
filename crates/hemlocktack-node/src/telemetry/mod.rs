//! What operators see: logs, metrics, traces, status.

mod logs;
mod metrics;
mod status;

pub(crate) use logs::start_logs;
pub(crate) use metrics::metrics_text;
pub(crate) use status::status;
