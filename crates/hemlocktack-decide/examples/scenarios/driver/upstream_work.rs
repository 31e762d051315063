//! Execution of a call at its upstream: phases of work with child calls between them.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_decide::{RetryAllowance, RunResult};

use super::arena::{Call, CallEnd, CallKey, CallLocation};
use super::scenario::{LONG_FACTOR, Policy};
use super::simulation::{Event, Simulation};

/// Time after which the crashing request crashes its upstream.
const CRASHES_AFTER: Duration = Duration::from_millis(10);

impl Simulation<'_> {
    pub(super) fn hand_over(&mut self, key: CallKey) {
        let Some(call) = self.arena.calls.get_mut(&key) else {
            self.outcomes.ran_after_refusal += 1;
            return;
        };
        call.location = CallLocation::InUpstream;
        // The allowance that came with the call is shared by its child calls.
        call.child_allowance = Arc::new(RetryAllowance::new(call.granted));
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

    /// Starts the next phase: own work is split evenly before, between and after the child
    /// calls.
    pub(super) fn start_phase(&mut self, key: CallKey) {
        let spread = 0.5 + self.exponential(0.5);
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        let step = &self.deployment.steps[call.step];
        let phases = step.child_steps.len() as u32 + 1;
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
        if call.phase != phase || call.location != CallLocation::InUpstream {
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
        match step.child_steps.get(call.children_done) {
            Some(&child_step) => self.make_child_call(key, child_step),
            None => self.leave_upstream(key, CallEnd::Answered),
        }
    }

    fn count_work(&mut self, root: CallKey, work: Duration) {
        self.outcomes.work += work;
        if let Some(root) = self.arena.calls.get_mut(&root) {
            root.attempt_work += work;
        }
    }

    fn make_child_call(&mut self, parent_key: CallKey, step: usize) {
        let key = self.arena.next_key();
        let at = self.at;
        let Some(parent) = self.arena.calls.get_mut(&parent_key) else {
            return;
        };
        parent.child_call = Some(key);
        parent.child_since = at;
        let call = Call {
            request: parent.request,
            attempt: parent.attempt,
            step,
            parent: Some(parent_key),
            root: parent.root,
            deadline: parent.deadline,
            from: parent.upstream,
            upstream: parent.upstream,
            location: CallLocation::InTransit,
            send: 0,
            moved: false,
            may_have_run: false,
            work_before: parent.work_before + parent.own_done,
            own_done: Duration::ZERO,
            child_wait: Duration::ZERO,
            children_done: 0,
            child_call: None,
            child_since: Duration::ZERO,
            phase: 0,
            phase_work: Duration::ZERO,
            phase_since: Duration::ZERO,
            allowance: Arc::clone(&parent.child_allowance),
            child_allowance: Arc::new(RetryAllowance::new(0)),
            granted: 0,
            attempt_work: Duration::ZERO,
            is_long: false,
        };
        self.arena.calls.insert(key, call);
        self.make_call(key);
    }

    /// Handles the end of a child call: its parent continues, or fails with it.
    pub(crate) fn resume(&mut self, parent_key: CallKey, end: CallEnd) {
        let at = self.at;
        let Some(parent) = self.arena.calls.get_mut(&parent_key) else {
            return;
        };
        parent.child_call = None;
        parent.children_done += 1;
        parent.child_wait += at - parent.child_since;
        if end == CallEnd::Answered {
            self.start_phase(parent_key);
        } else {
            self.leave_upstream(parent_key, CallEnd::ChildFailed);
        }
    }

    /// Ends a call in its upstream, answered or failed.
    fn leave_upstream(&mut self, key: CallKey, end: CallEnd) {
        let call = &self.arena.calls[&key];
        let (node, step, child_wait) = (call.upstream, call.step, call.child_wait);
        let unspent = call.child_allowance.left();
        self.free_slot(key, node, child_wait, end == CallEnd::Answered);
        if self.policy == Policy::Hemlocktack && end == CallEnd::Answered {
            let child_kinds: Vec<u64> = self.deployment.steps[step]
                .child_steps
                .iter()
                .map(|step| *step as u64)
                .collect();
            self.nodes[node]
                .edges
                .record_answer(step as u64, &child_kinds);
        }
        let hint = self.hint(node, step);
        self.send_reply(key, end, hint, unspent);
        self.take_decisions(node);
    }

    fn free_slot(&mut self, key: CallKey, node: usize, child_wait: Duration, answered: bool) {
        let now = self.now();
        if let Some(next) = self.nodes[node].upstream.remove(key) {
            self.start_phase(next);
        }
        if self.policy == Policy::Hemlocktack {
            let ended = if answered {
                RunResult::Answered
            } else {
                RunResult::Failed
            };
            self.nodes[node]
                .admission
                .finish(key, ended, child_wait, now);
        }
    }

    /// Removes a cancelled call from wherever it is.
    pub(crate) fn withdraw(&mut self, key: CallKey, call: &Call) {
        let node = call.upstream;
        match call.location {
            CallLocation::InTransit => {}
            CallLocation::Queued => {
                self.nodes[node].admission.cancel(key);
            }
            CallLocation::InUpstream => {
                if !call.phase_work.is_zero() {
                    let done = (self.at - call.phase_since).min(call.phase_work);
                    self.count_work(call.root, done);
                }
                let now = self.now();
                if let Some(next) = self.nodes[node].upstream.remove(key) {
                    self.start_phase(next);
                }
                let admission = &mut self.nodes[node].admission;
                admission.finish(key, RunResult::Cancelled, call.child_wait, now);
                if !self.frozen.contains(&node) {
                    self.take_decisions(node);
                }
            }
        }
    }
}
