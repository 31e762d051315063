//! The side of a node that makes calls: shedder, placement, retries.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_decide::{
    RetryBudget, RetryDecision, RetryPriority, combined_outcome, decide_retry, may_move, place,
};
use hemlocktack_protocol::{CallFailure, LoadHint, Reason, Refusal};
use rand::RngExt;

use super::arena::{Call, CallEnd, CallKey, Place};
use super::scenario::Policy;
use super::world::{Event, Reply, World};

impl World<'_> {
    /// A call is made at its node: first try.
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
                self.end_call(key, CallEnd::Refused(refusal(Reason::Shed)));
                return;
            }
            node.budgets[service].record_first_attempt(now);
        }
        self.put(key, None);
    }

    /// Puts a call on an upstream and sends it there.
    fn put(&mut self, key: CallKey, excluded: Option<usize>) {
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
            self.end_call(key, CallEnd::Refused(refusal(Reason::NoUpstream)));
            return;
        };
        self.nodes[from].peers[service][index].sent(now);
        let silence_timeout = self.nodes[from].peers[service][index].silence_timeout();
        let upstream = self.services[service][index];
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        call.upstream = upstream;
        call.place = Place::Travelling;
        call.given = call.allowance.grant_to_child();
        call.send += 1;
        let send = call.send;
        self.outcomes.calls += 1;
        let delay = self.delay(from, upstream);
        self.schedule(delay, Event::AtUpstream(key, send));
        if self.policy == Policy::Hemlocktack {
            self.schedule(silence_timeout, Event::LookForSilence(key, send));
        }
    }

    /// An idempotent call whose peer has gone silent is sent elsewhere.
    pub(crate) fn look_for_silence(&mut self, key: CallKey, send: u32) {
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
            self.schedule(peer.silence_timeout(), Event::LookForSilence(key, send));
            return;
        }
        peer.failed(now);
        let deeper = call.deeper_call.take();
        if let Some(deeper) = deeper {
            self.cancel(deeper);
        }
        self.give_up_send(key);
        self.after_reply(key, CallEnd::Crashed, index);
    }

    /// Takes a send back from where it is; the call itself goes on.
    fn give_up_send(&mut self, key: CallKey) {
        let Some(mut call) = self.arena.calls.remove(&key) else {
            return;
        };
        self.withdraw(key, &call);
        call.send += 1;
        call.phase += 1;
        call.place = Place::Travelling;
        call.deeper_done = 0;
        call.own_done = Duration::ZERO;
        call.time_below = Duration::ZERO;
        self.arena.calls.insert(key, call);
    }

    /// The upstream's node sends a call's end back.
    pub(crate) fn send_reply(&mut self, key: CallKey, end: CallEnd, hint: LoadHint, unspent: u32) {
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        call.place = Place::Travelling;
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
        call.allowance.return_unspent(reply.unspent, call.given);
        call.given = 0;
        let service = self.deployment.steps[call.step].service;
        let node = &mut self.nodes[call.from];
        let index = index_in(&self.services[service], call.upstream);
        let peer = &node.peers[service][index];
        match reply.end {
            CallEnd::Answered => peer.answered(&reply.hint, now),
            CallEnd::Refused(refusal) => peer.refused(refusal.reason, Some(&reply.hint), now),
            CallEnd::FailedBelow => peer.refused(Reason::Unspecified, Some(&reply.hint), now),
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
            self.end_call(key, end);
            return;
        }
        let Some(call) = self.arena.calls.get_mut(&key) else {
            return;
        };
        let last = match end {
            CallEnd::Answered | CallEnd::FailedBelow => {
                self.end_call(key, end);
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
            self.put(key, Some(index));
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
        let verdict = decide_retry(
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
        if verdict != RetryDecision::Retry {
            self.end_call(key, end);
            return;
        }
        let request_key = call.request;
        self.count_retry(request_key);
        self.put(key, Some(index));
    }

    fn count_retry(&mut self, request: u64) {
        self.outcomes.retries += 1;
        if let Some(request) = self.arena.requests.get_mut(&request) {
            request.retries += 1;
            self.outcomes.most_retries = self.outcomes.most_retries.max(request.retries);
        }
    }

    /// A call has come to its end at the node that made it.
    fn end_call(&mut self, key: CallKey, end: CallEnd) {
        let Some(call) = self.arena.calls.remove(&key) else {
            return;
        };
        match call.parent {
            None => self.end_root(&call, end),
            Some(parent) => self.resume(parent, end),
        }
    }

    /// Book-keeping for a call that is dropped while it is out.
    pub(crate) fn forget_placement(&mut self, call: &Call) {
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
