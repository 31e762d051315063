//! HTTP interface for callers.

mod answer;
mod observe;
mod request;
mod routes;
mod tracked_body;

pub(crate) use answer::CallerAnswer;
pub(crate) use request::{
    CONNECTION_HEADERS, CallerRequest, has_idempotency_key, is_forwarded_header, read_head,
};
pub(crate) use routes::routes;
