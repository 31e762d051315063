//! Decides which calls are too late, and builds refusals.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallId, Reason, Refusal};

use super::{Admission, HoldBack};
use crate::mix::mix;
use crate::offer::{AdmissionDecision, OfferedCall, QueueDecision, WorkKind};
use crate::queue::{QueuePlace, QueuedCall};
use crate::retry_after::{cap_to_objective, retry_after};

impl Admission {
    /// Returns whether a caller that retried cannot be answered in time any more.
    ///
    /// Under overload with retrying callers, a slot used for a late answer is taken from a
    /// request that could be answered in time. First attempts are never refused for this reason:
    /// if even those are late, late answers are all that the service can give.
    pub(super) fn has_returned_too_late(&self, call: &QueuedCall, now: Instant) -> bool {
        let expected = self.expected(call.kind, now);
        call.has_returned && call.objective.is_some_and(|objective| objective < expected)
    }

    /// Returns whether a call is expected to miss its deadline because of the queue or its own
    /// work. Its answer would come after the caller has timed out, and its work, here and in the
    /// hops above, would be wasted.
    pub(super) fn misses_deadline(
        &self,
        kind: WorkKind,
        deadline: Instant,
        wait: Duration,
        now: Instant,
    ) -> bool {
        let work = self
            .expected(kind, now)
            .mul_f64(self.policy.queue.work_margin);
        now + wait + work > deadline
    }

    fn capacity_per_sec(&self) -> f64 {
        let expected = self.work.expected_any().as_secs_f64();
        let by_slots = if expected > 0.0 {
            f64::from(self.current_limit()) / expected
        } else {
            f64::INFINITY
        };
        let by_rate = self.notices.rate_limit_per_s().unwrap_or(f64::INFINITY);
        by_slots.min(by_rate)
    }

    /// Refuses an offered call for lack of time or room.
    pub(super) fn refuse_offer(
        &mut self,
        reason: Reason,
        call: &QueuedCall,
        now: Instant,
    ) -> AdmissionDecision {
        self.record_loss(reason, call);
        AdmissionDecision::Refused(self.refusal_within_objective(reason, call, now))
    }

    /// Refuses a call that has been removed from the queue.
    pub(super) fn refuse_dequeued(&mut self, reason: Reason, call: &QueuedCall) {
        self.record_loss(reason, call);
        let refusal = self.refusal(reason, call.call_id);
        self.refusals
            .push(QueueDecision::Refuse(call.call_id, refusal));
    }

    /// Calls that wait for an upstream that goes, or one without tokens, are not lost for lack of
    /// capacity: they move to other nodes.
    fn record_loss(&mut self, reason: Reason, call: &QueuedCall) {
        let moves = matches!(reason, Reason::NoUpstream | Reason::UpstreamRateLimited);
        if call.place.has_prior_work() && !moves {
            self.prior_work_losses.record_loss();
        }
    }

    /// Returns a refusal whose Retry-After lets the caller be answered in time, if possible.
    fn refusal_within_objective(&self, reason: Reason, call: &QueuedCall, now: Instant) -> Refusal {
        let refusal = self.refusal(reason, call.call_id);
        let expected = self.expected(call.kind, now);
        let cut = |wait| match call.objective {
            Some(objective) => cap_to_objective(wait, objective, expected),
            None => wait,
        };
        Refusal {
            retry_after: refusal.retry_after.map(cut),
            ..refusal
        }
    }

    pub(super) fn refusal(&self, reason: Reason, call_id: CallId) -> Refusal {
        let pressure = self.shed.excess_demand(self.capacity_per_sec());
        Refusal {
            reason,
            retry_after: Some(retry_after(
                pressure,
                mix(call_id),
                &self.policy.retry_after,
            )),
        }
    }

    /// Returns whether the shed level refuses a call on this node. The entry has already applied
    /// a slightly older level. While the queue is short, or consists of calls with prior work
    /// beside which a fresh call has its turn, every call that got here is therefore accepted.
    pub(super) fn is_shed(&self, offer: &OfferedCall, place: QueuePlace, now: Instant) -> bool {
        let is_held_back = self
            .hold_back
            .is_some_and(|hold_back| place.class > hold_back.class && now < hold_back.until);
        if is_held_back {
            return true;
        }
        let target_queue = f64::from(self.current_limit()) * self.policy.shed.target_queue_share;
        let is_short = (self.queue.len() as f64) < target_queue.max(1.0);
        let level = self.shed.level();
        !is_short
            && !place.has_prior_work()
            && !self.queue.has_fresh_turn(place.class)
            && !level.admits(offer.class_rank, offer.root_request_id)
    }

    /// Stops queueing less important classes for a while after an important call was refused
    /// because the queue is full of important calls. Otherwise the next free slot would go to a
    /// less important call that arrives just after the refusal. One interval of the shed level
    /// is enough: by then the entries hold those calls back.
    pub(super) fn hold_back_below(&mut self, class: usize, now: Instant) {
        let current = self.hold_back.filter(|hold_back| now < hold_back.until);
        self.hold_back = Some(HoldBack {
            class: current.map_or(class, |hold_back| hold_back.class.min(class)),
            until: now + self.policy.queue.hold_back_for,
        });
    }
}
