//! The side of a node beside its upstream: admission.

use std::time::Duration;

use hemlocktack_decide::{AdmissionDecision, OfferedCall, QueueDecision};
use hemlocktack_protocol::{LoadHint, Reason};

use super::arena::{Call, CallEnd, CallKey, CallLocation};
use super::entry_side::refusal;
use super::scenario::Policy;
use super::simulation::{Event, Simulation};

/// Queued calls per slot under the static policy.
const STATIC_QUEUE_PER_SLOT: usize = 4;
/// Fingerprint of the crashing request; other fingerprints derive from the request number.
const CRASHING_FINGERPRINT: u64 = u64::MAX;
impl Simulation<'_> {
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
            self.set_location(key, CallLocation::Queued);
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
        let offer = OfferedCall {
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
            AdmissionDecision::Run => self.hand_over(key),
            AdmissionDecision::Queued => self.set_location(key, CallLocation::Queued),
            AdmissionDecision::Refused(refusal) => self.refuse(key, refusal),
        }
        self.schedule_wake(node);
    }

    /// Returns a fingerprint that differs by request and by step: a child call is another
    /// request to another service.
    fn fingerprint(&self, call: &Call) -> u64 {
        if self.arena.requests[&call.request].crashes_upstreams {
            CRASHING_FINGERPRINT
        } else {
            call.request * self.deployment.steps.len() as u64 + call.step as u64
        }
    }

    fn refuse(&mut self, key: CallKey, refusal: hemlocktack_protocol::Refusal) {
        let call = &self.arena.calls[&key];
        let (unspent, node, step) = (call.granted, call.upstream, call.step);
        let hint = self.hint(node, step);
        self.send_reply(key, CallEnd::Refused(refusal), hint, unspent);
    }

    pub(super) fn hint(&self, node: usize, step: usize) -> LoadHint {
        if self.policy != Policy::Hemlocktack {
            return LoadHint::default();
        }
        let now = self.now();
        let node = &self.nodes[node];
        let level = node.edges.level(step as u64, |child_kind| {
            let service = self.deployment.steps[child_kind as usize].service;
            node.shedders[service].level(child_kind, now)
        });
        node.admission.hint(level, now)
    }

    pub(crate) fn wake(&mut self, node: usize) {
        if self.nodes[node].wake_at == Some(self.at) {
            self.nodes[node].wake_at = None;
            self.take_decisions(node);
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

    /// Starts or refuses queued calls.
    pub(crate) fn take_decisions(&mut self, node: usize) {
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
                self.nodes[node]
                    .admission
                    .take_decisions(now, &mut decisions);
                for decision in decisions {
                    match decision {
                        QueueDecision::Run(key) => self.hand_over(key),
                        QueueDecision::Refuse(key, refusal) => self.refuse(key, refusal),
                    }
                }
                self.schedule_wake(node);
            }
        }
    }

    fn set_location(&mut self, key: CallKey, location: CallLocation) {
        if let Some(call) = self.arena.calls.get_mut(&key) {
            call.location = location;
        }
    }
}
