//! Proof that this node's active configuration is current, and the questions that renew it.

mod ask_store;
mod boot_clock;
mod renew;
mod report;

pub(crate) use ask_store::StoreQuestions;
pub(crate) use boot_clock::boot_time;
pub(crate) use renew::start;
pub(crate) use report::report_for;
