//! What becomes of a call that is offered: it runs, waits or is refused.

use std::time::{Duration, Instant};

use hemlocktack_protocol::Reason;

use super::Admission;
use crate::offer::{AdmissionDecision, OfferedCall, QueueDecision};
use crate::queue::{Waiting, class_of};

impl Admission {
    pub(super) fn offer_free(&mut self, offer: &OfferedCall, now: Instant) -> AdmissionDecision {
        if self.has_free_slot() && self.queue.is_empty() {
            return self.offer_idle(offer, now);
        }
        self.limit.note_saturated();
        if let Some(limit) = &mut self.objective_limit {
            limit.note_saturated();
        }
        let class = class_of(offer.class_rank);
        let invested = offer.work_spent > Duration::ZERO;
        let ahead = self.queue.ahead_of(class, invested);
        let waiting = Waiting::from_offer(offer, now);
        let wait = self.wait_for(ahead + 1);
        let is_long = waiting
            .objective
            .is_some_and(|objective| wait > objective.mul_f64(self.policy.queue.wait_share));
        if is_long
            || self.is_late_anyway(&waiting, now)
            || self.is_hopeless(offer.kind, waiting.deadline, wait, now)
        {
            return AdmissionDecision::Refused(self.refusal_of(
                Reason::DeadlineTooShort,
                &waiting,
                now,
            ));
        }
        if self.is_shed(offer, class, invested, now) {
            return AdmissionDecision::Refused(self.refusal_of(Reason::Shed, &waiting, now));
        }
        if !self.make_room(class, invested) {
            self.hold_back_below(class, now);
            return AdmissionDecision::Refused(self.refusal_of(Reason::QueueFull, &waiting, now));
        }
        self.queue.push(waiting);
        AdmissionDecision::Queued
    }

    /// A slot is free and nobody waits. Load: none. Harm: refusing here would
    /// keep capacity back for nobody; so only a call that has no chance at all
    /// is refused, and one of those is run now and then to correct the estimate.
    fn offer_idle(&mut self, offer: &OfferedCall, now: Instant) -> AdmissionDecision {
        let expected = self.work.expected(offer.kind, now);
        let time_left = offer.deadline.saturating_duration_since(now);
        if time_left < expected / 2 && !self.probe(now) {
            return AdmissionDecision::Refused(
                self.refusal(Reason::DeadlineTooShort, offer.call_id),
            );
        }
        self.start(&Waiting::from_offer(offer, now), now);
        AdmissionDecision::Run
    }

    pub(super) fn offer_suspect(&mut self, offer: &OfferedCall, now: Instant) -> AdmissionDecision {
        if !self.suspects.push(Waiting::from_offer(offer, now)) {
            return AdmissionDecision::Refused(self.refusal(Reason::Quarantined, offer.call_id));
        }
        AdmissionDecision::Queued
    }

    fn make_room(&mut self, class: usize, invested: bool) -> bool {
        // A queue full of deeper calls keeps no fresh one from its turn.
        let has_turn = !invested && self.queue.has_turn(class);
        if self.queue.len() < self.queue_bound() || has_turn {
            return true;
        }
        let Some(evicted) = self.queue.evict_below(class, invested) else {
            return false;
        };
        let refusal = self.refusal(Reason::QueueFull, evicted.call_id);
        self.refusals
            .push(QueueDecision::Refuse(evicted.call_id, refusal));
        true
    }

    pub(super) fn queue_bound(&self) -> usize {
        let bound = f64::from(self.current_limit()) * self.policy.queue.per_slot;
        (bound as usize)
            .max(self.policy.queue.least)
            .min(self.policy.queue.most)
    }
}
