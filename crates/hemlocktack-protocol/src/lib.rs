//! Schema, generated messages and basic types that all packages share.
//!
//! Nothing here does I/O. The code in `src/generated/` is generated from the files in `schema/`; it
//! is committed, so that the build needs no generator.

mod boot_time;
mod generated;
mod headers;
mod ids;
mod load_report;
mod notice;
mod operators;
mod outcome;
mod stable_hash;
mod time;

pub use boot_time::BootTime;
pub use generated::*;
pub use headers::{
    CALLER_KIND_HEADER, CONTEXT_HEADER, IDEMPOTENCY_KEY_HEADER, LEAVING_HEADER, OUTCOME_HEADER,
    RATE_LIMIT_HEADER, REASON_HEADER, RETRY_AFTER_HEADER, TIMEOUT_HEADER, TRACEPARENT_HEADER,
    is_reserved_header,
};
pub use ids::{
    AccountId, CallId, ClassRank, DataCentre, Fingerprint, Generation, Incarnation, NodeId,
    RootRequestId, ServiceName,
};
pub use load_report::{LoadReport, read_load_report};
pub use notice::{AnswerNotice, Statement, read_departure, read_rate_limit};
pub use operators::{OPERATORS_SERVICE, OperatorErrorCode};
pub use outcome::{CallFailure, Refusal};
pub use stable_hash::stable_hash;
pub use time::{parse_duration, whole_micros};
