//! A single send of a call to a node, with a share of the retry allowance.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::RetryAllowance;
use hemlocktack_protocol::{Answer, Call, CallPurpose, Reason, whole_micros};
use hemlocktack_telemetry::SpanName;

use super::SendProgress;
use super::awaited::Awaited;
use super::caller_watch::CallerWatch;
use super::outcomes::{not_run_answer, unknown_answer};
use super::receive;
use super::service_directory::PeerEntry;
use crate::links::{Peer, SendOutcome};
use crate::node::{Node, NodeLocation};
use crate::telemetry::CallSpan;

/// Subtracted from the time left that is sent with a call. It lets the receiver's outcome at the
/// deadline reach the entry node before that has to answer without it.
pub(super) const ANSWER_RETURN_MARGIN: Duration = Duration::from_millis(5);

/// What a send shares with the entry of its call.
#[derive(Default)]
pub(crate) struct SendWatch {
    /// Watched if the receiver is this node itself; others are told that the caller has left.
    pub(crate) caller: Option<CallerWatch>,
    pub(crate) progress: Arc<SendProgress>,
}

/// Result of one send.
pub(crate) struct SendResult {
    pub(crate) answer: Answer,
    /// The answer came from the receiver; otherwise this node derived it.
    pub(crate) is_from_receiver: bool,
}

/// Sends a call with a share of the retry allowance and takes unspent retries back. A call
/// without an answer returns none, since it may have spent them all.
pub(crate) async fn send_with_allowance(
    node: &Arc<Node>,
    peer: &PeerEntry,
    mut call: Call,
    deadline: Instant,
    allowance: &RetryAllowance,
    watch: &SendWatch,
) -> SendResult {
    let given = allowance.grant_to_child();
    call.retries_given = given;
    call.time_left_us = time_left_us(deadline);
    call.upstream_notice = node.notice_for(&peer.identity.node_id).map(Box::new);
    let result = match node.locate(&peer.member) {
        Some(NodeLocation::Local) => SendResult {
            answer: receive_locally(node, call, watch).await,
            is_from_receiver: true,
        },
        Some(NodeLocation::Remote(peer)) => {
            send_over_link(node, &peer, call, deadline, &watch.progress).await
        }
        None => never_arrived(call.purpose(), given, Reason::LinkLost),
    };
    allowance.return_unspent(result.answer.retries_unspent, given);
    if let Some(notice) = &result.answer.upstream_notice {
        node.record_notice(&peer.identity.node_id, notice);
    }
    result
}

/// Handles a call that was placed on this node itself. If its caller disconnects, this future
/// is dropped: a call that may be cancelled ends with it, one that may not continues in its own
/// task.
async fn receive_locally(node: &Arc<Node>, call: Call, watch: &SendWatch) -> Answer {
    let awaited = Awaited::by_caller(watch.caller.clone(), watch.progress.clone());
    if call.purpose() != CallPurpose::PlacedOnce {
        return receive(node, call, &awaited).await;
    }
    let _cancelled_with_caller = awaited.cancel_on_drop();
    let node = node.clone();
    let running = tokio::spawn(async move {
        let _in_flight = node.track_call();
        receive(&node, call, &awaited).await
    });
    running
        .await
        .unwrap_or_else(|_| unknown_answer(Reason::UpstreamFailed))
}

async fn send_over_link(
    node: &Node,
    peer: &Peer,
    mut call: Call,
    deadline: Instant,
    progress: &SendProgress,
) -> SendResult {
    let purpose = call.purpose();
    let given = call.retries_given;
    let span = CallSpan::begin(node, SpanName::Link, &mut call);
    let result = match node.links.call(peer, call, deadline, progress).await {
        SendOutcome::Answer(answer) => SendResult {
            answer,
            is_from_receiver: true,
        },
        SendOutcome::NeverArrived(reason) => never_arrived(purpose, given, reason),
        SendOutcome::Unknown(reason) => SendResult {
            answer: unknown_answer(reason),
            is_from_receiver: false,
        },
    };
    node.waits.link.observe(span.elapsed());
    span.end(node, &result.answer, || format!("to {}", peer.node_id));
    result
}

/// Returns the result of a send that did not reach its receiver.
///
/// For a ticket, the outcome is `unknown`: an earlier send may have run it, and only its home
/// can tell. Otherwise, a caller that resends a ticket while the home is unreachable would be
/// told that its booking was not run, although the first send ran it.
fn never_arrived(purpose: CallPurpose, given: u32, reason: Reason) -> SendResult {
    let end = if purpose == CallPurpose::Home {
        unknown_answer(reason)
    } else {
        not_run_answer(reason, None)
    };
    SendResult {
        answer: Answer {
            retries_unspent: given,
            ..end
        },
        is_from_receiver: false,
    }
}

fn time_left_us(deadline: Instant) -> u64 {
    micros_left(deadline - ANSWER_RETURN_MARGIN)
}

/// Returns the time left as it is sent with a call.
pub(super) fn micros_left(until: Instant) -> u64 {
    whole_micros(until.saturating_duration_since(Instant::now()))
}
