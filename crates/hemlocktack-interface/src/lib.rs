//! Wire formats of a deployment's callers, upstreams and operators, as tables of functions.
//!
//! The node makes all decisions; an [`Interface`] only translates. It has no state, reads no clock
//! and opens no connection. Each function converts between a message of the deployment and one of
//! the project's types, so that it can be tested with tables.

mod announcements;
mod callers;
mod upstreams;

pub use announcements::{AnnouncedState, AnnouncementCodec, UpstreamMessage, UpstreamReport};
pub use callers::{CallerCodec, Credential, ErrorResponse, IncomingRequest};
pub use upstreams::{AnswerCheck, Health, UpstreamCodec};

use hemlocktack_config::Document;
use hemlocktack_platform::StoreCodec;

/// The wire formats of one deployment.
#[derive(Clone, Copy)]
pub struct Interface {
    /// Requests of callers and responses to them.
    pub callers: CallerCodec,
    /// Requests to the node's upstream and its responses.
    pub upstreams: UpstreamCodec,
    /// Announcements of upstreams and readiness probes.
    pub announcements: AnnouncementCodec,
    /// Objects in the platform's store.
    pub store: StoreCodec,
    /// Parses the stored text of a configuration; the error describes each problem and its place.
    pub read_configuration: fn(&str) -> Result<Document, String>,
}
