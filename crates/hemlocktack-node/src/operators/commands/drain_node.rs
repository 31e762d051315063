//! `DrainNode`: take a node out of service without cutting off a call.

use hemlocktack_protocol::{
    DrainNodeRequest, DrainNodeResponse, DrainOrder, Member, NodeState, OperatorErrorCode, frame,
};
use hemlocktack_telemetry::{Event, log_event};

use crate::node::Node;
use crate::operators::fan_out::ask;
use crate::operators::{Failure, Result};

/// Orders the drain and does not wait for its end. A node that drains already,
/// or has left, is told so again: repeating is safe.
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
        let message = format!("no node {node_id:?} is known here; see `nodes`");
        return Err(Failure::new(OperatorErrorCode::UnknownNode, message));
    };
    if member.state() == NodeState::Left {
        return Ok(answer(&node_id, NodeState::Left));
    }
    order(node, member).await?;
    Ok(answer(&node_id, NodeState::Draining))
}

async fn order(node: &Node, member: &Member) -> Result<()> {
    let question = |query_id| frame::Body::DrainOrder(DrainOrder { query_id });
    match ask(node, member, question).await {
        Some(frame::Body::DrainOrderAccepted(_)) => Ok(()),
        _ => {
            let message = format!(
                "{} did not confirm; it may drain all the same: see `nodes`, or repeat",
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
