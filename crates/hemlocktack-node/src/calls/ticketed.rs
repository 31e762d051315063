//! Entry side of calls that must run at most once.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::tickets::{ChildHome, ChildRefusal, Ticket, TicketError, find_home};
use hemlocktack_protocol::{Answer, CallPurpose, NodeState, Outcome, Reason};

use super::deliver::{SendResult, SendWatch, send_with_allowance};
use super::outcomes::{NO_CLASSES_SHED, retry_delay};
use super::place::{admit_at_entry, choose_peer};
use super::service_directory::{PeerEntry, ServiceView};
use super::{ClassifiedCall, not_run_answer, unknown_answer};
use crate::node::Node;

/// Pause before a call is resent to its home after a lost link. The ticket makes resends
/// idempotent.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for an unknown home. Gossip about a home or its successor takes a second or two;
/// a home that is still unknown after this time is not worth the caller's whole timeout.
const HOME_DISCOVERY_LIMIT: Duration = Duration::from_secs(4);

/// Sends the call to its ticket's home, or answers with a fresh ticket.
pub(crate) async fn run_ticketed(node: &Arc<Node>, classified: &mut ClassifiedCall) -> Answer {
    let ticket = match ticket_of(node, classified) {
        Ok(ticket) => ticket,
        Err(answer) => return *answer,
    };
    classified.call.ticket = ticket.encode();
    let answer = send_home(node, classified, &ticket).await;
    if answer.outcome() == Outcome::NotRun && classified.parent.is_none() {
        // The old ticket is fenced permanently; the caller needs a new one.
        return Answer {
            fresh_ticket: fresh_ticket(node, classified).unwrap_or_default(),
            ..answer
        };
    }
    answer
}

fn ticket_of(node: &Arc<Node>, classified: &ClassifiedCall) -> Result<Ticket, Box<Answer>> {
    let call = &classified.call;
    let key = classified.idempotency_key.as_deref();
    if let Some(parent) = &classified.parent {
        let service = call.service.as_str().into();
        let mut children = parent
            .children
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let choose_home = || choose_home(node, classified);
        let ticket = children.ticket_for(&node.keys, &service, key.map(str::as_bytes), choose_home);
        return ticket.map_err(|refusal| {
            Box::new(match refusal {
                ChildRefusal::Foreign => unknown_answer(refusal.reason()),
                _ => not_run_answer(refusal.reason(), None),
            })
        });
    }
    let Some(key) = key else {
        return Err(Box::new(issue_ticket(node, classified)));
    };
    let decoded = Ticket::decode(&node.keys, &call.service, key);
    decoded.map_err(|error| Box::new(invalid_ticket_answer(node, classified, error)))
}

/// Returns the answer to a call whose idempotency key is not a valid ticket. A key that the
/// caller made up never ran, and the caller gets a ticket to use instead. A well-formed ticket
/// without a valid signature is forged or older than the current fleet keys. In the latter case
/// it may have run.
fn invalid_ticket_answer(node: &Node, classified: &ClassifiedCall, error: TicketError) -> Answer {
    match error {
        TicketError::Foreign => unknown_answer(error.reason()),
        TicketError::Malformed | TicketError::InvalidName => Answer {
            fresh_ticket: fresh_ticket(node, classified).unwrap_or_default(),
            ..not_run_answer(error.reason(), None)
        },
    }
}

/// Answers a call without a ticket by issuing one, or sheds it if the service is overloaded: a
/// ticket that then leads to a refusal would cost the caller two round trips. A call without a
/// ticket has not run, so it may be shed here. A call with a ticket may not, because an earlier
/// send of it may have run.
fn issue_ticket(node: &Node, classified: &ClassifiedCall) -> Answer {
    if let Err(refusal) = admit_at_entry(node, classified) {
        return not_run_answer(refusal.reason, refusal.retry_after);
    }
    match fresh_ticket(node, classified) {
        Some(fresh_ticket) => Answer {
            fresh_ticket,
            ..not_run_answer(Reason::TicketRequired, None)
        },
        None => not_run_answer(Reason::NoUpstream, Some(retry_delay(NO_CLASSES_SHED))),
    }
}

