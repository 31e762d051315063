//! Starts, controls and ends the processes of one test.

mod audit;
mod caller;
mod document;
mod fleet;
mod load;
mod node;
mod operator;
mod process;
mod stand_ins;
mod wait;

pub(crate) use audit::{Booking, assert_outcomes_are_true};
pub(crate) use caller::{Caller, Reply};
pub(crate) use document::{DOCUMENT, document_with_comment};
pub(crate) use fleet::{Fleet, Plan};
pub(crate) use hemlocktack_testkit::next_address;
pub(crate) use load::{Load, book};
pub(crate) use node::{FLEET_KEY, Node, NodeOptions, OPERATOR_TOKEN};
pub(crate) use operator::Operator;
pub(crate) use stand_ins::{PlatformProcess, UpstreamProcess};
pub(crate) use wait::{WAIT_TIMEOUT, wait_until};
