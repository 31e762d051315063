//! How a deployment's callers, upstreams and operators speak, as plain structs
//! of functions.
//!
//! The node decides; an [`Interface`] only translates. It holds no state, reads
//! no clock and opens no connection: each function turns a message of the
//! deployment into a type of ours or the other way round, so that it can be
//! tested with tables.

mod announcements;
mod callers;
mod upstreams;

pub use announcements::{AnnouncedState, AnnouncementCodec, UpstreamMessage, UpstreamReport};
pub use callers::{CallerCodec, ErrorResponse, IncomingRequest};
pub use upstreams::{AnswerCheck, Health, UpstreamCodec};

use hemlocktack_config::Document;
use hemlocktack_platform::StoreCodec;

/// One deployment's way of speaking.
#[derive(Clone, Copy)]
pub struct Interface {
    /// Requests of callers and their answers.
    pub callers: CallerCodec,
    /// Requests to the upstream beside the node and its answers.
    pub upstreams: UpstreamCodec,
    /// What upstreams say of themselves, and what asks whether the node is ready.
    pub announcements: AnnouncementCodec,
    /// Objects in the platform's store.
    pub store: StoreCodec,
    /// Reads the stored text of a configuration; the error says what is wrong
    /// and where.
    pub read_configuration: fn(&str) -> Result<Document, String>,
}
