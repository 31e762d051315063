//! The way of a call: from a caller to a node beside an upstream and back.
//!
//! Caller side: [`handle_request`] classifies a call, places it and stays with it until
//! its end is known. Upstream side: [`receive`] admits a call, runs it and
//! answers with what became of it.

mod admission_queue;
mod classify;
mod context;
mod deliver;
mod ends;
mod enter;
mod home;
mod home_table;
mod open_send;
mod panics;
mod place;
mod receive;
mod run;
mod send_record;
mod service_directory;
#[cfg(test)]
mod tests;
mod ticketed;
mod tries;

pub(crate) use admission_queue::AdmissionQueue;
pub(crate) use classify::{ClassifiedCall, classify, fingerprint, work_kind_of};
pub(crate) use context::{ContextTable, RunningCall, objective_of};
pub(crate) use ends::{not_run_answer, retry_after, unknown_answer};
pub(crate) use enter::{handle_request, refused_answer};
pub(crate) use home_table::TicketHome;
pub(crate) use panics::catch_panic;
pub(crate) use place::run_with_retries;
pub(crate) use receive::receive;
pub(crate) use send_record::{PendingSend, SendRecord};
pub(crate) use service_directory::ServiceDirectory;
