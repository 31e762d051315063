//! Work of a call at its upstream: phases, deeper calls between them, the end.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_decide::{RetryAllowance, RunResult};

use super::arena::{Call, CallEnd, CallKey, Place};
use super::scenario::{LONG_FACTOR, Policy};
use super::world::{Event, World};

/// How far the crashing request gets.
const CRASHES_AFTER: Duration = Duration::from_millis(10);

impl World<'_> {
    pub(super) fn hand_over(&mut self, key: CallKey) {
        let Some(call) = self.arena.calls.get_mut(&key) else {
            self.outcomes.ran_after_refusal += 1;
            return;
        };
        call.place = Place::Inside;
        // The allowance that came with the call is what its children share.
        call.inner = Arc::new(RetryAllowance::new(call.given));
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
    pub(super) fn start_phase(&mut self, key: CallKey) {
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
            inner: Arc::new(RetryAllowance::new(0)),
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
            self.nodes[node].edges.record_answer(step as u64, &deeper);
        }
        let hint = self.hint(node, step);
        self.send_reply(key, end, hint, unspent);
        self.take_decisions(node);
    }

    fn free_slot(&mut self, key: CallKey, node: usize, below: Duration, answered: bool) {
        let now = self.now();
        if let Some(next) = self.nodes[node].upstream.leave(key) {
            self.start_phase(next);
        }
        if self.policy == Policy::Hemlocktack {
            let ended = if answered {
                RunResult::Answered
            } else {
                RunResult::Failed
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
                admission.finish(key, RunResult::Cancelled, call.time_below, now);
                if !self.frozen.contains(&node) {
                    self.take_decisions(node);
                }
            }
        }
    }
}