fn fresh_ticket(node: &Node, classified: &ClassifiedCall) -> Option<String> {
    let ChildHome { home, epoch } = choose_home(node, classified)?;
    let service = classified.call.service.as_str().into();
    let ticket = Ticket::issue(&node.keys, service, home, epoch, rand::random());
    ticket.ok().map(|ticket| ticket.encode())
}

fn choose_home(node: &Node, classified: &ClassifiedCall) -> Option<ChildHome> {
    let view = node.services.service(&classified.call.service)?;
    let peer = &view.peers[choose_peer(&view, None)?];
    let is_own = peer.identity == node.identity;
    let epoch = if is_own {
        node.home.table().current_epoch()
    } else {
        peer.member.ticket_epoch
    };
    Some(ChildHome {
        home: peer.identity.clone(),
        epoch,
    })
}

/// Sends the call to its home until the home has reported the outcome.
///
/// Never returns `not_run` because of a lost link: the request may have been sent before, and
/// only the home knows its outcome.
async fn send_home(node: &Arc<Node>, classified: &ClassifiedCall, ticket: &Ticket) -> Answer {
    let mut call = classified.call.clone();
    call.purpose = CallPurpose::Home.into();
    let home_limit = classified
        .deadline
        .min(Instant::now() + HOME_DISCOVERY_LIMIT);
    while Instant::now() < classified.deadline {
        let home = find_home(ticket, |home| node.successor_of(home));
        let view = node.services.service(&call.service);
        let peer = view.as_deref().and_then(|view| peer_of(view, &home));
        let SendResult {
            answer,
            is_from_receiver,
        } = match peer {
            Some(peer) => {
                let call = call.clone();
                let ClassifiedCall {
                    deadline,
                    allowance,
                    ..
                } = classified;
                let watch = SendWatch::default();
                send_with_allowance(node, peer, call, *deadline, allowance, &watch).await
            }
            None => SendResult {
                answer: unknown_answer(Reason::HomeGone),
                is_from_receiver: false,
            },
        };
        let may_ask_again = match may_become_reachable(node, &home, &answer) {
            true => Instant::now() < home_limit,
            false => !is_from_receiver && was_lost_in_transit(answer.reason()),
        };
        if !may_ask_again {
            return answer;
        }
        tokio::time::sleep(RESEND_PAUSE).await;
    }
    unknown_answer(Reason::Timeout)
}

/// Whether the send or its answer was lost in transit, so that the home may still report the
/// outcome. Once the home is known to be gone, the resend loop ends with `HomeGone`.
fn was_lost_in_transit(reason: Reason) -> bool {
    matches!(reason, Reason::LinkLost | Reason::Fenced)
}

/// Whether the home, or its successor, may become reachable shortly.
///
/// A home in a planned stop starts no requests while it hands over its tickets, and its successor
/// has them soon. A node that has just started may not know a live home yet; with an immediate
/// `unknown`, the caller would give up a booking that is running. Resending the same ticket is
/// always safe.
fn may_become_reachable(node: &Node, home: &NodeIncarnation, answer: &Answer) -> bool {
    if answer.outcome() == Outcome::Unknown && answer.reason() == Reason::Draining {
        return true;
    }
    if !matches!(answer.reason(), Reason::HomeGone | Reason::LinkLost) {
        return false;
    }
    let members = node.members();
    let known = members
        .iter()
        .find(|member| *member.node_id == *home.node_id);
    let Some(known) = known else {
        return answer.reason() == Reason::HomeGone;
    };
    let stops = matches!(known.state(), NodeState::Draining | NodeState::Left);
    known.incarnation == home.incarnation && stops
}

fn peer_of<'a>(view: &'a ServiceView, home: &NodeIncarnation) -> Option<&'a PeerEntry> {
    view.peers.iter().find(|peer| peer.identity == *home)
}
