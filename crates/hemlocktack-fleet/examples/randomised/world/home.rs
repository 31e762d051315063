//! The home of a ticket: joins, starts, delegates or refuses its request.

use hemlocktack_fleet::tickets::{Nonce, StartDecision, Ticket};
use hemlocktack_protocol::{Answer, CallFailure, CallId, CallPurpose, Outcome, Reason};

use crate::world::events::NodeEvent;
use crate::world::network::{Reach, failure_answer, failure_answer_with_reason};
use crate::world::process::{HomeCall, Process, Requester, RunEnd, RunFor, Waiter};
use crate::world::safeguards::Safeguard;
use crate::world::upstream::{Work, to_shared_answer};
use crate::world::{At, TimeMs, World, is_child, name_of, service_slots};

const DELEGATE_DEADLINE_MS: TimeMs = 1000;
const ATTEMPT_LIMIT: u32 = 5;

impl World {
    pub(super) fn home_start(&mut self, process: &mut Process, work: Work, requester: Requester) {
        let Some(ticket) = work.ticket.clone() else {
            return;
        };
        let ticket = self.as_seen_by_home(process, ticket);
        let work = Work {
            ticket: Some(ticket.clone()),
            ..work
        };
        let discarded_table = match self.safeguards.has(Safeguard::FenceWhileStopping) {
            true => None,
            // Works on a copy, so that the table does not record the refusal.
            false => process.stop.as_ref().map(|_| process.table.clone()),
        };
        let fingerprint = match self.safeguards.has(Safeguard::RequestBound) {
            true => work.request,
            false => 0,
        };
        let start = match discarded_table {
            Some(mut table) => table.start(&ticket, fingerprint),
            None => process.table.start(&ticket, fingerprint),
        };
        match start {
            StartDecision::Run => {
                if ticket.home != process.name {
                    self.ledger.counts.adopted_starts += 1;
                }
                self.admit(process, work, ticket, requester);
            }
            StartDecision::Join => {
                self.ledger.counts.joins += 1;
                self.join(process, work, ticket, requester);
            }
            StartDecision::Answered(answer) => self.answer_requester(process, requester, &answer),
            StartDecision::AnswerNotKept => {
                let answer = failure_answer_with_reason(Outcome::Unknown, Reason::AnswerNotKept);
                self.answer_requester(process, requester, &answer);
            }
            StartDecision::Refused(refused) => {
                self.handle_refusal(process, work, requester, refused)
            }
        }
    }

    // Without the safeguard a node is identified by its name alone, which outlives its table.
    fn as_seen_by_home(&self, process: &Process, ticket: Ticket) -> Ticket {
        let same_name = ticket.home.node_id == process.name.node_id;
        if self.safeguards.has(Safeguard::HomeIncarnation) || !same_name {
            return ticket;
        }
        let epoch = process.table.current_epoch();
        let home = process.name.clone();
        let reissued = Ticket::issue(
            &self.keys,
            ticket.service.clone(),
            home,
            epoch,
            ticket.nonce,
        );
        reissued.unwrap_or(ticket)
    }

    fn admit(&mut self, process: &mut Process, work: Work, ticket: Ticket, requester: Requester) {
        let nonce = ticket.nonce;
        let Work { request, send, .. } = work;
        let call = HomeCall {
            request,
            send,
            ticket,
            delegate: None,
            attempts_left: ATTEMPT_LIMIT,
        };
        process.home_calls.insert(nonce, call);
        process.requesters.entry(nonce).or_default().push(requester);
        let step_count = if self.random_chance(20) { 2 } else { 1 };
        for _ in 0..step_count {
            let delay_ms = self.random_between(0, 40);
            self.schedule_node_event(delay_ms, process.at, NodeEvent::HomeStep(nonce));
        }
    }

    fn join(&mut self, process: &mut Process, work: Work, ticket: Ticket, requester: Requester) {
        let nonce = ticket.nonce;
        if !process.home_calls.contains_key(&nonce) && process.told_not_run.contains(&nonce) {
            self.admit(process, work, ticket, requester);
            return;
        }
        process.requesters.entry(nonce).or_default().push(requester);
        if !self.safeguards.has(Safeguard::Join) {
            self.begin_run(process, RunFor::Home(nonce), &work);
        }
    }

