//! The upstream beside this node: its announcements and the calls to it.

mod announce;
mod client;
mod load;

pub(crate) use announce::{Announcement, RENEW_EVERY, RENEWALS_MISSED_MAX, routes};
pub(crate) use client::{UpstreamClient, UpstreamEnd};
pub(crate) use load::follow_load;
