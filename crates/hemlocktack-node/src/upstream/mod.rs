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

pub(crate) use announce::{RENEW_EVERY, RENEWALS_MISSED_MAX, routes};
pub(crate) use announcement::Announcement;
pub(crate) use any_client::UpstreamClient;
pub(crate) use load::follow_load;
pub(crate) use send::{UpstreamEnd, UpstreamSend};
pub(crate) use starts::{Speaker, UpstreamStarts};
