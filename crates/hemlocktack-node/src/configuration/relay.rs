//! Handing the configuration in force to nodes that lack it.

use hemlocktack_protocol::{ConfigurationDocument, ConfigurationPull};

use crate::node::Node;

/// The document in force here, if it is newer than what the asker has.
pub(crate) fn newer_than(node: &Node, pull: ConfigurationPull) -> Option<ConfigurationDocument> {
    let in_force = node.configuration_in_force()?;
    let is_newer = in_force.generation > pull.generation_in_force;
    is_newer.then(|| ConfigurationDocument {
        query_id: pull.query_id,
        ..in_force.stored.clone()
    })
}
