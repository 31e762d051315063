//! The home of a ticket: joins, starts, delegates, refuses.

use hemlocktack_fleet::tickets::{Nonce, StartDecision, Ticket};
use hemlocktack_protocol::{Answer, CallFailure, CallId, CallPurpose, Outcome, Reason};

use crate::world::events::NodeEvent;
use crate::world::network::{Reach, unfinished, unfinished_for};
use crate::world::process::{Asker, HomeCall, Process, RunEnd, RunFor, Waiter};
use crate::world::safeguards::Safeguard;
use crate::world::upstream::{Work, shared};
use crate::world::{At, TimeMs, World, is_child, name_of, service_slots};

const DELEGATE_DEADLINE_MS: TimeMs = 1000;
const TRY_LIMIT: u32 = 5;

impl World {
    pub(super) fn home_start(&mut self, process: &mut Process, work: Work, asker: Asker) {
        let Some(ticket) = work.ticket.clone() else {
            return;
        };
        let ticket = self.as_seen_by_home(process, ticket);
        let work = Work {
            ticket: Some(ticket.clone()),
            ..work
        };
        let forgetful = match self.safeguards.has(Safeguard::FenceWhileStopping) {
            true => None,
            // A copy, so that nothing remembers what was told.
            false => process.stop.as_ref().map(|_| process.table.clone()),
        };
        let fingerprint = match self.safeguards.has(Safeguard::RequestBound) {
            true => work.request,
            false => 0,
        };
        let start = match forgetful {
            Some(mut table) => table.start(&ticket, fingerprint),
            None => process.table.start(&ticket, fingerprint),
        };
        match start {
            StartDecision::Run => {
                if ticket.home != process.name {
                    self.ledger.counts.adopted_starts += 1;
                }
                self.let_in(process, work, ticket, asker);
            }
            StartDecision::Join => {
                self.ledger.counts.joins += 1;
                self.join(process, work, ticket, asker);
            }
            StartDecision::Answered(answer) => self.end_asker(process, asker, &answer),
            StartDecision::AnswerNotKept => {
                let answer = unfinished_for(Outcome::Unknown, Reason::AnswerNotKept);
                self.end_asker(process, asker, &answer);
            }
            StartDecision::Refused(refused) => self.refused(process, work, asker, refused),
        }
    }

    // Without the safeguard: the node goes by its name, which outlives its memory.
    fn as_seen_by_home(&self, process: &Process, ticket: Ticket) -> Ticket {
        let same_name = ticket.home.node_id == process.name.node_id;
        if self.safeguards.has(Safeguard::HomeIncarnation) || !same_name {
            return ticket;
        }
        let epoch = process.table.current_epoch();
        let home = process.name.clone();
        let issued = Ticket::issue(
            &self.keys,
            ticket.service.clone(),
            home,
            epoch,
            ticket.nonce,
        );
        issued.unwrap_or(ticket)
    }

    fn let_in(&mut self, process: &mut Process, work: Work, ticket: Ticket, asker: Asker) {
        let nonce = ticket.nonce;
        let Work { request, send, .. } = work;
        let call = HomeCall {
            request,
            send,
            ticket,
            delegate: None,
            tries_left: TRY_LIMIT,
        };
        process.home_calls.insert(nonce, call);
        process.askers.entry(nonce).or_default().push(asker);
        let step_count = if self.chance(20) { 2 } else { 1 };
        for _ in 0..step_count {
            let delay_ms = self.between(0, 40);
            self.after_at(delay_ms, process.at, NodeEvent::HomeStep(nonce));
        }
    }

    fn join(&mut self, process: &mut Process, work: Work, ticket: Ticket, asker: Asker) {
        let nonce = ticket.nonce;
        if !process.home_calls.contains_key(&nonce) && process.told_not_run.contains(&nonce) {
            self.let_in(process, work, ticket, asker);
            return;
        }
        process.askers.entry(nonce).or_default().push(asker);
        if !self.safeguards.has(Safeguard::Join) {
            self.begin_run(process, RunFor::Home(nonce), &work);
        }
    }

