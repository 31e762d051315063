//! Selection of the nodes that watch the platform.

use hemlocktack_protocol::stable_hash;

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

fn rank(node_id: &str) -> (u64, &str) {
    (stable_hash(&[b"watcher", node_id.as_bytes()]), node_id)
}
