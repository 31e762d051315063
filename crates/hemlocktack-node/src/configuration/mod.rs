//! Determines the active configuration and shares it with peers.

mod follow;
mod relay;
mod store_access;

#[cfg(test)]
pub(crate) use follow::CallEnd;
pub(crate) use follow::{Event, candidate, pull_from_peer, start};
pub(crate) use relay::answer_pull;
pub(crate) use store_access::{StoreAccess, StoreCall, StoreCallKind};
