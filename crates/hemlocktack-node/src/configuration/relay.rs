//! Sends the active configuration to nodes that do not have it.

use hemlocktack_protocol::{ConfigurationDocument, ConfigurationPull, Incarnation};

use crate::freshness;
use crate::node::Node;

/// Answers a pull with the active document if it is newer than the requester's, otherwise
/// with the generation only, which tells the requester that it is up to date.
pub(crate) fn answer_pull(
    node: &Node,
    pull: ConfigurationPull,
    asker: Incarnation,
) -> ConfigurationDocument {
    // Read before the configuration, which is then at least as new as the proof says.
    let freshness = freshness::report_for(node, asker);
    let active = node.active_configuration();
    let Some(active) = active else {
        return ConfigurationDocument {
            query_id: pull.query_id,
            ..ConfigurationDocument::default()
        };
    };
    if active.generation <= pull.generation_in_force {
        return ConfigurationDocument {
            generation: active.generation,
            query_id: pull.query_id,
            freshness,
            ..ConfigurationDocument::default()
        };
    }
    ConfigurationDocument {
        query_id: pull.query_id,
        freshness,
        ..active.stored.clone()
    }
}
