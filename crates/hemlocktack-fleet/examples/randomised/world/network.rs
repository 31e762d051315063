//! Simulated links between nodes, which delay, reorder, duplicate and lose frames.

use hemlocktack_fleet::calls::{Arrival, PendingCalls, Resolution, Resolved};
use hemlocktack_protocol::frame::Body;
use hemlocktack_protocol::{
    Answer, Call, CallId, CallProgress, CallPurpose, CallResolution, Outcome, Reason, ResolveCall,
};

use crate::world::events::NodeEvent;
use crate::world::process::{Process, Requester, RunFor, Waiter};
use crate::world::safeguards::Safeguard;
use crate::world::upstream::Work;
use crate::world::{At, TimeMs, World, name_of};

const SLOW_FRAME_MS: TimeMs = 300;
const REDIAL_MS: TimeMs = 60;

/// Whether calls can be sent to a peer now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    Linked,
    NotYet,
    /// The handshake shows another incarnation under the peer's name.
    OtherStart,
}

impl World {
    pub(super) fn send(&mut self, process: &mut Process, to: At, body: Body) {
        let Some(&session) = process.links.get(&to) else {
            return;
        };
        let copies = if self.random_chance(3) { 2 } else { 1 };
        for _ in 0..copies {
            let delay_ms = match self.random_chance(self.fault_rates.slow_frame_percent) {
                true => self.random_between(1, SLOW_FRAME_MS),
                false => self.random_between(1, 5),
            };
            let body = Box::new(body.clone());
            self.schedule_node_event(
                delay_ms,
                to,
                NodeEvent::Frame {
                    from: process.at,
                    session,
                    body,
                },
            );
        }
    }

    pub(super) fn send_call(&mut self, process: &mut Process, to: At, call: Call, waiter: Waiter) {
        let call_id = call.call_id;
        let pending_calls = process
            .pending_calls
            .entry(to)
            .or_insert_with(|| PendingCalls::new(name_of(to)));
        pending_calls.insert(call_id, waiter);
        let body = Body::Call(call);
        match self.random_chance(self.fault_rates.queued_frame_percent) {
            true => {
                let delay_ms = self.random_between(1, 40);
                let body = Box::new(body);
                self.schedule_node_event(
                    delay_ms,
                    process.at,
                    NodeEvent::Flush { to, call_id, body },
                );
            }
            false => self.flush(process, to, call_id, body),
        }
    }

    pub(super) fn flush(&mut self, process: &mut Process, to: At, call_id: CallId, body: Body) {
        let Some(pending_calls) = process.pending_calls.get_mut(&to) else {
            return;
        };
        let may_write = pending_calls.mark_sent(call_id)
            || !self.safeguards.has(Safeguard::QueuedFrameWithdrawn);
        if process.links.contains_key(&to) && may_write {
            self.send(process, to, body);
        }
    }

    pub(super) fn frame(&mut self, process: &mut Process, from: At, session: u64, body: Body) {
        // Some frames of a lost link are still read from its buffer.
        if self.closed_sessions.contains(&session) && !self.random_chance(40) {
            return;
        }
        match body {
            Body::Call(call) => self.on_call(process, from, call),
            Body::Answer(answer) => self.on_answer_frame(process, from, answer),
            Body::Resolve(resolve) => self.on_resolve(process, from, resolve.call_id),
            Body::Resolution(resolution) => self.on_resolution(process, from, resolution),
            Body::Handover(handover) => self.on_handover(process, from, handover),
            Body::HandoverAccepted(accepted) => {
                self.on_handover_accepted(process, from, &accepted);
            }
            _ => {}
        }
    }

