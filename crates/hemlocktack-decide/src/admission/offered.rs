//! Decides whether an offered call runs, waits or is refused.

use std::time::Instant;

use hemlocktack_protocol::Reason;

use super::Admission;
use crate::offer::{AdmissionDecision, OfferedCall};
use crate::queue::{QueuePlace, QueuedCall};

impl Admission {
    pub(super) fn run_or_queue(&mut self, offer: &OfferedCall, now: Instant) -> AdmissionDecision {
        if !self.admits_within_rate_limit(offer, now) {
            let queued_call = QueuedCall::from_offer(offer, now);
            return self.refuse_offer(Reason::UpstreamRateLimited, &queued_call, now);
        }
        if self.has_free_slot() && self.queue.is_empty() {
            return self.run_in_free_slot(offer, now);
        }
        self.limit.mark_saturated();
        if let Some(limit) = &mut self.objective_limit {
            limit.mark_saturated();
        }
        let queued_call = QueuedCall::from_offer(offer, now);
        let place = queued_call.place;
        let ahead = self.queue.calls_ahead_of(place, self.queue_order(now));
        let wait = self.wait_for(ahead + 1, now);
        let is_wait_too_long = queued_call
            .objective
            .is_some_and(|objective| wait > objective.mul_f64(self.policy.queue.max_wait_share));
        if is_wait_too_long
            || self.has_returned_too_late(&queued_call, now)
            || self.misses_deadline(offer.kind, queued_call.deadline, wait, now)
        {
            return self.refuse_offer(Reason::DeadlineTooShort, &queued_call, now);
        }
        if self.is_shed(offer, place, now) {
            return self.refuse_offer(Reason::Shed, &queued_call, now);
        }
        if !self.make_room(place, now) {
            self.hold_back_below(place.class, now);
            return self.refuse_offer(Reason::QueueFull, &queued_call, now);
        }
        self.queue.push(queued_call);
        AdmissionDecision::Queued
    }

    /// Handles a call when a slot is free and no call is queued. A refusal here would reserve
    /// capacity for nobody, so only a call without any chance to finish in time is refused, and
    /// one of these runs occasionally to correct the estimate.
    fn run_in_free_slot(&mut self, offer: &OfferedCall, now: Instant) -> AdmissionDecision {
        let expected = self.expected(offer.kind, now);
        let time_left = offer.deadline.saturating_duration_since(now);
        if time_left < expected / 2 && !self.probe(now) {
            return AdmissionDecision::Refused(
                self.refusal(Reason::DeadlineTooShort, offer.call_id),
            );
        }
        self.start(&QueuedCall::from_offer(offer, now), now);
        AdmissionDecision::Run
    }

    pub(super) fn queue_suspect(&mut self, offer: &OfferedCall, now: Instant) -> AdmissionDecision {
        if !self.suspects.push(QueuedCall::from_offer(offer, now)) {
            return AdmissionDecision::Refused(self.refusal(Reason::Quarantined, offer.call_id));
        }
        AdmissionDecision::Queued
    }

    fn make_room(&mut self, place: QueuePlace, now: Instant) -> bool {
        // A queue full of calls with prior work must not block a fresh call that has its turn.
        let has_fresh_turn = !place.has_prior_work() && self.queue.has_fresh_turn(place.class);
        if self.queue.len() < self.queue_bound() || has_fresh_turn {
            return true;
        }
        let order = self.queue_order(now);
        let Some(evicted) = self.queue.evict_less_important(place, order) else {
            return false;
        };
        self.refuse_dequeued(Reason::QueueFull, &evicted);
        true
    }

    pub(super) fn queue_bound(&self) -> usize {
        let bound = f64::from(self.current_limit()) * self.policy.queue.calls_per_slot;
        (bound as usize)
            .max(self.policy.queue.min_calls)
            .min(self.policy.queue.max_calls)
    }
}
