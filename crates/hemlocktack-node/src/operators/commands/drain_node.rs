//! `DrainNode`: takes a node out of service without interrupting calls.

use hemlocktack_protocol::{
    DrainNodeRequest, DrainNodeResponse, DrainOrder, Member, NodeState, OperatorErrorCode, frame,
};
use hemlocktack_telemetry::{Event, log_event};

use crate::node::Node;
use crate::operators::fan_out::query_one;
use crate::operators::{Failure, Result};

/// Starts the drain without waiting for its end. The command is idempotent: for a node that
/// is already draining or has left, the state is reported again.
pub(in crate::operators) async fn run(
    node: &Node,
    request: DrainNodeRequest,
) -> Result<DrainNodeResponse> {
    let node_id = request.node_id;
    if *node_id == *node.identity.node_id {
        node.request_stop();
        return Ok(answer(&node_id, NodeState::Draining));
    }
    let members = node.members();
    let Some(member) = members.iter().find(|member| member.node_id == node_id) else {
        let message = format!("this node knows no node {node_id:?}; see `nodes`");
        return Err(Failure::new(OperatorErrorCode::UnknownNode, message));
    };
    if member.state() == NodeState::Left {
        return Ok(answer(&node_id, NodeState::Left));
    }
    send_order(node, member).await?;
    Ok(answer(&node_id, NodeState::Draining))
}

async fn send_order(node: &Node, member: &Member) -> Result<()> {
    let query = |query_id| frame::Body::DrainOrder(DrainOrder { query_id });
    match query_one(node, member, query).await {
        Some(frame::Body::DrainOrderAccepted(_)) => Ok(()),
        _ => {
            let message = format!(
                "{} did not confirm the order, but may be draining; check `nodes` or repeat the command",
                member.node_id
            );
            Err(Failure::new(OperatorErrorCode::NodeUnreachable, message))
        }
    }
}

fn answer(node_id: &str, state: NodeState) -> DrainNodeResponse {
    log_event!(Event::OperatorCommand, command = "drain", node = node_id);
    DrainNodeResponse {
        state: state.into(),
    }
}
