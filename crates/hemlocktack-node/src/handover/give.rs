//! The stopping node's side.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::handover::{HandoverProgress, OutgoingHandover};
use hemlocktack_protocol::{Handover, NodeState, frame};

use crate::links::Peer;
use crate::node::{Node, NodeLocation};

/// A part is a quarter of a megabyte at most; a successor that does not accept
/// it within this time is left for another.
const PART_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next offer when none of the known nodes accepts.
const OFFER_PAUSE: Duration = Duration::from_millis(200);
/// Full tables take a few hundred parts; a node that found no successor within
/// this time leaves, and its tickets' outcome is `unknown` from then on.
pub(crate) const TIME_LIMIT: Duration = Duration::from_secs(10);
/// A service whose last node stops has nobody to hand over to.
const LAST_OF_SERVICE_WAIT: Duration = Duration::from_secs(1);

/// Another node of the service, as members know it.
struct Successor {
    name: NodeIncarnation,
    peer: Peer,
}

/// Hands over all tickets; `None` if no successor confirmed that it has them.
pub(crate) async fn send_tickets(node: &Arc<Node>) -> Option<NodeIncarnation> {
    let mut leaving = OutgoingHandover::begin(&mut node.home.table());
    let begun = Instant::now();
    while begun.elapsed() < TIME_LIMIT {
        let successors = successors(node);
        if successors.is_empty() && begun.elapsed() > LAST_OF_SERVICE_WAIT {
            return None;
        }
        for successor in successors {
            let bound_to = leaving.successor();
            if bound_to.is_some_and(|bound_to| *bound_to != successor.name) {
                continue;
            }
            if offer(node, &mut leaving, &successor).await {
                return Some(successor.name);
            }
            leaving.abandon();
        }
        tokio::time::sleep(OFFER_PAUSE).await;
    }
    None
}

/// Those who may take over, in an order of this node's own: nodes that stop
/// together do not all go to the same one.
fn successors(node: &Node) -> Vec<Successor> {
    let Some(view) = node.services.service(&node.settings.service) else {
        return Vec::new();
    };
    let ready = view
        .peers
        .iter()
        .filter(|peer| peer.member.state() == NodeState::Ready && peer.identity != node.identity);
    let mut successors: Vec<_> = ready
        .filter_map(|peer| match node.locate(&peer.member) {
            Some(NodeLocation::Remote(there)) => Some(Successor {
                name: peer.identity.clone(),
                peer: there,
            }),
            _ => None,
        })
        .collect();
    let first = usize::try_from(node.identity.incarnation).unwrap_or_default();
    if !successors.is_empty() {
        let first = first % successors.len();
        successors.rotate_left(first);
    }
    successors
}

async fn offer(node: &Arc<Node>, leaving: &mut OutgoingHandover, successor: &Successor) -> bool {
    let mut frames = leaving.offer(&successor.name);
    loop {
        let mut progress = HandoverProgress::Waiting;
        for frame in frames {
            progress = match send(node, leaving, successor, frame).await {
                Some(HandoverProgress::Refused) | None => return false,
                Some(progress) => progress,
            };
        }
        match progress {
            HandoverProgress::Finished => return true,
            HandoverProgress::Commit(commit) => frames = commit,
            HandoverProgress::Waiting | HandoverProgress::Refused => return false,
        }
    }
}

/// `None`: no answer of this very start of the successor.
async fn send(
    node: &Arc<Node>,
    leaving: &mut OutgoingHandover,
    successor: &Successor,
    part: Handover,
) -> Option<HandoverProgress> {
    let deadline = Instant::now() + PART_TIMEOUT;
    let question = |query_id| frame::Body::Handover(Handover { query_id, ..part });
    let answer = node
        .links
        .query_incarnation(
            &successor.peer,
            successor.name.incarnation,
            deadline,
            question,
        )
        .await?;
    let frame::Body::HandoverAccepted(accepted) = answer else {
        return None;
    };
    Some(leaving.handle_accepted(&successor.name, &accepted))
}
