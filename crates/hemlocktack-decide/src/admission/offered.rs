//! Decides whether an offered call runs, waits or is refused.

use std::time::{Duration, Instant};

use hemlocktack_protocol::Reason;

use super::Admission;
use crate::offer::{AdmissionDecision, OfferedCall, QueueDecision};
use crate::queue::{QueuedCall, class_of};

impl Admission {
    pub(super) fn run_or_queue(&mut self, offer: &OfferedCall, now: Instant) -> AdmissionDecision {
        if self.has_free_slot() && self.queue.is_empty() {
            return self.run_in_free_slot(offer, now);
        }
        self.limit.mark_saturated();
        if let Some(limit) = &mut self.objective_limit {
            limit.mark_saturated();
        }
        let class = class_of(offer.class_rank);
        let has_prior_work = offer.work_spent > Duration::ZERO;
        let ahead = self.queue.calls_ahead_of(class, has_prior_work);
        let queued_call = QueuedCall::from_offer(offer, now);
        let wait = self.wait_for(ahead + 1);
        let is_wait_too_long = queued_call
            .objective
            .is_some_and(|objective| wait > objective.mul_f64(self.policy.queue.max_wait_share));
        if is_wait_too_long
            || self.has_returned_too_late(&queued_call, now)
            || self.misses_deadline(offer.kind, queued_call.deadline, wait, now)
        {
            return AdmissionDecision::Refused(self.refusal_within_objective(
                Reason::DeadlineTooShort,
                &queued_call,
                now,
            ));
        }
        if self.is_shed(offer, class, has_prior_work, now) {
            return AdmissionDecision::Refused(self.refusal_within_objective(
                Reason::Shed,
                &queued_call,
                now,
            ));
        }
        if !self.make_room(class, has_prior_work) {
            self.hold_back_below(class, now);
            return AdmissionDecision::Refused(self.refusal_within_objective(
                Reason::QueueFull,
                &queued_call,
                now,
            ));
        }
        self.queue.push(queued_call);
        AdmissionDecision::Queued
    }

    /// Handles a call when a slot is free and no call is queued. A refusal here would reserve
    /// capacity for nobody, so only a call without any chance to finish in time is refused, and
    /// one of these runs occasionally to correct the estimate.
    fn run_in_free_slot(&mut self, offer: &OfferedCall, now: Instant) -> AdmissionDecision {
        let expected = self.work.expected(offer.kind, now);
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

    fn make_room(&mut self, class: usize, has_prior_work: bool) -> bool {
        // A queue full of calls with prior work must not block a fresh call that has its turn.
        let has_fresh_turn = !has_prior_work && self.queue.has_fresh_turn(class);
        if self.queue.len() < self.queue_bound() || has_fresh_turn {
            return true;
        }
        let Some(evicted) = self.queue.evict_less_important(class, has_prior_work) else {
            return false;
        };
        let refusal = self.refusal(Reason::QueueFull, evicted.call_id);
        self.refusals
            .push(QueueDecision::Refuse(evicted.call_id, refusal));
        true
    }

    pub(super) fn queue_bound(&self) -> usize {
        let bound = f64::from(self.current_limit()) * self.policy.queue.calls_per_slot;
        (bound as usize)
            .max(self.policy.queue.min_calls)
            .min(self.policy.queue.max_calls)
    }
}
