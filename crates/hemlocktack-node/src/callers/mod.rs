//! The callers' side: HTTP in, HTTP out.

mod answer;
mod leaving;
mod observe;
mod request;
mod routes;

pub(crate) use answer::CallerAnswer;
pub(crate) use request::{CONNECTION_HEADERS, CallerRequest, has_key, is_passed_on, read_head};
pub(crate) use routes::routes;
