//! Handover on the successor's side.

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_protocol::{Handover, HandoverAccepted, NodeState};
use hemlocktack_telemetry::{Event, log_event};

use crate::node::Node;

/// Handles a frame of a stopping node and returns the progress of the handover.
///
/// Once it is committed, this node is the home of the tickets. Other nodes learn this from its
/// record; see `Node::own_member`.
pub(crate) fn receive_frame(
    node: &Node,
    from: &NodeIncarnation,
    frame: Handover,
) -> HandoverAccepted {
    let refused = HandoverAccepted {
        home_node_id: frame.home_node_id.clone(),
        home_incarnation: frame.home_incarnation,
        query_id: frame.query_id,
        refused: true,
        ..HandoverAccepted::default()
    };
    if node.state() != NodeState::Ready && !frame.committed {
        return refused;
    }
    let mut table = node.home.table();
    match node
        .incoming_handovers()
        .handle_frame(&mut table, from, frame)
    {
        Ok(accepted) => {
            if accepted.committed {
                log_event!(Event::HandoverTaken, home = accepted.home_node_id, %from);
            }
            accepted
        }
        Err(error) => {
            log_event!(Event::HandoverRefused, %from, %error);
            refused
        }
    }
}
