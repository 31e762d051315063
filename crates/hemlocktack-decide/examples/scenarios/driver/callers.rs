//! Callers: they send, wait as long as their patience lasts and send again.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_decide::RetryAllowance;
use rand::RngExt;

use super::arena::{Call, CallEnd, CallKey, Place, Request, RequestKey};
use super::scenario::{LONG_ONE_IN, Policy};
use super::world::{ALLOWANCE, Event, World};

impl World<'_> {
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
            let pressed = self.scenario.is_pressed(self.at);
            let outcome = &mut self.outcomes.kinds[kind];
            outcome.arrived += 1;
            outcome.pressed += u64::from(pressed);
            let at = self.at;
            if let Some(bin) = self.outcomes.bin(at) {
                bin.arrived += 1;
            }
        }
        self.send(key);
    }

    /// One send: a root call on its way to the entry node.
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
            deadline: self.at + kind.patience,
            from: entry,
            upstream: entry,
            place: Place::Travelling,
            send: 0,
            moved: false,
            may_have_run: false,
            work_before: Duration::ZERO,
            own_done: Duration::ZERO,
            time_below: Duration::ZERO,
            deeper_done: 0,
            deeper_call: None,
            deeper_since: Duration::ZERO,
            phase: 0,
            phase_work: Duration::ZERO,
            phase_since: Duration::ZERO,
            allowance: Arc::new(RetryAllowance::new(ALLOWANCE)),
            inner: Arc::new(RetryAllowance::new(0)),
            given: 0,
            attempt_work: Duration::ZERO,
            is_long: is_long && request.kind + 1 == self.deployment.kinds.len(),
        };
        let patience = kind.patience;
        self.arena.calls.insert(call_key, call);
        self.schedule(self.deployment.client_delay, Event::AtEntry(call_key));
        self.schedule(patience, Event::GivesUp(key, attempt));
    }

    fn draw_entry(&mut self) -> usize {
        loop {
            let node = self.rng.random_range(0..self.nodes.len());
            let pressed = self.scenario.skewed_entry && self.scenario.is_pressed(self.at);
            if self.frozen.contains(&node) {
                continue;
            }
            if !pressed || self.nodes[node].upstream.data_centre == 0 {
                return node;
            }
        }
    }

    /// The root call has ended at its entry; the caller hears of it.
    pub(crate) fn end_root(&mut self, call: &Call, end: CallEnd) {
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
            CallEnd::FailedBelow => "failed-below",
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
        let pressed = self.scenario.is_pressed(request.first_sent);
        let outcome = &mut self.outcomes.kinds[request.kind];
        outcome.answered += 1;
        outcome.pressed_answered += u64::from(pressed);
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

    pub(crate) fn gives_up(&mut self, key: RequestKey, attempt: u32) {
        let Some(request) = self.arena.requests.get_mut(&key) else {
            return;
        };
        // A send that has ended already is followed by its own next step.
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

    /// Callers send again until their sends are used up. Under hemlocktack a
    /// request that is not idempotent goes again only when it was refused: after
    /// an unknown outcome its ticket would only be joined to the first send.
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

    /// Drops a call and everything below it, wherever it is.
    pub(crate) fn cancel(&mut self, key: CallKey) {
        let Some(call) = self.arena.calls.remove(&key) else {
            return;
        };
        if let Some(deeper) = call.deeper_call {
            self.cancel(deeper);
        }
        self.forget_placement(&call);
        self.withdraw(key, &call);
    }
}
