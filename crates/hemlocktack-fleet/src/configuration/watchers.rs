//! Which nodes watch the platform.

use hemlocktack_protocol::stable_hash;

/// Whether a node is among the few of its data centre that watch the platform.
///
/// A waiting watch counts against the platform's rate, so one for each node
/// does not fit a growing fleet. The watchers are the lowest-ranked live nodes
/// by hash: arithmetic and no agreement. Nodes whose views differ may watch in
/// too great a number for a while, which costs a call and nothing else; too few
/// cannot last, since the lowest-ranked node of any view takes itself for a
/// watcher.
pub fn watches_platform<'a>(
    own_node_id: &str,
    live_others: impl Iterator<Item = &'a str>,
    watchers: usize,
) -> bool {
    let rank = |node_id: &str| stable_hash(&[b"watcher", node_id.as_bytes()]);
    let own = (rank(own_node_id), own_node_id);
    let lower = live_others.filter(|other| (rank(other), *other) < own);
    lower.count() < watchers
}
