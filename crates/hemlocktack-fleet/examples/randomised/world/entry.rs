//! The node that received a caller's call: sends a ticketed call to its home, places any other.

use hemlocktack_fleet::tickets::{Ticket, find_home};
use hemlocktack_protocol::{Answer, CallPurpose, Outcome, Reason};

use crate::world::events::{Event, NodeEvent};
use crate::world::ledger::ReplyOutcome;
use crate::world::network::Reach;
use crate::world::process::{EntryCall, Process, Requester, RunFor, Waiter};
use crate::world::safeguards::Safeguard;
use crate::world::upstream::{Work, read_answer};
use crate::world::{At, RequestId, SendId, TimeMs, World, is_child, service_slots};

const ENTRY_DEADLINE_MS: TimeMs = 1500;
const NO_LINK_WAIT_MS: TimeMs = 30;
const PLACEMENT_LIMIT: u32 = 4;

impl EntryCall {
    pub(crate) fn new(request: RequestId, ticket: Option<Ticket>) -> EntryCall {
        EntryCall {
            request,
            ticket,
            placements_left: PLACEMENT_LIMIT,
            retries_left: 1,
            may_have_run: false,
            waiting_for: None,
        }
    }
}

impl World {
    pub(super) fn entry_begin(&mut self, process: &mut Process, send: SendId, call: EntryCall) {
        process.entries.insert(send, call);
        self.schedule_node_event(
            ENTRY_DEADLINE_MS,
            process.at,
            NodeEvent::EntryDeadline(send),
        );
        self.entry_send(process, send);
    }

    pub(super) fn entry_send(&mut self, process: &mut Process, send: SendId) {
        let Some(call) = process.entries.get(&send) else {
            return;
        };
        if call.waiting_for.is_some() {
            return;
        }
        let work = Work {
            request: call.request,
            send,
            ticket: call.ticket.clone(),
        };
        match &work.ticket {
            Some(ticket) => {
                let home = find_home(ticket, |home| process.successions.get(home).cloned());
                let is_own_home = home == process.name
                    || process.table.homes().any(|adopted| *adopted == ticket.home);
                match is_own_home {
                    true => self.entry_is_home(process, work),
                    false => self.send_to_home(process, work, start_of(&home)),
                }
            }
            None => self.place(process, work),
        }
    }

    fn entry_is_home(&mut self, process: &mut Process, work: Work) {
        let send = work.send;
        if let Some(call) = process.entries.get_mut(&send) {
            call.waiting_for = Some((process.at, 0));
        }
        self.home_start(process, work, Requester::Local(send));
    }

    fn send_to_home(&mut self, process: &mut Process, work: Work, home: At) {
        let mut home = home;
        if !self.safeguards.has(Safeguard::HomeIncarnation)
            && let Some(other) = &self.processes[home.slot]
        {
            home = other.at;
        }
        if home == process.at {
            self.entry_is_home(process, work);
            return;
        }
        match self.reach(process, home) {
            Reach::Linked => self.entry_call(process, work, home, CallPurpose::Home),
            Reach::OtherStart => self.entry_may_have_run(process, work.send),
            Reach::NotYet => self.wait_for_link(process, work.send, home),
        }
    }

    fn wait_for_link(&mut self, process: &mut Process, send: SendId, peer: At) {
        self.schedule_node_event(1, process.at, NodeEvent::Dial(peer));
        self.schedule_node_event(NO_LINK_WAIT_MS, process.at, NodeEvent::EntrySend(send));
    }

    fn place(&mut self, process: &mut Process, work: Work) {
        let slots = service_slots(is_child(work.request));
        let slot = self.random_between(slots.start as u64, slots.end as u64 - 1) as usize;
        let Some(known) = self.known_start(slot) else {
            return;
        };
        let refuses = process.stop.is_some() && self.safeguards.has(Safeguard::DrainRefuses);
        if known.at == process.at && !refuses {
            if let Some(call) = process.entries.get_mut(&work.send) {
                call.waiting_for = Some((process.at, 0));
            }
            self.begin_run(process, RunFor::Local(work.send), &work);
            return;
        }
        match self.reach(process, known.at) {
            Reach::Linked => self.entry_call(process, work, known.at, CallPurpose::Placed),
            _ => self.wait_for_link(process, work.send, known.at),
        }
    }

