//! Simulated callers: send requests, wait, and send again through other nodes.

use hemlocktack_fleet::tickets::Ticket;

use crate::world::events::{Event, NodeEvent};
use crate::world::ledger::ReplyOutcome;
use crate::world::process::{EntryCall, Process};
use crate::world::{At, RequestId, SendId, TimeMs, World};

/// First id of the requests of child calls.
pub(crate) const FIRST_CHILD_REQUEST: RequestId = 1 << 40;

const CALLER_TIMEOUT_MS: TimeMs = 700;
const SEND_LIMIT: u32 = 4;

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) is_ticketed: bool,
    pub(crate) ticket: Option<Ticket>,
    // Ticket for a child call, which the upstream of an idempotent request forwards.
    pub(crate) forwarded_ticket: Option<Ticket>,
    pub(crate) child_count: u32,
    sends_left: u32,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct SendRecord {
    pub(crate) request: RequestId,
    pub(crate) entry: At,
}

impl World {
    pub(super) fn new_request(&mut self) {
        if self.faults_ended {
            return;
        }
        let id = self.new_id();
        let is_ticketed = self.random_chance(70);
        let has_child = self.random_chance(40);
        let forwarded_ticket = match !is_ticketed && has_child && self.random_chance(50) {
            true => self.issue_ticket(true),
            false => None,
        };
        let ticket = match is_ticketed {
            true => self.ticket_for_caller(),
            false => None,
        };
        let request = Request {
            is_ticketed,
            ticket,
            forwarded_ticket,
            child_count: u32::from(has_child),
            sends_left: SEND_LIMIT,
        };
        self.requests.insert(id, request);
        self.schedule_event(0, Event::CallerSend(id));
        if self.random_chance(15) {
            let delay_ms = self.random_between(0, 50);
            self.schedule_event(delay_ms, Event::CallerSend(id));
        }
        let delay_ms = self.random_between(1, 25);
        self.schedule_event(delay_ms, Event::NewRequest);
    }

    // Occasionally simulates a faulty caller that reuses the ticket of the latest request.
    fn ticket_for_caller(&mut self) -> Option<Ticket> {
        if self.random_chance(4)
            && let Some((_, last)) = self.requests.last_key_value()
            && last.ticket.is_some()
        {
            return last.ticket.clone();
        }
        self.issue_ticket(false)
    }

    pub(super) fn caller_send(&mut self, id: RequestId) {
        let entries: Vec<_> = self
            .processes
            .iter()
            .flatten()
            .map(|process| process.at)
            .collect();
        let Some(entry) = self.pick(&entries) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.sends_left == 0 {
            return;
        }
        request.sends_left -= 1;
        let send = self.new_id();
        self.sends.insert(send, SendRecord { request: id, entry });
        let delay_ms = self.random_between(1, 8);
        self.schedule_node_event(delay_ms, entry, NodeEvent::CallerCall(send));
        self.schedule_event(CALLER_TIMEOUT_MS, Event::CallerTimeout(send));
    }

    /// Handles a caller's call at its entry node.
    pub(super) fn caller_call(&mut self, process: &mut Process, send: SendId) {
        let Some(record) = self.sends.get(&send).copied() else {
            return;
        };
        let Some(request) = self.requests.get(&record.request) else {
            return;
        };
        let call = EntryCall::new(record.request, request.ticket.clone());
        if process.stop.is_none() {
            self.entry_begin(process, send, call);
            return;
        }
        let told = match call.ticket {
            Some(_) => ReplyOutcome::Unknown,
            None => ReplyOutcome::NotRun,
        };
        process.entries.insert(send, call);
        self.entry_reply(process, send, told);
    }

    pub(super) fn caller_timeout(&mut self, send: SendId) {
        if !self.ledger.has_reply(send) {
            self.send_again(send, 80);
        }
    }

    pub(super) fn caller_reply(&mut self, send: SendId, told: ReplyOutcome) {
        let percent = match told {
            ReplyOutcome::Answered { .. } => 10,
            ReplyOutcome::NotRun => 40,
            ReplyOutcome::Unknown => 70,
        };
        self.send_again(send, percent);
    }

    fn send_again(&mut self, send: SendId, percent: u32) {
        let Some(record) = self.sends.get(&send).copied() else {
            return;
        };
        if self.random_chance(percent) {
            let delay_ms = self.random_between(1, 400);
            self.schedule_event(delay_ms, Event::CallerSend(record.request));
        }
    }
}
