//! Reports of this node's proof to other nodes.

use hemlocktack_protocol::{FreshnessReport, Incarnation};

use super::boot_clock::boot_time;
use crate::node::Node;

/// Returns what this node can prove to another one; `None` if it can prove nothing.
pub(crate) fn report_for(node: &Node, asker: Incarnation) -> Option<FreshnessReport> {
    let proof = node.freshness_proof()?;
    let asker_is_recorded = node.store_questions.contents().is_recorded(asker);
    Some(proof.report(asker_is_recorded, boot_time()))
}
