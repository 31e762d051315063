//! The upstream beside this node: its announcements and the calls to it.

mod announce;
mod any_client;
mod client;
mod connections;
mod interface_client;
mod load;
mod starts;

pub(crate) use announce::{Announcement, RENEW_EVERY, RENEWALS_MISSED_MAX, routes};
pub(crate) use any_client::{UpstreamClient, UpstreamSend};
pub(crate) use client::UpstreamEnd;
pub(crate) use load::follow_load;
pub(crate) use starts::UpstreamStarts;
