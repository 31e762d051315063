//! Identity of one run of a node's process.

use derive_more::Display;
use hemlocktack_protocol::{Incarnation, NodeId};

/// A node's id together with its incarnation, which identifies one run of its process.
///
/// Guarantees are tied to an incarnation because a node keeps its state in memory only: after a
/// restart the same id knows nothing of the calls it started before.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{node_id}#{incarnation:016x}")]
pub struct NodeIncarnation {
    /// Node id from the settings.
    pub node_id: NodeId,
    /// Random number drawn when the process starts.
    pub incarnation: Incarnation,
}

impl NodeIncarnation {
    /// Creates the identity from a node id and an incarnation.
    pub fn new(node_id: impl Into<NodeId>, incarnation: Incarnation) -> NodeIncarnation {
        NodeIncarnation {
            node_id: node_id.into(),
            incarnation,
        }
    }
}
