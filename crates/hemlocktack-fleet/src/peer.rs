//! One start of one node.

use derive_more::Display;
use hemlocktack_protocol::{Incarnation, NodeId};

/// A node's name together with its incarnation: what a promise can be bound to.
///
/// A name alone outlives the memory behind it; after a restart the same name
/// knows nothing of what it started before.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{node_id}#{incarnation:016x}")]
pub struct NodeIncarnation {
    /// Name from the node's settings.
    pub node_id: NodeId,
    /// Random number of this start.
    pub incarnation: Incarnation,
}

impl NodeIncarnation {
    /// Pairs a name with an incarnation.
    pub fn new(node_id: impl Into<NodeId>, incarnation: Incarnation) -> NodeIncarnation {
        NodeIncarnation {
            node_id: node_id.into(),
            incarnation,
        }
    }
}
