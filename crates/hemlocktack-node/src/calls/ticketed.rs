//! The entry of a call that must run at most once.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::tickets::{ChildHome, ChildRefusal, Ticket, TicketError, find_home};
use hemlocktack_protocol::{Answer, CallPurpose, NodeState, Outcome, Reason};

use super::deliver::{Delivery, send_with_allowance};
use super::ends::{NOTHING_SHED, wait_before_return};
use super::place::{admitted_view, choose};
use super::service_directory::{PeerEntry, ServiceView};
use super::{ClassifiedCall, not_run_answer, unknown_answer};
use crate::node::Node;

/// Pause before the home is asked again after a lost link; the ticket makes
/// any number of sends one request.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// News of a home or its successor takes a second or two; one that nobody knows
/// by then is not worth the caller's whole patience.
const HOME_WAIT: Duration = Duration::from_secs(4);

/// Sends the call to its ticket's home, or answers with a fresh ticket.
pub(crate) async fn run_ticketed(node: &Arc<Node>, classified: &mut ClassifiedCall) -> Answer {
    let ticket = match ticket_of(node, classified) {
        Ok(ticket) => ticket,
        Err(answer) => return *answer,
    };
    classified.call.ticket = ticket.encode();
    let answer = send_home(node, classified, &ticket).await;
    if answer.outcome() == Outcome::NotRun && classified.parent.is_none() {
        // The old ticket is fenced for good; the caller needs another one.
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
        return Err(Box::new(ask_for_ticket(node, classified)));
    };
    let decoded = Ticket::decode(&node.keys, &call.service, key);
    decoded.map_err(|error| Box::new(not_a_ticket(node, classified, error)))
}

/// A key of the caller's own making never ran, and the caller gets a ticket to
/// use instead. One with the form of a ticket that no valid key has signed was
/// forged, or has outlived the fleet key that signed it: then it may have run.
fn not_a_ticket(node: &Node, classified: &ClassifiedCall, error: TicketError) -> Answer {
    match error {
        TicketError::Foreign => unknown_answer(error.reason()),
        TicketError::Malformed | TicketError::InvalidName => Answer {
            fresh_ticket: fresh_ticket(node, classified).unwrap_or_default(),
            ..not_run_answer(error.reason(), None)
        },
    }
}

/// Load: more bookings than the service can take. Harm: a ticket that leads to
/// a refusal costs the caller two round trips. Nothing of this request has
/// run, so it may be shed here; one that carries a ticket may not, since an
/// earlier send of it may have run.
fn ask_for_ticket(node: &Node, classified: &ClassifiedCall) -> Answer {
    if let Err(refusal) = admitted_view(node, classified) {
        return not_run_answer(refusal.reason, refusal.retry_after);
    }
    match fresh_ticket(node, classified) {
        Some(fresh_ticket) => Answer {
            fresh_ticket,
            ..not_run_answer(Reason::TicketRequired, None)
        },
        None => not_run_answer(Reason::NoUpstream, Some(wait_before_return(NOTHING_SHED))),
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
    let peer = &view.peers[choose(&view, None)?];
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

/// Asks the home until it has said what became of the request.
///
/// A lost link says nothing of a request that may have been sent before, so
/// `not_run` is never said here: only the home can.
async fn send_home(node: &Arc<Node>, classified: &ClassifiedCall, ticket: &Ticket) -> Answer {
    let mut call = classified.call.clone();
    call.purpose = CallPurpose::Home.into();
    let home_limit = classified.deadline.min(Instant::now() + HOME_WAIT);
    while Instant::now() < classified.deadline {
        let home = find_home(ticket, |home| node.successor_of(home));
        let view = node.services.service(&call.service);
        let peer = view.as_deref().and_then(|view| peer_of(view, &home));
        let Delivery {
            answer,
            is_receivers_word,
        } = match peer {
            Some(peer) => {
                let call = call.clone();
                let ClassifiedCall {
                    deadline,
                    allowance,
                    ..
                } = classified;
                send_with_allowance(node, peer, call, *deadline, allowance).await
            }
            None => Delivery {
                answer: unknown_answer(Reason::HomeGone),
                is_receivers_word: false,
            },
        };
        let may_ask_again = match may_turn_up(node, &home, &answer) {
            true => Instant::now() < home_limit,
            false => !is_receivers_word && is_lost(answer.reason()),
        };
        if !may_ask_again {
            return answer;
        }
        tokio::time::sleep(RESEND_PAUSE).await;
    }
    unknown_answer(Reason::Timeout)
}

/// Whether the home may still say what became of the request: this send was
/// lost on the way, there or back. Once the home is known to be gone, the loop
/// ends with `HomeGone`.
fn is_lost(reason: Reason) -> bool {
    matches!(reason, Reason::LinkLost | Reason::Fenced)
}

/// Whether the home, or its successor, may turn up a moment later.
///
/// A home in a planned stop starts nothing once its tickets are on their way,
/// and its successor has them soon. A node that has just started may not know
/// a home that lives: told `unknown` at once, the caller would take a booking
/// for lost that is running. Sending the same ticket again is always safe.
fn may_turn_up(node: &Node, home: &NodeIncarnation, answer: &Answer) -> bool {
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
