//! One send of a call to the node of a peer, with its share of the retries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::RetryAllowance;
use hemlocktack_protocol::{Answer, Call, CallPurpose, Reason};
use hemlocktack_telemetry::SpanName;
use tokio_util::sync::CancellationToken;

use super::ends::{not_run_answer, unknown_answer};
use super::receive;
use super::service_directory::PeerEntry;
use crate::links::{Peer, SendOutcome};
use crate::node::{Node, NodeLocation};
use crate::telemetry::CallSpan;

/// Kept back from the time left that goes along with a call, so that the
/// receiver's verdict at the deadline reaches the caller before the entry has
/// to answer with less knowledge.
const TIME_FOR_THE_WAY_BACK: Duration = Duration::from_millis(5);

/// What one send came to.
pub(crate) struct Delivery {
    pub(crate) answer: Answer,
    /// The answer is the receiver's own word, not this node's conclusion.
    pub(crate) is_receivers_word: bool,
}

/// Gives retries away with the call and takes the unspent rest back. A call
/// that came to no answer gives nothing back: it may have spent all.
pub(crate) async fn send_with_allowance(
    node: &Arc<Node>,
    peer: &PeerEntry,
    mut call: Call,
    deadline: Instant,
    allowance: &RetryAllowance,
) -> Delivery {
    let given = allowance.grant_to_child();
    call.retries_given = given;
    call.time_left_us = time_left_us(deadline);
    let delivery = match node.locate(&peer.member) {
        Some(NodeLocation::Local) => Delivery {
            answer: receive_here(node, call).await,
            is_receivers_word: true,
        },
        Some(NodeLocation::Remote(peer)) => send_over_link(node, &peer, call, deadline).await,
        None => never_arrived(call.purpose(), given, Reason::LinkLost),
    };
    allowance.return_unspent(delivery.answer.retries_unspent, given);
    delivery
}

/// A caller that goes drops this: what may be cancelled ends with it, and what
/// may not goes on in a task of its own.
async fn receive_here(node: &Arc<Node>, call: Call) -> Answer {
    let cancelled = CancellationToken::new();
    if call.purpose() != CallPurpose::PlacedOnce {
        return receive(node, call, &cancelled).await;
    }
    let _cancelled_with_caller = cancelled.clone().drop_guard();
    let node = node.clone();
    let running = tokio::spawn(async move {
        let _in_flight = node.track_call();
        receive(&node, call, &cancelled).await
    });
    running
        .await
        .unwrap_or_else(|_| unknown_answer(Reason::UpstreamFailed))
}

async fn send_over_link(node: &Node, peer: &Peer, mut call: Call, deadline: Instant) -> Delivery {
    let purpose = call.purpose();
    let given = call.retries_given;
    let span = CallSpan::begin(node, SpanName::Link, &mut call);
    let delivery = match node.links.call(peer, call, deadline).await {
        SendOutcome::Answer(answer) => Delivery {
            answer,
            is_receivers_word: true,
        },
        SendOutcome::NeverArrived(reason) => never_arrived(purpose, given, reason),
        SendOutcome::Unknown(reason) => Delivery {
            answer: unknown_answer(reason),
            is_receivers_word: false,
        },
    };
    node.waits.link.observe(span.elapsed());
    span.end(node, &delivery.answer, || format!("to {}", peer.node_id));
    delivery
}

/// Failure: a caller sends a ticket again, and the home cannot be reached.
/// Symptom: it is told that its booking was not run, though the first send ran
/// it. That this send never arrived says nothing of earlier ones; only the home
/// can say `not_run` of a ticket.
fn never_arrived(purpose: CallPurpose, given: u32, reason: Reason) -> Delivery {
    let end = if purpose == CallPurpose::Home {
        unknown_answer(reason)
    } else {
        not_run_answer(reason, None)
    };
    Delivery {
        answer: Answer {
            retries_unspent: given,
            ..end
        },
        is_receivers_word: false,
    }
}

fn time_left_us(deadline: Instant) -> u64 {
    micros_left(deadline - TIME_FOR_THE_WAY_BACK)
}

/// Time left as it travels with a call.
pub(super) fn micros_left(until: Instant) -> u64 {
    let left = until.saturating_duration_since(Instant::now());
    u64::try_from(left.as_micros()).unwrap_or(u64::MAX)
}