    fn refused(&mut self, process: &mut Process, work: Work, asker: Asker, refused: CallFailure) {
        let ignored = match refused {
            CallFailure::Unknown(Reason::TicketExpired) => !self.safeguards.has(Safeguard::Expiry),
            CallFailure::Unknown(Reason::Draining) => !self.safeguards.has(Safeguard::Freeze),
            _ => false,
        };
        match (ignored, asker) {
            (true, Asker::Peer { from, call_id }) => {
                self.begin_run(process, RunFor::Peer { from, call_id }, &work);
            }
            (true, Asker::Local(send)) => self.begin_run(process, RunFor::Local(send), &work),
            (false, _) => {
                let answer = unfinished_for(refused.outcome(), refused.reason());
                self.end_asker(process, asker, &answer);
            }
        }
    }

    pub(super) fn home_step(&mut self, process: &mut Process, nonce: Nonce) {
        let Some(call) = process.home_calls.get_mut(&nonce) else {
            return;
        };
        if call.tries_left == 0 {
            self.refuse(process, nonce, Reason::QueueFull);
            return;
        }
        call.tries_left -= 1;
        let starts_here = process.stop.is_none() || !self.safeguards.has(Safeguard::DrainRefuses);
        match self.between(0, 99) {
            0..50 if starts_here => self.start_here(process, nonce),
            0..80 => self.delegate(process, nonce),
            80..90 => self.refuse(process, nonce, Reason::Shed),
            _ => self.step_later(process, nonce),
        }
    }

    fn step_later(&mut self, process: &Process, nonce: Nonce) {
        let delay_ms = self.between(1, 60);
        self.after_at(delay_ms, process.at, NodeEvent::HomeStep(nonce));
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
        let slot = self.between(slots.start as u64, slots.end as u64 - 1) as usize;
        let known = self
            .known_start(slot)
            .filter(|known| known.at != process.at);
        let Some(known) = known else {
            self.step_later(process, nonce);
            return;
        };
        if self.reach(process, known.at) != Reach::Linked {
            self.after_at(1, process.at, NodeEvent::Dial(known.at));
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
        self.after_at(DELEGATE_DEADLINE_MS, process.at, deadline);
    }

    pub(super) fn refuse(&mut self, process: &mut Process, nonce: Nonce, reason: Reason) {
        let refused = match self.safeguards.has(Safeguard::FenceOnRefusal) {
            true => process.table.refuse(nonce, reason).is_ok(),
            // On a copy, so that the ticket stays startable.
            false => process.table.clone().refuse(nonce, reason).is_ok(),
        };
        if refused {
            process.told_not_run.insert(nonce);
            self.end(process, nonce, &unfinished_for(Outcome::NotRun, reason));
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
                if process.table.record_answer(nonce, shared(&answer)).is_ok() {
                    self.end(process, nonce, &answer);
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
            self.end(
                process,
                nonce,
                &unfinished_for(Outcome::Unknown, Reason::LinkLost),
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
        let sends = process.sends.get_mut(&to);
        if sends.and_then(|sends| sends.abandon(call_id)).is_some() {
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
            RunEnd::Answer => process.table.record_answer(nonce, shared(&answer)),
            RunEnd::Failed => process.table.record_unknown(nonce, Reason::UpstreamFailed),
            RunEnd::Shed => {
                if process.table.requeue(nonce).is_ok() {
                    self.step_later(process, nonce);
                }
                return;
            }
        };
        if recorded.is_ok() {
            self.end(process, nonce, &answer);
        }
    }

    /// Everybody who waits for the ticket gets the same end.
    pub(super) fn end(&mut self, process: &mut Process, nonce: Nonce, answer: &Answer) {
        process.home_calls.remove(&nonce);
        for asker in process.askers.remove(&nonce).unwrap_or_default() {
            self.end_asker(process, asker, answer);
        }
    }

    fn end_asker(&mut self, process: &mut Process, asker: Asker, answer: &Answer) {
        match asker {
            Asker::Local(send) => self.entry_answer(process, send, answer),
            Asker::Peer { from, call_id } => {
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

/// Tells those whose waiting request the freeze of the table has fenced.
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
        ..unfinished(Outcome::NotRun)
    }
}
