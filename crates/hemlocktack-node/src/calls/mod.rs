//! Call processing: from a caller's request to a node next to an upstream and back.
//!
//! On the caller side, [`handle_request`] classifies a call, selects a node for it and waits
//! until its outcome is known. On the upstream side, [`receive`] admits a call, runs it and
//! returns its outcome.
//!
//! A call that an upstream makes while it runs another call is a child call; the other one is
//! its parent. A call without a parent is a root request.

mod admission_queue;
mod attempts;
mod awaited;
mod caller_watch;
mod classify;
mod context;
mod deliver;
mod entry;
mod home;
mod home_table;
mod in_flight_send;
mod outcomes;
mod panics;
mod place;
mod receive;
mod run;
mod send_progress;
mod send_record;
mod service_directory;
#[cfg(test)]
mod tests;
mod ticketed;

pub(crate) use admission_queue::AdmissionQueue;
pub(crate) use awaited::Awaited;
pub(crate) use caller_watch::CallerWatch;
pub(crate) use classify::{
    ClassifiedCall, DEFAULT_TIMEOUT, class_rank_of, classify, fingerprint, work_kind_of,
};
pub(crate) use context::{ContextTable, RunningCall, objective_of};
pub(crate) use entry::{handle_request, refused_answer};
pub(crate) use home_table::TicketHome;
pub(crate) use outcomes::{not_run_answer, retry_after, unknown_answer};
pub(crate) use panics::catch_panic;
pub(crate) use place::run_with_retries;
pub(crate) use receive::{receive, refused_by_link};
pub(crate) use send_progress::SendProgress;
pub(crate) use send_record::{PendingSend, SendRecord};
pub(crate) use service_directory::ServiceDirectory;
