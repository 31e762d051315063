//! The upstream beside this node: its announcements and the calls to it.

mod announce;
mod announcement;
mod any_client;
mod client;
mod connections;
mod interface_client;
mod load;
mod send;
mod starts;

pub(crate) use announce::{MAX_MISSED_RENEWALS, RENEWAL_INTERVAL, routes};
pub(crate) use announcement::Announcement;
pub(crate) use any_client::UpstreamClient;
pub(crate) use load::poll_load;
pub(crate) use send::{UpstreamOutcome, UpstreamRequest};
pub(crate) use starts::{MessageOrigin, UpstreamStarts};