    fn handle_refusal(
        &mut self,
        process: &mut Process,
        work: Work,
        requester: Requester,
        refused: CallFailure,
    ) {
        let is_ignored = match refused {
            CallFailure::Unknown(Reason::TicketExpired) => !self.safeguards.has(Safeguard::Expiry),
            CallFailure::Unknown(Reason::Draining) => !self.safeguards.has(Safeguard::Freeze),
            _ => false,
        };
        match (is_ignored, requester) {
            (true, Requester::Peer { from, call_id }) => {
                self.begin_run(process, RunFor::Peer { from, call_id }, &work);
            }
            (true, Requester::Local(send)) => self.begin_run(process, RunFor::Local(send), &work),
            (false, _) => {
                let answer = failure_answer_with_reason(refused.outcome(), refused.reason());
                self.answer_requester(process, requester, &answer);
            }
        }
    }

    pub(super) fn home_step(&mut self, process: &mut Process, nonce: Nonce) {
        let Some(call) = process.home_calls.get_mut(&nonce) else {
            return;
        };
        if call.attempts_left == 0 {
            self.refuse(process, nonce, Reason::QueueFull);
            return;
        }
        call.attempts_left -= 1;
        let starts_here = process.stop.is_none() || !self.safeguards.has(Safeguard::DrainRefuses);
        match self.random_between(0, 99) {
            0..50 if starts_here => self.start_here(process, nonce),
            0..80 => self.delegate(process, nonce),
            80..90 => self.refuse(process, nonce, Reason::Shed),
            _ => self.step_later(process, nonce),
        }
    }

    fn step_later(&mut self, process: &Process, nonce: Nonce) {
        let delay_ms = self.random_between(1, 60);
        self.schedule_node_event(delay_ms, process.at, NodeEvent::HomeStep(nonce));
    }

    fn start_here(&mut self, process: &mut Process, nonce: Nonce) {
        let allowed = process.table.mark_started(nonce).is_ok();
        if !allowed && self.safeguards.has(Safeguard::StateChecked) {
            return;
        }
        let Some(work) = process.home_calls.get(&nonce).map(HomeCall::work) else {
            return;
        };
        self.begin_run(process, RunFor::Home(nonce), &work);
    }

    fn delegate(&mut self, process: &mut Process, nonce: Nonce) {
        let Some(work) = process.home_calls.get(&nonce).map(HomeCall::work) else {
            return;
        };
        let slots = service_slots(is_child(work.request));
        let slot = self.random_between(slots.start as u64, slots.end as u64 - 1) as usize;
        let known = self
            .known_start(slot)
            .filter(|known| known.at != process.at);
        let Some(known) = known else {
            self.step_later(process, nonce);
            return;
        };
        if self.reach(process, known.at) != Reach::Linked {
            self.schedule_node_event(1, process.at, NodeEvent::Dial(known.at));
            self.step_later(process, nonce);
            return;
        }
        if self.safeguards.has(Safeguard::DelegationRecorded) {
            let allowed = process.table.delegate(nonce, name_of(known.at)).is_ok();
            if !allowed && self.safeguards.has(Safeguard::StateChecked) {
                return;
            }
        }
        self.send_to_delegate(process, nonce, &work, known.at);
        if !self.safeguards.has(Safeguard::DelegationRecorded) {
            self.step_later(process, nonce);
        }
    }

    fn send_to_delegate(&mut self, process: &mut Process, nonce: Nonce, work: &Work, to: At) {
        self.ledger.counts.delegations += 1;
        let call_id = process.next_call_id();
        if let Some(call) = process.home_calls.get_mut(&nonce) {
            call.delegate = Some((to, call_id));
        }
        let call = work.to_call(call_id, CallPurpose::Delegated);
        self.send_call(process, to, call, Waiter::Delegated(nonce));
        let deadline = NodeEvent::DelegateDeadline { nonce, call_id };
        self.schedule_node_event(DELEGATE_DEADLINE_MS, process.at, deadline);
    }

    pub(super) fn refuse(&mut self, process: &mut Process, nonce: Nonce, reason: Reason) {
        let refused = match self.safeguards.has(Safeguard::FenceOnRefusal) {
            true => process.table.refuse(nonce, reason).is_ok(),
            // Works on a copy, so that the ticket can still start.
            false => process.table.clone().refuse(nonce, reason).is_ok(),
        };
        if refused {
            process.told_not_run.insert(nonce);
            self.end_ticket(
                process,
                nonce,
                &failure_answer_with_reason(Outcome::NotRun, reason),
            );
        }
    }

