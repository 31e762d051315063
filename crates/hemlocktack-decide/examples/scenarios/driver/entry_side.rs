//! The calling side of a node: shedder, placement, retries.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_decide::{
    RetryBudget, RetryDecision, RetryPriority, combined_outcome, decide_retry, may_move, place,
};
use hemlocktack_protocol::{CallFailure, LoadHint, Reason, Refusal};
use rand::RngExt;

use super::arena::{Call, CallEnd, CallKey, CallLocation};
use super::scenario::Policy;
use super::simulation::{Event, Reply, Simulation};

impl Simulation<'_> {
    /// Makes a call at its node: the first attempt.
    pub(crate) fn make_call(&mut self, key: CallKey) {
        let now = self.now();
        let Some(call) = self.arena.calls.get(&key) else {
            return;
        };
        if self.policy == Policy::Hemlocktack {
            let service = self.deployment.steps[call.step].service;
            let request = &self.arena.requests[&call.request];
            let rank = self.deployment.kinds[request.kind].class_rank;
            let has_prior_work = call.work_before > Duration::ZERO;
            let node = &mut self.nodes[call.from];
            let shedder = &mut node.shedders[service];
            if !shedder.admits(
                call.step as u64,
                rank,
                request.root_request_id,
                has_prior_work,
                now,
            ) {
                self.finish_call(key, CallEnd::Refused(refusal(Reason::Shed)));
                return;
            }
            node.budgets[service].record_first_attempt(now);
        }
        self.send_to_upstream(key, None);
    }

    /// Places a call on an upstream and sends it there.
    fn send_to_upstream(&mut self, key: CallKey, excluded: Option<usize>) {
        let Some(call) = self.arena.calls.get(&key) else {
            return;
        };
        let service = self.deployment.steps[call.step].service;
        let from = call.from;
        let now = self.now();
        let chosen = if self.policy == Policy::Hemlocktack {
            let peers = &self.nodes[from].peers[service];
            place(
                peers,
                |index| Some(index) != excluded,
                None,
                now,
                &self.placement,
                &mut self.rng,
            )
        } else {
            Some(self.rng.random_range(0..self.services[service].len()))
        };
        let Some(index) = chosen else {
            self.finish_call(key, CallEnd::Refused(refusal(Reason::NoUpstream)));
            return;
        };
        self.nodes[from].peers[service][index].sent(now);
        let silence_timeout = self.nodes[from].peers[service][index].silence_timeout();
        let upstream = self.services[service][index];
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        call.upstream = upstream;
        call.location = CallLocation::InTransit;
        call.granted = call.allowance.grant_to_child();
        call.send += 1;
        let send = call.send;
        self.outcomes.calls += 1;
        let delay = self.delay(from, upstream);
        self.schedule(delay, Event::AtUpstream(key, send));
        if self.policy == Policy::Hemlocktack {
            self.schedule(silence_timeout, Event::CheckSilence(key, send));
        }
    }

    /// Sends an idempotent call elsewhere if its peer has gone silent.
    pub(crate) fn check_silence(&mut self, key: CallKey, send: u32) {
        let now = self.now();
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        let kind = self.arena.requests.get(&call.request);
        let is_idempotent =
            kind.is_some_and(|request| self.deployment.kinds[request.kind].idempotent);
        if call.send != send || !is_idempotent {
            return;
        }
        let service = self.deployment.steps[call.step].service;
        let index = index_in(&self.services[service], call.upstream);
        let peer = Arc::clone(&self.nodes[call.from].peers[service][index]);
        if !peer.is_lost(now) {
            self.schedule(peer.silence_timeout(), Event::CheckSilence(key, send));
            return;
        }
        peer.failed(now);
        let child = call.child_call.take();
        if let Some(child) = child {
            self.cancel(child);
        }
        self.withdraw_send(key);
        self.after_reply(key, CallEnd::Crashed, index);
    }

    /// Withdraws a send from wherever it is; the call itself continues.
    fn withdraw_send(&mut self, key: CallKey) {
        let Some(mut call) = self.arena.calls.remove(&key) else {
            return;
        };
        self.withdraw(key, &call);
        call.send += 1;
        call.phase += 1;
        call.location = CallLocation::InTransit;
        call.children_done = 0;
        call.own_done = Duration::ZERO;
        call.child_wait = Duration::ZERO;
        self.arena.calls.insert(key, call);
    }

    /// Sends the outcome of a call back from the upstream's node.
    pub(crate) fn send_reply(&mut self, key: CallKey, end: CallEnd, hint: LoadHint, unspent: u32) {
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        call.location = CallLocation::InTransit;
        let (from, upstream) = (call.from, call.upstream);
        let reply = Some(Reply { end, hint, unspent });
        let slot = match self.free_replies.pop() {
            Some(slot) => {
                self.replies[slot] = reply;
                slot
            }
            None => {
                self.replies.push(reply);
                self.replies.len() - 1
            }
        };
        let delay = self.delay(upstream, from);
        self.schedule(delay, Event::Reply(key, slot));
    }

    pub(crate) fn reply(&mut self, key: CallKey, slot: usize) {
        self.free_replies.push(slot);
        let Some(reply) = self.replies[slot].take() else {
            return;
        };
        let now = self.now();
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        call.allowance.return_unspent(reply.unspent, call.granted);
        call.granted = 0;
        let service = self.deployment.steps[call.step].service;
        let node = &mut self.nodes[call.from];
        let index = index_in(&self.services[service], call.upstream);
        let peer = &node.peers[service][index];
        match reply.end {
            CallEnd::Answered => peer.answered(&reply.hint, now),
            CallEnd::Refused(refusal) => peer.refused(refusal.reason, Some(&reply.hint), now),
            CallEnd::ChildFailed => peer.refused(Reason::Unspecified, Some(&reply.hint), now),
            CallEnd::Crashed => peer.failed(now),
        }
        if reply.end != CallEnd::Crashed {
            node.shedders[service].learn(index, call.step as u64, &reply.hint, now);
        }
        self.after_reply(key, reply.end, index);
    }

    fn after_reply(&mut self, key: CallKey, end: CallEnd, index: usize) {
        let now = self.now();
        if self.policy != Policy::Hemlocktack {
            self.finish_call(key, end);
            return;
        }
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        let last = match end {
            CallEnd::Answered | CallEnd::ChildFailed => {
                self.finish_call(key, end);
                return;
            }
            CallEnd::Refused(refusal) => CallFailure::NotRun(refusal),
            CallEnd::Crashed => CallFailure::Unknown(Reason::UpstreamFailed),
        };
        if let CallFailure::NotRun(refusal) = last
            && may_move(refusal.reason)
            && !call.moved
        {
            call.moved = true;
            self.send_to_upstream(key, Some(index));
            return;
        }
        let unknown = CallFailure::Unknown(Reason::UpstreamFailed);
        let earlier = call.may_have_run.then_some(unknown);
        call.may_have_run |= last == unknown;
        let end = match combined_outcome(earlier, last) {
            CallFailure::Unknown(_) => CallEnd::Crashed,
            CallFailure::NotRun(refusal) => CallEnd::Refused(refusal),
        };
        let service = self.deployment.steps[call.step].service;
        let request = &self.arena.requests[&call.request];
        let decision = decide_retry(
            &last,
            self.deployment.kinds[request.kind].idempotent,
            call.deadline.saturating_sub(self.at),
            Duration::ZERO,
            &RetryBudget {
                allowance: &call.allowance,
                edge: &self.nodes[call.from].budgets[service],
                priority: RetryPriority::HIGHEST,
            },
            now,
        );
        if decision != RetryDecision::Retry {
            self.finish_call(key, end);
            return;
        }
        let request_key = call.request;
        self.count_retry(request_key);
        self.send_to_upstream(key, Some(index));
    }

    fn count_retry(&mut self, request: u64) {
        self.outcomes.retries += 1;
        if let Some(request) = self.arena.requests.get_mut(&request) {
            request.retries += 1;
            self.outcomes.most_retries = self.outcomes.most_retries.max(request.retries);
        }
    }

    /// Handles the end of a call at the node that made it.
    fn finish_call(&mut self, key: CallKey, end: CallEnd) {
        let Some(call) = self.arena.calls.remove(&key) else {
            return;
        };
        match call.parent {
            None => self.finish_root(&call, end),
            Some(parent) => self.resume(parent, end),
        }
    }

    /// Updates the peer's counters for a call that is dropped while it is outstanding.
    pub(crate) fn drop_outstanding(&mut self, call: &Call) {
        let service = self.deployment.steps[call.step].service;
        if self.services[service].contains(&call.upstream) {
            let index = index_in(&self.services[service], call.upstream);
            let now = self.now();
            let peer = Arc::clone(&self.nodes[call.from].peers[service][index]);
            peer.refused(Reason::Cancelled, None, now);
        }
    }
}

fn index_in(nodes: &[usize], node: usize) -> usize {
    nodes
        .iter()
        .position(|other| *other == node)
        .expect("a call's upstream is of its service")
}

pub(crate) fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: None,
    }
}