    fn on_call(&mut self, process: &mut Process, from: At, call: Call) {
        let arrival = process
            .arrivals
            .record_arrival(&name_of(from), call.call_id);
        if arrival == Arrival::Dropped && self.safeguards.has(Safeguard::DuplicateCalls) {
            return;
        }
        let Some(work) = Work::from_call(&self.keys, &call) else {
            return;
        };
        let requester = Requester::Peer {
            from,
            call_id: call.call_id,
        };
        if call.purpose() == CallPurpose::Home {
            self.home_start(process, work, requester);
            return;
        }
        let refuses_drain = process.stop.is_some() && self.safeguards.has(Safeguard::DrainRefuses);
        if refuses_drain || self.random_chance(15) {
            self.reply_peer(process, from, call.call_id, failure_answer(Outcome::NotRun));
            return;
        }
        self.begin_run(
            process,
            RunFor::Peer {
                from,
                call_id: call.call_id,
            },
            &work,
        );
    }

    pub(super) fn reply_peer(
        &mut self,
        process: &mut Process,
        from: At,
        call_id: CallId,
        answer: Answer,
    ) {
        let answer = Answer { call_id, ..answer };
        process
            .arrivals
            .finish(&name_of(from), call_id, Some(answer.clone().into()));
        self.send(process, from, Body::Answer(answer));
    }

    fn on_answer_frame(&mut self, process: &mut Process, from: At, answer: Answer) {
        let pending_calls = process.pending_calls.get_mut(&from);
        let Some(waiter) =
            pending_calls.and_then(|pending_calls| pending_calls.answered(answer.call_id))
        else {
            return;
        };
        match waiter {
            Waiter::Entry(send) => self.entry_answer(process, send, &answer),
            Waiter::Delegated(nonce) => self.delegate_answer(process, nonce, from, answer),
        }
    }

    fn on_resolve(&mut self, process: &mut Process, from: At, call_id: CallId) {
        self.ledger.counts.resolutions += 1;
        let resolution = match self.safeguards.has(Safeguard::FenceOnResolve) {
            true => process.arrivals.resolve(&name_of(from), call_id),
            // Works on a copy, so that the call is not fenced.
            false => process.arrivals.clone().resolve(&name_of(from), call_id),
        };
        let mut progress = resolution.progress();
        if let Resolution::Finished(answer) = resolution {
            self.send(process, from, Body::Answer((*answer).clone()));
        }
        if progress == CallProgress::Forgotten && !self.safeguards.has(Safeguard::Mark) {
            progress = CallProgress::NeverArrived;
        }
        let resolution = CallResolution {
            call_id,
            progress: progress.into(),
        };
        self.send(process, from, Body::Resolution(resolution));
    }

    fn on_resolution(&mut self, process: &mut Process, from: At, resolution: CallResolution) {
        let Some(pending_calls) = process.pending_calls.get_mut(&from) else {
            return;
        };
        match pending_calls.resolved(resolution.call_id, resolution.progress()) {
            Resolved::NotRun(waiter) => self.proved_not_run(process, waiter, from),
            Resolved::Unknown(waiter) => self.may_have_run(process, waiter, from),
            Resolved::Waiting | Resolved::Ignored => {}
        }
    }

    fn proved_not_run(&mut self, process: &mut Process, waiter: Waiter, peer: At) {
        match waiter {
            Waiter::Entry(send) => self.entry_send_not_run(process, send),
            Waiter::Delegated(nonce) => self.delegate_not_run(process, nonce, peer),
        }
    }

    fn may_have_run(&mut self, process: &mut Process, waiter: Waiter, peer: At) {
        match waiter {
            Waiter::Entry(send) => self.entry_may_have_run(process, send),
            Waiter::Delegated(nonce) => self.delegate_unknown(process, nonce, peer),
        }
    }

    pub(super) fn link_lost(&mut self, process: &mut Process, peer: At, session: u64) {
        if process.links.get(&peer) != Some(&session) {
            return;
        }
        process.links.remove(&peer);
        let Some(pending_calls) = process.pending_calls.get_mut(&peer) else {
            return;
        };
        let loss = pending_calls.link_lost();
        for waiter in loss.not_sent {
            self.proved_not_run(process, waiter, peer);
        }
        let delay_ms = self.random_between(1, 100);
        self.schedule_node_event(delay_ms, process.at, NodeEvent::Dial(peer));
    }