    fn entry_call(&mut self, process: &mut Process, work: Work, to: At, purpose: CallPurpose) {
        let call_id = process.next_call_id();
        if let Some(call) = process.entries.get_mut(&work.send) {
            call.waiting_for = Some((to, call_id));
        }
        let waiter = Waiter::Entry(work.send);
        self.send_call(process, to, work.to_call(call_id, purpose), waiter);
    }

    pub(super) fn entry_answer(&mut self, process: &mut Process, send: SendId, answer: &Answer) {
        let Some(call) = process.entries.get_mut(&send) else {
            return;
        };
        call.waiting_for = None;
        let is_ticketed = call.ticket.is_some();
        match answer.outcome() {
            Outcome::Answered => {
                let Some((request, token)) = read_answer(&answer.body) else {
                    self.ledger
                        .record_violation(format!("send {send} got a truncated answer"));
                    return;
                };
                self.entry_reply(process, send, ReplyOutcome::Answered { request, token });
            }
            // The home reports this only after it has fenced the ticket.
            Outcome::NotRun if is_ticketed => self.entry_reply(process, send, ReplyOutcome::NotRun),
            Outcome::NotRun => self.entry_send_not_run(process, send),
            // The home is handing over its table; the successor decides.
            _ if is_ticketed && answer.reason() == Reason::Draining => {
                self.entry_send_not_run(process, send);
            }
            _ if is_ticketed => self.entry_reply(process, send, ReplyOutcome::Unknown),
            _ => self.entry_may_have_run(process, send),
        }
    }

    /// Sends again after a send that did not run, while placements are left.
    pub(super) fn entry_send_not_run(&mut self, process: &mut Process, send: SendId) {
        let Some(call) = process.entries.get_mut(&send) else {
            return;
        };
        call.waiting_for = None;
        if call.placements_left > 0 {
            call.placements_left -= 1;
            let delay_ms = self.random_between(1, 100);
            self.schedule_node_event(delay_ms, process.at, NodeEvent::EntrySend(send));
            return;
        }
        let told = outcome_without_answer(call);
        self.entry_reply(process, send, told);
    }

    /// Handles a send that may have run. A ticket may be sent to its home again any number of times;
    /// sending an idempotent call again takes a retry.
    pub(super) fn entry_may_have_run(&mut self, process: &mut Process, send: SendId) {
        let Some(call) = process.entries.get_mut(&send) else {
            return;
        };
        call.may_have_run = true;
        if call.ticket.is_none() {
            if call.retries_left == 0 {
                self.entry_reply(process, send, ReplyOutcome::Unknown);
                return;
            }
            call.retries_left -= 1;
        }
        self.entry_send_not_run(process, send);
    }

    pub(super) fn entry_deadline(&mut self, process: &mut Process, send: SendId) {
        let Some(call) = process.entries.get_mut(&send) else {
            return;
        };
        let Some((peer, call_id)) = call.waiting_for else {
            let told = outcome_without_answer(call);
            self.entry_reply(process, send, told);
            return;
        };
        if let Some(pending_calls) = process.pending_calls.get_mut(&peer) {
            pending_calls.abandon(call_id);
        }
        self.entry_reply(process, send, ReplyOutcome::Unknown);
    }

    pub(super) fn entry_reply(&mut self, process: &mut Process, send: SendId, told: ReplyOutcome) {
        let Some(call) = process.entries.remove(&send) else {
            return;
        };
        self.ledger
            .reply(call.request, call.ticket.is_some(), send, told);
        let delay_ms = self.random_between(1, 30);
        self.schedule_event(delay_ms, Event::Reply { send, told });
    }
}

// Only the home may report `not_run` for a ticket: an earlier send of the caller may have reached it
// through another node.
fn outcome_without_answer(call: &EntryCall) -> ReplyOutcome {
    match call.ticket.is_none() && !call.may_have_run {
        true => ReplyOutcome::NotRun,
        false => ReplyOutcome::Unknown,
    }
}

fn start_of(name: &hemlocktack_fleet::NodeIncarnation) -> At {
    let slot = name
        .node_id
        .strip_prefix("node-")
        .and_then(|slot| slot.parse().ok());
    At {
        slot: slot.unwrap_or_default(),
        incarnation: name.incarnation,
    }
}
