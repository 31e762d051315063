//! Callers: they send, wait, and send again through other nodes.

use hemlocktack_fleet::tickets::Ticket;

use crate::world::events::{Event, NodeEvent};
use crate::world::ledger::Told;
use crate::world::process::{EntryCall, Process};
use crate::world::{At, RequestId, SendId, TimeMs, World};

/// Numbers of deeper calls' requests begin here.
pub(crate) const FIRST_CHILD_REQUEST: RequestId = 1 << 40;

const CALLER_TIMEOUT_MS: TimeMs = 700;
const SEND_LIMIT: u32 = 4;

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) is_ticketed: bool,
    pub(crate) ticket: Option<Ticket>,
    // A deeper call's ticket that the upstream of an idempotent request passes along.
    pub(crate) passes: Option<Ticket>,
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
        if self.quiet {
            return;
        }
        let id = self.new_id();
        let is_ticketed = self.chance(70);
        let has_child = self.chance(40);
        let passes = match !is_ticketed && has_child && self.chance(50) {
            true => self.issue(true),
            false => None,
        };
        let ticket = match is_ticketed {
            true => self.ticket_for_caller(),
            false => None,
        };
        let request = Request {
            is_ticketed,
            ticket,
            passes,
            child_count: u32::from(has_child),
            sends_left: SEND_LIMIT,
        };
        self.requests.insert(id, request);
        self.after(0, Event::CallerSend(id));
        if self.chance(15) {
            let delay_ms = self.between(0, 50);
            self.after(delay_ms, Event::CallerSend(id));
        }
        let delay_ms = self.between(1, 25);
        self.after(delay_ms, Event::NewRequest);
    }

    // Now and then a faulty caller uses the ticket of its last request again.
    fn ticket_for_caller(&mut self) -> Option<Ticket> {
        if self.chance(4)
            && let Some((_, last)) = self.requests.last_key_value()
            && last.ticket.is_some()
        {
            return last.ticket.clone();
        }
        self.issue(false)
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
        let delay_ms = self.between(1, 8);
        self.after_at(delay_ms, entry, NodeEvent::CallerCall(send));
        self.after(CALLER_TIMEOUT_MS, Event::CallerTimeout(send));
    }

    /// The call reaches its entry node.
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
            Some(_) => Told::Unknown,
            None => Told::NotRun,
        };
        process.entries.insert(send, call);
        self.entry_reply(process, send, told);
    }

    pub(super) fn caller_timeout(&mut self, send: SendId) {
        if !self.ledger.has_reply(send) {
            self.send_again(send, 80);
        }
    }

    pub(super) fn caller_reply(&mut self, send: SendId, told: Told) {
        let percent = match told {
            Told::Answered { .. } => 10,
            Told::NotRun => 40,
            Told::Unknown => 70,
        };
        self.send_again(send, percent);
    }

    fn send_again(&mut self, send: SendId, percent: u32) {
        let Some(record) = self.sends.get(&send).copied() else {
            return;
        };
        if self.chance(percent) {
            let delay_ms = self.between(1, 400);
            self.after(delay_ms, Event::CallerSend(record.request));
        }
    }
}
