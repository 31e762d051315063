//! Handing the configuration in force to nodes that lack it.

use hemlocktack_protocol::{ConfigurationDocument, ConfigurationPull};

use crate::node::Node;

/// The document in force here if it is newer than what the asker has; else
/// only the generation, so that the asker knows that it lacks nothing.
pub(crate) fn answer_pull(node: &Node, pull: ConfigurationPull) -> ConfigurationDocument {
    let in_force = node.active_configuration();
    let Some(in_force) = in_force else {
        return ConfigurationDocument {
            query_id: pull.query_id,
            ..ConfigurationDocument::default()
        };
    };
    if in_force.generation <= pull.generation_in_force {
        return ConfigurationDocument {
            generation: in_force.generation,
            query_id: pull.query_id,
            ..ConfigurationDocument::default()
        };
    }
    ConfigurationDocument {
        query_id: pull.query_id,
        ..in_force.stored.clone()
    }
}
