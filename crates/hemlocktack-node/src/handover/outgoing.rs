//! Handover on the stopping node's side.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::handover::{HandoverProgress, OutgoingHandover};
use hemlocktack_protocol::{Handover, NodeState, frame};

use crate::links::Peer;
use crate::node::{Node, NodeLocation};

/// Timeout for the acceptance of a frame, which has a quarter of a megabyte at most. After it,
/// another successor is tried.
const FRAME_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next round of offers if no known node accepts.
const OFFER_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time limit for the whole handover; full tables take a few hundred frames. A node that finds no
/// successor within this time leaves, and the outcome of its tickets is `unknown` from then on.
pub(crate) const TIME_LIMIT: Duration = Duration::from_secs(10);
/// How long to wait for a successor if there is none, as when the last node of a service stops.
const LAST_OF_SERVICE_WAIT: Duration = Duration::from_secs(1);

/// Another node of the service that may take over.
struct Successor {
    identity: NodeIncarnation,
    peer: Peer,
}

/// Hands over all tickets and returns the successor; `None` if no successor confirmed it.
pub(crate) async fn send_tickets(node: &Arc<Node>) -> Option<NodeIncarnation> {
    let mut leaving = OutgoingHandover::begin(&mut node.home.table());
    let begun = Instant::now();
    while begun.elapsed() < TIME_LIMIT {
        let successors = successors(node);
        if successors.is_empty() && begun.elapsed() > LAST_OF_SERVICE_WAIT {
            return None;
        }
        for successor in successors {
            let required_successor = leaving.successor();
            if required_successor.is_some_and(|required| *required != successor.identity) {
                continue;
            }
            if offer(node, &mut leaving, &successor).await {
                return Some(successor.identity);
            }
            leaving.abandon();
        }
        tokio::time::sleep(OFFER_RETRY_PAUSE).await;
    }
    None
}

/// Returns the possible successors, in an order that differs per node, so that nodes that stop
/// together do not all choose the same one.
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
                identity: peer.identity.clone(),
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
    let mut frames = leaving.offer(&successor.identity);
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

/// Sends one frame; `None` if this incarnation of the successor did not answer.
async fn send(
    node: &Arc<Node>,
    leaving: &mut OutgoingHandover,
    successor: &Successor,
    part: Handover,
) -> Option<HandoverProgress> {
    let deadline = Instant::now() + FRAME_TIMEOUT;
    let question = |query_id| frame::Body::Handover(Handover { query_id, ..part });
    let answer = node
        .links
        .query_incarnation(
            &successor.peer,
            successor.identity.incarnation,
            deadline,
            question,
        )
        .await?;
    let frame::Body::HandoverAccepted(accepted) = answer else {
        return None;
    };
    Some(leaving.handle_accepted(&successor.identity, &accepted))
}
