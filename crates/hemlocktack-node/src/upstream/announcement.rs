//! An upstream's announcement.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer};

/// What an upstream announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Announcement {
    pub(crate) address: SocketAddr,
    /// Requests that it handles concurrently.
    pub(crate) slots: u32,
    /// Connections that it accepts.
    pub(crate) connections: u32,
    /// It has just started and is still warming up.
    #[serde(default)]
    pub(crate) cold: bool,
    /// Path at which it reports its load, which is only a hint.
    #[serde(default)]
    pub(crate) load_path: Option<String>,
    /// Identifies the upstream's process, if it reports that. What it says in its answers is known
    /// beyond a restart of its node only if it does.
    #[serde(default, deserialize_with = "read_start")]
    pub(crate) upstream_start: Option<Arc<str>>,
    /// When that process began, if its interface reports that.
    #[serde(skip)]
    pub(crate) started_unix_ms: Option<u64>,
    /// Number of upstream processes that this node has had so far. A later process may reuse the
    /// identifier of an earlier one.
    #[serde(skip)]
    pub(crate) start_number: u64,
}

fn read_start<'de, D: Deserializer<'de>>(value: D) -> Result<Option<Arc<str>>, D::Error> {
    Ok(Option::<String>::deserialize(value)?.map(Arc::from))
}
