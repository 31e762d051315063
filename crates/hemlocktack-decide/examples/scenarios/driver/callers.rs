//! Callers: they send requests, time out and retry.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_decide::RetryAllowance;
use rand::RngExt;

use super::arena::{Call, CallEnd, CallKey, CallLocation, Request, RequestKey};
use super::scenario::{LONG_ONE_IN, Policy};
use super::simulation::{ALLOWANCE, Event, Simulation};

impl Simulation<'_> {
    pub(crate) fn new_request(&mut self, kind: usize, crashes_upstreams: bool) {
        let key = self.arena.next_key();
        let request = Request {
            kind,
            first_sent: self.at,
            sends: 0,
            answered: false,
            root_call: None,
            retries: 0,
            runs: 0,
            crashes_upstreams,
            root_request_id: self.demand_rng.random(),
        };
        self.arena.requests.insert(key, request);
        if !crashes_upstreams {
            let under_pressure = self.scenario.is_under_pressure(self.at);
            let outcome = &mut self.outcomes.kinds[kind];
            outcome.arrived += 1;
            outcome.under_pressure += u64::from(under_pressure);
            let at = self.at;
            if let Some(bin) = self.outcomes.bin(at) {
                bin.arrived += 1;
            }
        }
        self.send(key);
    }

    /// Sends a request: a root call goes to its entry node.
    pub(crate) fn send(&mut self, key: RequestKey) {
        let entry = self.draw_entry();
        let call_key = self.arena.next_key();
        let Some(request) = self.arena.requests.get_mut(&key) else {
            return;
        };
        let kind = &self.deployment.kinds[request.kind];
        request.sends += 1;
        request.root_call = Some(call_key);
        request.retries = 0;
        let attempt = request.sends;
        self.outcomes.caller_resends += u64::from(attempt > 1);
        let is_long =
            self.scenario.long_calls && request.root_request_id.is_multiple_of(LONG_ONE_IN);
        let call = Call {
            request: key,
            attempt,
            step: kind.root,
            parent: None,
            root: call_key,
            deadline: self.at + kind.timeout,
            from: entry,
            upstream: entry,
            location: CallLocation::InTransit,
            send: 0,
            moved: false,
            may_have_run: false,
            work_before: Duration::ZERO,
            own_done: Duration::ZERO,
            child_wait: Duration::ZERO,
            children_done: 0,
            child_call: None,
            child_since: Duration::ZERO,
            phase: 0,
            phase_work: Duration::ZERO,
            phase_since: Duration::ZERO,
            allowance: Arc::new(RetryAllowance::new(ALLOWANCE)),
            child_allowance: Arc::new(RetryAllowance::new(0)),
            granted: 0,
            attempt_work: Duration::ZERO,
            is_long: is_long && request.kind + 1 == self.deployment.kinds.len(),
        };
        let timeout = kind.timeout;
        self.arena.calls.insert(call_key, call);
        self.schedule(self.deployment.client_delay, Event::AtEntry(call_key));
        self.schedule(timeout, Event::CallerTimeout(key, attempt));
    }

    fn draw_entry(&mut self) -> usize {
        loop {
            let node = self.rng.random_range(0..self.nodes.len());
            let under_pressure =
                self.scenario.skewed_entry && self.scenario.is_under_pressure(self.at);
            if self.frozen.contains(&node) {
                continue;
            }
            if !under_pressure || self.nodes[node].upstream.data_centre == 0 {
                return node;
            }
        }
    }

    /// Handles the end of a root call at its entry and notifies the caller.
    pub(crate) fn finish_root(&mut self, call: &Call, end: CallEnd) {
        let answered = end == CallEnd::Answered;
        let refused = matches!(end, CallEnd::Refused(_));
        self.count_end(call.request, end);
        let delay = self.deployment.client_delay;
        let in_time = answered && self.at + delay <= call.deadline;
        if in_time {
            self.outcomes.useful_work += call.attempt_work;
        }
        self.schedule(
            delay,
            Event::AtCaller(call.request, call.attempt, answered, refused),
        );
    }

    fn count_end(&mut self, key: RequestKey, end: CallEnd) {
        let name = match end {
            CallEnd::Answered => return,
            CallEnd::Refused(refusal) => <&'static str>::from(refusal.reason),
            CallEnd::ChildFailed => "failed-below",
            CallEnd::Crashed => "crashed",
        };
        self.count_failed_send(key, name);
    }

    fn count_failed_send(&mut self, key: RequestKey, name: &str) {
        let Some(request) = self.arena.requests.get(&key) else {
            return;
        };
        if request.crashes_upstreams {
            return;
        }
        let ends = &mut self.outcomes.kinds[request.kind].ends;
        *ends.entry(name.to_owned()).or_default() += 1;
    }

    pub(crate) fn at_caller(
        &mut self,
        key: RequestKey,
        attempt: u32,
        answered: bool,
        refused: bool,
    ) {
        let Some(request) = self.arena.requests.get_mut(&key) else {
            return;
        };
        if request.sends != attempt || request.answered {
            return;
        }
        request.root_call = None;
        if !answered {
            let kind = request.kind;
            self.outcomes.kinds[kind].refused += u64::from(refused);
            self.send_again(key, refused);
            return;
        }
        request.answered = true;
        let request = self.arena.requests.remove(&key);
        let Some(request) = request.filter(|request| !request.crashes_upstreams) else {
            return;
        };
        self.count_answer(&request);
    }

    fn count_answer(&mut self, request: &Request) {
        let under_pressure = self.scenario.is_under_pressure(request.first_sent);
        let outcome = &mut self.outcomes.kinds[request.kind];
        outcome.answered += 1;
        outcome.answered_under_pressure += u64::from(under_pressure);
        let latency = self.at - request.first_sent;
        self.outcomes
            .latency
            .saturating_record(latency.as_micros() as u64);
        if let Some(bin) = self.outcomes.bin(request.first_sent) {
            bin.answered += 1;
        }
        let at = self.at;
        if let Some(bin) = self.outcomes.bin(at) {
            bin.goodput += 1;
        }
    }

    pub(crate) fn caller_timed_out(&mut self, key: RequestKey, attempt: u32) {
        let Some(request) = self.arena.requests.get_mut(&key) else {
            return;
        };
        // A send that has already ended is handled by its own event.
        let Some(root_call) = request.root_call else {
            return;
        };
        if request.sends != attempt {
            return;
        }
        request.root_call = None;
        if self.policy == Policy::Hemlocktack {
            self.cancel(root_call);
        }
        self.count_failed_send(key, "gave-up");
        self.send_again(key, false);
    }

    /// Sends a request again until the caller's sends are used up. Under hemlocktack, a request
    /// that is not idempotent is sent again only if it was refused: after an unknown outcome,
    /// its ticket would only join the first send.
    fn send_again(&mut self, key: RequestKey, refused: bool) {
        let Some(request) = self.arena.requests.get(&key) else {
            return;
        };
        let idempotent = self.deployment.kinds[request.kind].idempotent;
        let may_repeat = self.policy != Policy::Hemlocktack || idempotent || refused;
        if request.crashes_upstreams || request.sends >= self.scenario.caller_sends || !may_repeat {
            self.arena.requests.remove(&key);
            return;
        }
        let pause = self
            .scenario
            .caller_pause
            .mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(pause, Event::Send(key));
    }

    /// Cancels a call and its child calls, wherever they are.
    pub(crate) fn cancel(&mut self, key: CallKey) {
        let Some(call) = self.arena.calls.remove(&key) else {
            return;
        };
        if let Some(child) = call.child_call {
            self.cancel(child);
        }
        self.drop_outstanding(&call);
        self.withdraw(key, &call);
    }
}
