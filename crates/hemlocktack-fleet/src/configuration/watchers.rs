//! Selection of the nodes that watch the platform.

use hemlocktack_protocol::{StoreContact, stable_hash};

/// Returns whether a node is one of the few in its data centre that watch the platform.
///
/// An open watch counts against the platform's rate limit, so a watch per node does not scale with
/// the fleet. The watchers are the live nodes with the lowest hash, which each node computes
/// without coordination. While the views of nodes differ, there may be too many watchers, which
/// only costs additional calls. There are never too few for long, because the lowest-ranked node of
/// any view considers itself a watcher.
pub fn watches_platform<'a>(
    own_node_id: &str,
    live_others: impl Iterator<Item = &'a str>,
    watchers: usize,
) -> bool {
    let own = rank(own_node_id);
    let lower = live_others.filter(|other| rank(other) < own);
    lower.count() < watchers
}

/// Returns the nodes that [`watches_platform`] is true for, of all live ones of a data centre.
pub fn platform_watchers<'a>(live: impl Iterator<Item = &'a str>, watchers: usize) -> Vec<&'a str> {
    let mut live: Vec<&str> = live.collect();
    live.sort_by_cached_key(|node_id| rank(node_id));
    live.truncate(watchers);
    live
}

/// Live node of a data centre, and what it says of its access to the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreCandidate<'a> {
    /// The node.
    pub node_id: &'a str,
    /// Whether the store serves it.
    pub contact: StoreContact,
}

/// Returns the nodes of a data centre that call the store for all of them: `wanted` ones that the
/// store does not refuse.
///
/// While the store serves none and refuses some, more nodes try: otherwise a data centre in which
/// the store serves a single node would find it one pair after the other, and learn of a change
/// seconds later. While it refuses all, the lowest-ranked go on trying.
pub fn store_watchers<'a>(
    candidates: impl Iterator<Item = StoreCandidate<'a>>,
    wanted: usize,
) -> Vec<&'a str> {
    const TRIED_PER_REFUSED: usize = 8;
    let (refused, others): (Vec<_>, Vec<_>) =
        candidates.partition(|candidate| candidate.contact == StoreContact::Refused);
    let is_served = |candidate: &StoreCandidate| candidate.contact == StoreContact::Served;
    let count = match others.iter().any(is_served) {
        true => wanted,
        false => wanted + TRIED_PER_REFUSED * refused.len(),
    };
    let ids = |candidates: Vec<StoreCandidate<'a>>| {
        candidates.into_iter().map(|candidate| candidate.node_id)
    };
    match others.is_empty() {
        true => platform_watchers(ids(refused), wanted),
        false => platform_watchers(ids(others), count),
    }
}

fn rank(node_id: &str) -> (u64, &str) {
    (stable_hash(&[b"watcher", node_id.as_bytes()]), node_id)
}
