//! Links between nodes: delayed, reordered, duplicated and lost frames.

use hemlocktack_fleet::calls::{Arrival, PendingCalls, Resolution, Resolved};
use hemlocktack_protocol::frame::Body;
use hemlocktack_protocol::{
    Answer, Call, CallId, CallProgress, CallPurpose, CallResolution, Outcome, Reason, ResolveCall,
};

use crate::world::events::NodeEvent;
use crate::world::process::{Asker, Process, RunFor, Waiter};
use crate::world::safeguards::Safeguard;
use crate::world::upstream::Work;
use crate::world::{At, TimeMs, World, name_of};

const SLOW_FRAME_MS: TimeMs = 300;
const REDIAL_MS: TimeMs = 60;

/// Whether calls can go to a peer now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    Linked,
    NotYet,
    /// The handshake proves another start under the peer's name.
    OtherStart,
}

impl World {
    pub(super) fn send(&mut self, process: &mut Process, to: At, body: Body) {
        let Some(&session) = process.links.get(&to) else {
            return;
        };
        let copies = if self.chance(3) { 2 } else { 1 };
        for _ in 0..copies {
            let delay_ms = match self.chance(self.fault_rates.slow_frame_percent) {
                true => self.between(1, SLOW_FRAME_MS),
                false => self.between(1, 5),
            };
            let body = Box::new(body.clone());
            self.after_at(
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
        let sends = process
            .sends
            .entry(to)
            .or_insert_with(|| PendingCalls::new(name_of(to)));
        sends.insert(call_id, waiter);
        let body = Body::Call(call);
        match self.chance(self.fault_rates.queued_frame_percent) {
            true => {
                let delay_ms = self.between(1, 40);
                let body = Box::new(body);
                self.after_at(delay_ms, process.at, NodeEvent::Flush { to, call_id, body });
            }
            false => self.flush(process, to, call_id, body),
        }
    }

    pub(super) fn flush(&mut self, process: &mut Process, to: At, call_id: CallId, body: Body) {
        let Some(sends) = process.sends.get_mut(&to) else {
            return;
        };
        let may_write =
            sends.mark_sent(call_id) || !self.safeguards.has(Safeguard::QueuedFrameWithdrawn);
        if process.links.contains_key(&to) && may_write {
            self.send(process, to, body);
        }
    }

    pub(super) fn frame(&mut self, process: &mut Process, from: At, session: u64, body: Body) {
        // Now and then a frame is read from a buffer of a link that was lost.
        if self.closed_sessions.contains(&session) && !self.chance(40) {
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
        let asker = Asker::Peer {
            from,
            call_id: call.call_id,
        };
        if call.purpose() == CallPurpose::Home {
            self.home_start(process, work, asker);
            return;
        }
        let refuses_drain = process.stop.is_some() && self.safeguards.has(Safeguard::DrainRefuses);
        if refuses_drain || self.chance(15) {
            self.reply_peer(process, from, call.call_id, unfinished(Outcome::NotRun));
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
        let sends = process.sends.get_mut(&from);
        let Some(waiter) = sends.and_then(|sends| sends.answered(answer.call_id)) else {
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
            // On a copy, so that nothing remembers what was told.
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
        let Some(sends) = process.sends.get_mut(&from) else {
            return;
        };
        match sends.resolved(resolution.call_id, resolution.progress()) {
            Resolved::NotRun(waiter) => self.proved_not_run(process, waiter, from),
            Resolved::Unknown(waiter) => self.may_have_run(process, waiter, from),
            Resolved::Waiting | Resolved::Ignored => {}
        }
    }

    fn proved_not_run(&mut self, process: &mut Process, waiter: Waiter, peer: At) {
        match waiter {
            Waiter::Entry(send) => self.entry_not_sent(process, send),
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
        let Some(sends) = process.sends.get_mut(&peer) else {
            return;
        };
        let loss = sends.link_lost();
        for waiter in loss.not_sent {
            self.proved_not_run(process, waiter, peer);
        }
        let delay_ms = self.between(1, 100);
        self.after_at(delay_ms, process.at, NodeEvent::Dial(peer));
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
        let waits = process
            .sends
            .get(&peer)
            .is_some_and(|sends| sends.waiting_count() > 0);
        if waits {
            self.after_at(REDIAL_MS, process.at, NodeEvent::Dial(peer));
        }
    }

    fn connect(&mut self, process: &mut Process, mut other: Process) {
        // The other end may not have noticed yet that the old link is lost.
        if let Some(&old_session) = other.links.get(&process.at) {
            self.closed_sessions.insert(old_session);
            self.link_lost(&mut other, process.at, old_session);
        }
        let session = self.new_id();
        process.links.insert(other.at, session);
        other.links.insert(process.at, session);
        self.open_sessions
            .insert(pair(process.at, other.at), session);
        let other_at = other.at;
        self.ask_unresolved(process, other_at);
        self.ask_unresolved(&mut other, process.at);
        self.put_back(other);
    }

    fn ask_unresolved(&mut self, process: &mut Process, peer: At) {
        let call_ids = process
            .sends
            .get(&peer)
            .map(PendingCalls::unresolved)
            .unwrap_or_default();
        for call_id in call_ids {
            self.send(process, peer, Body::Resolve(ResolveCall { call_id }));
        }
    }

    fn peer_gone(&mut self, process: &mut Process, peer: At) {
        let Some(mut sends) = process.sends.remove(&peer) else {
            return;
        };
        for waiter in sends.peer_gone() {
            match self.safeguards.has(Safeguard::PeerIncarnation) {
                true => self.may_have_run(process, waiter, peer),
                false => self.proved_not_run(process, waiter, peer),
            }
        }
    }

    /// Cuts the link between two starts; both notice after a while.
    pub(super) fn cut(&mut self, one: At, other: At) {
        let Some(session) = self.open_sessions.remove(&pair(one, other)) else {
            return;
        };
        self.closed_sessions.insert(session);
        for (at, peer) in [(one, other), (other, one)] {
            let delay_ms = self.between(1, 200);
            self.after_at(delay_ms, at, NodeEvent::LinkLost { peer, session });
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

pub(crate) fn unfinished(outcome: Outcome) -> Answer {
    Answer {
        outcome: outcome.into(),
        ..Answer::default()
    }
}

pub(crate) fn unfinished_for(outcome: Outcome, reason: Reason) -> Answer {
    Answer {
        reason: reason.into(),
        ..unfinished(outcome)
    }
}

fn pair(one: At, other: At) -> (At, At) {
    (one.min(other), one.max(other))
}
