//! The side of a node beside its upstream: admission, and the work itself.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_decide::{Allowance, Decision, Ended, Offer, Verdict};
use hemlocktack_protocol::{LoadHint, Reason};

use super::arena::{Call, CallEnd, CallKey, Place};
use super::entry_side::refusal;
use super::scenario::{LONG_FACTOR, Policy};
use super::world::{Event, World};

/// Calls that the static policy lets wait for each slot.
const STATIC_QUEUE_PER_SLOT: usize = 4;
/// Fingerprint of the crashing request; others have their request's number.
const CRASHING_FINGERPRINT: u64 = u64::MAX;
/// How far the crashing request gets.
const CRASHES_AFTER: Duration = Duration::from_millis(10);

impl World<'_> {
    pub(crate) fn reach_upstream(&mut self, key: CallKey, send: u32) {
        let Some(call) = self.arena.calls.get(&key) else {
            return;
        };
        if call.send != send {
            return;
        }
        let node = call.upstream;
        if self.nodes[node].upstream.is_down && self.policy != Policy::Hemlocktack {
            self.send_reply(
                key,
                CallEnd::Refused(refusal(Reason::NoUpstream)),
                LoadHint::default(),
                0,
            );
            return;
        }
        match self.policy {
            Policy::None => self.hand_over(key),
            Policy::Static => self.offer_static(key, node),
            Policy::Hemlocktack => self.offer(key, node),
        }
    }

    fn offer_static(&mut self, key: CallKey, node: usize) {
        let target = &mut self.nodes[node];
        let slots = target.upstream.announced_slots as usize;
        if target.upstream.len() < slots {
            self.hand_over(key);
        } else if target.fifo.len() < slots * STATIC_QUEUE_PER_SLOT {
            target.fifo.push_back(key);
            self.set_place(key, Place::Queued);
        } else {
            self.send_reply(
                key,
                CallEnd::Refused(refusal(Reason::QueueFull)),
                LoadHint::default(),
                0,
            );
        }
    }

    fn offer(&mut self, key: CallKey, node: usize) {
        let call = &self.arena.calls[&key];
        let request = &self.arena.requests[&call.request];
        let offer = Offer {
            call_id: key,
            class_rank: self.deployment.kinds[request.kind].class_rank,
            deadline: self.instant(call.deadline),
            objective: None,
            has_returned: false,
            root_request_id: request.root_request_id,
            work_spent: call.work_before,
            fingerprint: self.fingerprint(call),
            kind: call.step as u64,
        };
        let now = self.now();
        match self.nodes[node].admission.offer(&offer, now) {
            Verdict::Run => self.hand_over(key),
            Verdict::Queued => self.set_place(key, Place::Queued),
            Verdict::Refused(refusal) => self.refuse(key, refusal),
        }
        self.schedule_wake(node);
    }

    /// Differs by request and by step: a deeper call is another request to
    /// another service.
    fn fingerprint(&self, call: &Call) -> u64 {
        if self.arena.requests[&call.request].crashes_upstreams {
            CRASHING_FINGERPRINT
        } else {
            call.request * self.deployment.steps.len() as u64 + call.step as u64
        }
    }

    fn refuse(&mut self, key: CallKey, refusal: hemlocktack_protocol::Refusal) {
        let call = &self.arena.calls[&key];
        let (unspent, node, step) = (call.given, call.upstream, call.step);
        let hint = self.hint(node, step);
        self.send_reply(key, CallEnd::Refused(refusal), hint, unspent);
    }

    fn hint(&self, node: usize, step: usize) -> LoadHint {
        if self.policy != Policy::Hemlocktack {
            return LoadHint::default();
        }
        let now = self.now();
        let node = &self.nodes[node];
        let level = node.edges.level(step as u64, |deeper| {
            let service = self.deployment.steps[deeper as usize].service;
            node.shedders[service].level(deeper, now)
        });
        node.admission.hint(level)
    }

    pub(crate) fn wake(&mut self, node: usize) {
        if self.nodes[node].wake_at == Some(self.at) {
            self.nodes[node].wake_at = None;
            self.take_ready(node);
        }
    }

    fn schedule_wake(&mut self, node: usize) {
        let Some(wake) = self.nodes[node].admission.next_wake() else {
            return;
        };
        let at = wake
            .saturating_duration_since(self.epoch)
            .max(self.at + Duration::from_micros(10));
        let planned = self.nodes[node].wake_at;
        if planned.is_none_or(|planned| planned > at) {
            self.nodes[node].wake_at = Some(at);
            self.schedule(at - self.at, Event::Wake(node));
        }
    }

    /// Starts or refuses waiting calls.
    pub(crate) fn take_ready(&mut self, node: usize) {
        match self.policy {
            Policy::None => {}
            Policy::Static => {
                while self.nodes[node].upstream.len()
                    < self.nodes[node].upstream.announced_slots as usize
                {
                    let Some(key) = self.nodes[node].fifo.pop_front() else {
                        return;
                    };
                    if self.arena.calls.contains_key(&key) {
                        self.hand_over(key);
                    }
                }
            }
            Policy::Hemlocktack => {
                let now = self.now();
                let mut decisions = Vec::new();
                self.nodes[node].admission.take_ready(now, &mut decisions);
                for decision in decisions {
                    match decision {
                        Decision::Run(key) => self.hand_over(key),
                        Decision::Refuse(key, refusal) => self.refuse(key, refusal),
                    }
                }
                self.schedule_wake(node);
            }
        }
    }

    fn hand_over(&mut self, key: CallKey) {
        let Some(call) = self.arena.calls.get_mut(&key) else {
            self.outcomes.ran_after_refusal += 1;
            return;
        };
        call.place = Place::Inside;
        // The allowance that came with the call is what its children share.
        call.inner = Arc::new(Allowance::new(call.given));
        let node = call.upstream;
        if call.parent.is_none()
            && let Some(request) = self.arena.requests.get_mut(&call.request)
        {
            request.runs += 1;
            let idempotent = self.deployment.kinds[request.kind].idempotent;
            self.outcomes.ran_twice += u64::from(!idempotent && request.runs == 2);
        }
        if self.nodes[node].upstream.take(key) {
            self.start_phase(key);
        }
    }

    /// Own work is split evenly before, between and after the deeper calls.
    fn start_phase(&mut self, key: CallKey) {
        let spread = 0.5 + self.exponential(0.5);
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        let step = &self.deployment.steps[call.step];
        let phases = step.deeper.len() as u32 + 1;
        let slowness = self.nodes[call.upstream].upstream.slowness_at(self.at);
        let long = if call.is_long { LONG_FACTOR } else { 1.0 };
        let mut work = (step.own_work / phases).mul_f64(spread * slowness * long);
        let crashes = self
            .arena
            .requests
            .get(&call.request)
            .is_some_and(|request| request.crashes_upstreams);
        if crashes {
            work = CRASHES_AFTER;
        }
        call.phase += 1;
        call.phase_work = work;
        call.phase_since = self.at;
        let phase = call.phase;
        self.schedule(work, Event::WorkDone(key, phase));
    }

    pub(crate) fn work_done(&mut self, key: CallKey, phase: u32) {
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        if call.phase != phase || call.place != Place::Inside {
            return;
        }
        let work = call.phase_work;
        call.phase_work = Duration::ZERO;
        call.own_done += work;
        let (root, node, request) = (call.root, call.upstream, call.request);
        self.count_work(root, work);
        let crashes = self
            .arena
            .requests
            .get(&request)
            .is_some_and(|request| request.crashes_upstreams);
        if crashes {
            self.crash(node);
            return;
        }
        let call = &self.arena.calls[&key];
        let step = &self.deployment.steps[call.step];
        match step.deeper.get(call.deeper_done) {
            Some(&deeper) => self.call_deeper(key, deeper),
            None => self.leave(key, CallEnd::Answered),
        }
    }

    fn count_work(&mut self, root: CallKey, work: Duration) {
        self.outcomes.work += work;
        if let Some(root) = self.arena.calls.get_mut(&root) {
            root.attempt_work += work;
        }
    }

    fn call_deeper(&mut self, parent_key: CallKey, step: usize) {
        let key = self.arena.next_key();
        let at = self.at;
        let Some(parent) = self.arena.calls.get_mut(&parent_key) else {
            return;
        };
        parent.deeper_call = Some(key);
        parent.deeper_since = at;
        let call = Call {
            request: parent.request,
            attempt: parent.attempt,
            step,
            parent: Some(parent_key),
            root: parent.root,
            deadline: parent.deadline,
            from: parent.upstream,
            upstream: parent.upstream,
            place: Place::Travelling,
            send: 0,
            moved: false,
            may_have_run: false,
            work_before: parent.work_before + parent.own_done,
            own_done: Duration::ZERO,
            time_below: Duration::ZERO,
            deeper_done: 0,
            deeper_call: None,
            deeper_since: Duration::ZERO,
            phase: 0,
            phase_work: Duration::ZERO,
            phase_since: Duration::ZERO,
            allowance: Arc::clone(&parent.inner),
            inner: Arc::new(Allowance::new(0)),
            given: 0,
            attempt_work: Duration::ZERO,
            is_long: false,
        };
        self.arena.calls.insert(key, call);
        self.make_call(key);
    }

    /// A deeper call has ended: its parent goes on, or fails with it.
    pub(crate) fn resume(&mut self, parent_key: CallKey, end: CallEnd) {
        let at = self.at;
        let Some(parent) = self.arena.calls.get_mut(&parent_key) else {
            return;
        };
        parent.deeper_call = None;
        parent.deeper_done += 1;
        parent.time_below += at - parent.deeper_since;
        if end == CallEnd::Answered {
            self.start_phase(parent_key);
        } else {
            self.leave(parent_key, CallEnd::FailedBelow);
        }
    }

    /// A call leaves its upstream, answered or failed.
    fn leave(&mut self, key: CallKey, end: CallEnd) {
        let call = &self.arena.calls[&key];
        let (node, step, below) = (call.upstream, call.step, call.time_below);
        let unspent = call.inner.left();
        self.free_slot(key, node, below, end == CallEnd::Answered);
        if self.policy == Policy::Hemlocktack && end == CallEnd::Answered {
            let deeper: Vec<u64> = self.deployment.steps[step]
                .deeper
                .iter()
                .map(|step| *step as u64)
                .collect();
            self.nodes[node].edges.answered(step as u64, &deeper);
        }
        let hint = self.hint(node, step);
        self.send_reply(key, end, hint, unspent);
        self.take_ready(node);
    }

    fn free_slot(&mut self, key: CallKey, node: usize, below: Duration, answered: bool) {
        let now = self.now();
        if let Some(next) = self.nodes[node].upstream.leave(key) {
            self.start_phase(next);
        }
        if self.policy == Policy::Hemlocktack {
            let ended = if answered {
                Ended::Answered
            } else {
                Ended::Failed
            };
            self.nodes[node].admission.finish(key, ended, below, now);
        }
    }

    /// A cancelled call is taken out of wherever it is.
    pub(crate) fn withdraw(&mut self, key: CallKey, call: &Call) {
        let node = call.upstream;
        match call.place {
            Place::Travelling => {}
            Place::Queued => {
                self.nodes[node].admission.cancel(key);
            }
            Place::Inside => {
                if !call.phase_work.is_zero() {
                    let done = (self.at - call.phase_since).min(call.phase_work);
                    self.count_work(call.root, done);
                }
                let now = self.now();
                if let Some(next) = self.nodes[node].upstream.leave(key) {
                    self.start_phase(next);
                }
                let admission = &mut self.nodes[node].admission;
                admission.finish(key, Ended::Cancelled, call.time_below, now);
                if !self.frozen.contains(&node) {
                    self.take_ready(node);
                }
            }
        }
    }

    fn crash(&mut self, node: usize) {
        const DOWN_FOR: Duration = Duration::from_secs(2);
        self.outcomes.crashes += 1;
        self.stop(node, DOWN_FOR);
    }

    /// The upstream stops with all that it holds; it is back, cold, later.
    pub(crate) fn stop(&mut self, node: usize, down_for: Duration) {
        let now = self.now();
        let mut calls = self.nodes[node].upstream.crash();
        if self.policy == Policy::Hemlocktack {
            calls.clear();
            self.nodes[node].admission.crashed(&mut calls, now);
            calls.sort_unstable();
            self.nodes[node].admission.lost(now);
            self.spread_suspects(node);
        }
        calls.extend(std::mem::take(&mut self.nodes[node].fifo));
        for key in calls {
            self.end_crashed(key);
        }
        self.take_ready(node);
        self.schedule(down_for, Event::Back(node));
    }

    fn end_crashed(&mut self, key: CallKey) {
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        call.phase += 1;
        if let Some(deeper) = call.deeper_call.take() {
            self.cancel(deeper);
        }
        self.send_reply(key, CallEnd::Crashed, LoadHint::default(), 0);
    }

    /// What one node found out reaches the others; here at once, by gossip in
    /// the node.
    fn spread_suspects(&mut self, from: usize) {
        let now = self.now();
        let news = self.nodes[from].admission.quarantine().take_news();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if index != from {
                for suspect in &news {
                    node.admission.quarantine().learn(*suspect, now);
                }
            }
        }
    }

    fn set_place(&mut self, key: CallKey, place: Place) {
        if let Some(call) = self.arena.calls.get_mut(&key) {
            call.place = place;
        }
    }
}