    pub(super) fn delegate_answer(
        &mut self,
        process: &mut Process,
        nonce: Nonce,
        from: At,
        answer: Answer,
    ) {
        match answer.outcome() {
            Outcome::Answered => {
                if !self.safeguards.has(Safeguard::DelegationRecorded) {
                    let _ = process.table.mark_started(nonce);
                }
                if process
                    .table
                    .record_answer(nonce, to_shared_answer(&answer))
                    .is_ok()
                {
                    self.end_ticket(process, nonce, &answer);
                }
            }
            Outcome::NotRun => self.delegate_not_run(process, nonce, from),
            _ => self.delegate_unknown(process, nonce, from),
        }
    }

    pub(super) fn delegate_not_run(&mut self, process: &mut Process, nonce: Nonce, from: At) {
        if process.table.requeue_from(nonce, &name_of(from)).is_ok() {
            self.step_later(process, nonce);
        }
    }

    pub(super) fn delegate_unknown(&mut self, process: &mut Process, nonce: Nonce, from: At) {
        if !self.safeguards.has(Safeguard::UnknownIsFinal) {
            self.delegate_not_run(process, nonce, from);
            return;
        }
        if process
            .table
            .record_unknown(nonce, Reason::LinkLost)
            .is_ok()
        {
            self.end_ticket(
                process,
                nonce,
                &failure_answer_with_reason(Outcome::Unknown, Reason::LinkLost),
            );
        }
    }

    pub(super) fn delegate_deadline(
        &mut self,
        process: &mut Process,
        nonce: Nonce,
        call_id: CallId,
    ) {
        let delegate = process
            .home_calls
            .get(&nonce)
            .and_then(|call| call.delegate);
        let Some((to, _)) = delegate.filter(|(_, current)| *current == call_id) else {
            return;
        };
        let pending_calls = process.pending_calls.get_mut(&to);
        if pending_calls
            .and_then(|pending_calls| pending_calls.abandon(call_id))
            .is_some()
        {
            self.delegate_unknown(process, nonce, to);
        }
    }

    pub(super) fn home_run_done(
        &mut self,
        process: &mut Process,
        nonce: Nonce,
        run_end: RunEnd,
        answer: Answer,
    ) {
        let recorded = match run_end {
            RunEnd::Answer => process
                .table
                .record_answer(nonce, to_shared_answer(&answer)),
            RunEnd::Failed => process.table.record_unknown(nonce, Reason::UpstreamFailed),
            RunEnd::Shed => {
                if process.table.requeue(nonce).is_ok() {
                    self.step_later(process, nonce);
                }
                return;
            }
        };
        if recorded.is_ok() {
            self.end_ticket(process, nonce, &answer);
        }
    }

    /// Ends a ticket with the same answer for everyone who waits for it.
    pub(super) fn end_ticket(&mut self, process: &mut Process, nonce: Nonce, answer: &Answer) {
        process.home_calls.remove(&nonce);
        for requester in process.requesters.remove(&nonce).unwrap_or_default() {
            self.answer_requester(process, requester, answer);
        }
    }

    fn answer_requester(&mut self, process: &mut Process, requester: Requester, answer: &Answer) {
        match requester {
            Requester::Local(send) => self.entry_answer(process, send, answer),
            Requester::Peer { from, call_id } => {
                self.reply_peer(process, from, call_id, answer.clone());
            }
        }
    }
}

impl HomeCall {
    fn work(&self) -> Work {
        Work {
            request: self.request,
            send: self.send,
            ticket: Some(self.ticket.clone()),
        }
    }
}

/// Returns the tickets whose waiting requests were fenced when the table was frozen.
pub(crate) fn fenced_by_freeze(process: &Process) -> Vec<Nonce> {
    let is_fenced = |nonce: &&Nonce| process.table.outcome_of(**nonce).is_some();
    process
        .home_calls
        .keys()
        .filter(is_fenced)
        .copied()
        .collect()
}

pub(crate) fn fenced_answer() -> Answer {
    Answer {
        reason: Reason::Draining.into(),
        ..failure_answer(Outcome::NotRun)
    }
}
