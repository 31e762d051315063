//! Quotas of client accounts: tokens for the requests that enter here, and the tokens that this
//! node grants to others.

mod acquire;
mod answer;
mod exchange;
mod state;
mod waiters;

pub(crate) use acquire::{HeldToken, acquire};
pub(crate) use answer::answer_report;
pub(crate) use exchange::start;
pub(crate) use state::Quotas;
