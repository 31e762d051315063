//! One client account, as the operators declare it.

use hemlocktack_protocol::{AccountId, stable_hash};
use serde::Serialize;

use super::key::KeyDigest;

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClientAccount {
    /// Name by which upstreams know the account.
    pub name: String,
    /// Digests of the keys that its requests may present.
    pub keys: Vec<KeyDigest>,
    /// Importance of its requests, 0 is the most important; goes before that of their routes.
    pub priority: Option<u32>,
    /// How many of its requests may run; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Limit on the requests of one client account, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Quota {
    /// Sustained requests per second.
    pub rate_per_s: u64,
    /// Requests beyond the rate that may run at once after a pause.
    pub burst_requests: u64,
}

impl ClientAccount {
    /// Returns the account's id.
    pub fn id(&self) -> AccountId {
        stable_hash(&[self.name.as_bytes()])
    }
}
