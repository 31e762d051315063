//! What an upstream says of itself.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

/// An upstream's word about itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Announcement {
    pub(crate) address: SocketAddr,
    /// Requests that it works on at once.
    pub(crate) slots: u32,
    /// Connections that it accepts.
    pub(crate) connections: u32,
    /// It has just started and is slower than it will be.
    #[serde(default)]
    pub(crate) cold: bool,
    /// Where it tells its load; a hint.
    #[serde(default)]
    pub(crate) load_path: Option<String>,
    /// Names its start, with an interface that has such names.
    #[serde(skip)]
    pub(crate) upstream_start: Option<Arc<str>>,
    /// Counts the starts that the node has had beside it: a later start may have
    /// the name of an earlier one.
    #[serde(skip)]
    pub(crate) start_number: u64,
}