    pub(super) fn reach(&mut self, process: &Process, peer: At) -> Reach {
        if process.links.contains_key(&peer) {
            return Reach::Linked;
        }
        if self.is_partitioned(process.at.slot, peer.slot) {
            return Reach::NotYet;
        }
        match &self.processes[peer.slot] {
            Some(other) if other.at != peer && !other.frozen => Reach::OtherStart,
            _ => Reach::NotYet,
        }
    }

    pub(super) fn dial(&mut self, process: &mut Process, peer: At) {
        match self.reach(process, peer) {
            Reach::Linked => return,
            Reach::OtherStart => {
                self.peer_gone(process, peer);
                return;
            }
            Reach::NotYet => {}
        }
        let can_connect = !self.is_partitioned(process.at.slot, peer.slot)
            && self.processes[peer.slot]
                .as_ref()
                .is_some_and(|other| !other.frozen);
        if can_connect && let Some(other) = self.processes[peer.slot].take() {
            self.connect(process, other);
            return;
        }
        let has_pending_calls = process
            .pending_calls
            .get(&peer)
            .is_some_and(|pending_calls| pending_calls.waiting_count() > 0);
        if has_pending_calls {
            self.schedule_node_event(REDIAL_MS, process.at, NodeEvent::Dial(peer));
        }
    }

    fn connect(&mut self, process: &mut Process, mut other: Process) {
        // The other end may not have detected yet that the old link is lost.
        if let Some(&old_session) = other.links.get(&process.at) {
            self.closed_sessions.insert(old_session);
            self.link_lost(&mut other, process.at, old_session);
        }
        let session = self.new_id();
        process.links.insert(other.at, session);
        other.links.insert(process.at, session);
        self.open_sessions
            .insert(ordered_pair(process.at, other.at), session);
        let other_at = other.at;
        self.resolve_pending_calls(process, other_at);
        self.resolve_pending_calls(&mut other, process.at);
        self.return_process(other);
    }

    fn resolve_pending_calls(&mut self, process: &mut Process, peer: At) {
        let call_ids = process
            .pending_calls
            .get(&peer)
            .map(PendingCalls::unresolved)
            .unwrap_or_default();
        for call_id in call_ids {
            self.send(process, peer, Body::Resolve(ResolveCall { call_id }));
        }
    }

    fn peer_gone(&mut self, process: &mut Process, peer: At) {
        let Some(mut pending_calls) = process.pending_calls.remove(&peer) else {
            return;
        };
        for waiter in pending_calls.peer_gone() {
            match self.safeguards.has(Safeguard::PeerIncarnation) {
                true => self.may_have_run(process, waiter, peer),
                false => self.proved_not_run(process, waiter, peer),
            }
        }
    }

    /// Cuts the link between two processes; each detects it after a delay of its own.
    pub(super) fn cut(&mut self, one: At, other: At) {
        let Some(session) = self.open_sessions.remove(&ordered_pair(one, other)) else {
            return;
        };
        self.closed_sessions.insert(session);
        for (at, peer) in [(one, other), (other, one)] {
            let delay_ms = self.random_between(1, 200);
            self.schedule_node_event(delay_ms, at, NodeEvent::LinkLost { peer, session });
        }
    }

    pub(super) fn cut_all(&mut self, at: At) {
        let pairs: Vec<_> = self.open_sessions.keys().copied().collect();
        for (one, other) in pairs
            .into_iter()
            .filter(|(one, other)| *one == at || *other == at)
        {
            self.cut(one, other);
        }
    }

    pub(super) fn is_partitioned(&self, one: usize, other: usize) -> bool {
        let key = (one.min(other), one.max(other));
        self.partitioned_until
            .get(&key)
            .is_some_and(|until_ms| *until_ms > self.now_ms)
    }
}

pub(crate) fn failure_answer(outcome: Outcome) -> Answer {
    Answer {
        outcome: outcome.into(),
        ..Answer::default()
    }
}

pub(crate) fn failure_answer_with_reason(outcome: Outcome, reason: Reason) -> Answer {
    Answer {
        reason: reason.into(),
        ..failure_answer(outcome)
    }
}

fn ordered_pair(one: At, other: At) -> (At, At) {
    (one.min(other), one.max(other))
}
