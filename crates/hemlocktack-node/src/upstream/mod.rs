//! This node's upstream: its announcements and the calls to it.

mod announce;
mod announcement;
mod carried_ids;
mod client;
mod connections;
mod head_watch;
mod interface_client;
mod load;
mod notices;
mod send;
mod starts;
mod upstream_client;

pub(crate) use announce::{MAX_MISSED_RENEWALS, RENEWAL_INTERVAL, routes};
pub(crate) use announcement::Announcement;
pub(crate) use load::poll_load;
pub(crate) use notices::{HeardAnswer, heed_answer, heed_call, says_leaving};
pub(crate) use send::{
    AnswerClaim, ContestedAnswer, UpstreamOutcome, UpstreamRequest, UpstreamResponse,
};
pub(crate) use starts::{MessageOrigin, UpstreamStarts};
pub(crate) use upstream_client::UpstreamClient;
