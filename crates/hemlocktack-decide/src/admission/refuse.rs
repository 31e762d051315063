//! Which calls come too late, and what a refused caller is told.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallId, Reason, Refusal};

use super::{Admission, Strict};
use crate::mix::mix;
use crate::offer::{OfferedCall, WorkKind};
use crate::queue::Waiting;
use crate::retry_after::{cap_to_objective, retry_after};

impl Admission {
    /// Whether a caller who came back cannot be answered in time any more.
    ///
    /// Load: more than there is room for, with callers who come back. Harm: a
    /// slot that answers it late is taken from one that could be answered in
    /// time. Fresh requests are never held to this: where even they are late,
    /// late answers are all that there is to give.
    pub(super) fn is_late_anyway(&self, call: &Waiting, now: Instant) -> bool {
        let expected = self.work.expected(call.kind, now);
        call.has_returned && call.objective.is_some_and(|objective| objective < expected)
    }

    /// Load: a queue or work too long for the caller's patience. Harm: the
    /// answer comes after the caller has gone, and its work, here and in the
    /// hops above, was for nobody.
    pub(super) fn is_hopeless(
        &self,
        kind: WorkKind,
        deadline: Instant,
        wait: Duration,
        now: Instant,
    ) -> bool {
        let work = self
            .work
            .expected(kind, now)
            .mul_f64(self.policy.queue.work_margin);
        now + wait + work > deadline
    }

    fn capacity_per_sec(&self) -> f64 {
        let expected = self.work.expected_any().as_secs_f64();
        if expected > 0.0 {
            f64::from(self.current_limit()) / expected
        } else {
            f64::INFINITY
        }
    }

    /// A refusal that lets the caller come back in time, where it can.
    pub(super) fn refusal_of(&self, reason: Reason, call: &Waiting, now: Instant) -> Refusal {
        let refusal = self.refusal(reason, call.call_id);
        let expected = self.work.expected(call.kind, now);
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
        let pressure = self.shed.excess(self.capacity_per_sec());
        Refusal {
            reason,
            retry_after: Some(retry_after(
                pressure,
                mix(call_id),
                &self.policy.retry_after,
            )),
        }
    }

    /// Whether the level refuses a call here. The entry has applied the level
    /// already, a little out of date; so while the queue is short, or is one of
    /// deeper calls beside which a fresh one has its turn, anything that got
    /// here is taken.
    pub(super) fn is_shed(
        &self,
        offer: &OfferedCall,
        class: usize,
        invested: bool,
        now: Instant,
    ) -> bool {
        let below_refused = self
            .strict
            .is_some_and(|strict| class > strict.class && now < strict.until);
        if below_refused {
            return true;
        }
        let standing = f64::from(self.current_limit()) * self.policy.shed.target_queue;
        let is_short = (self.queue.len() as f64) < standing.max(1.0);
        let level = self.shed.level();
        !is_short
            && !invested
            && !self.queue.has_turn(class)
            && !level.admits(offer.class_rank, offer.root_request_id)
    }

    /// Load: a queue full of important calls. Harm: a slot that frees up goes
    /// to a less important call that came just after an important one was
    /// refused. One interval of the shed level is enough: by then the entries
    /// hold the less important ones back.
    pub(super) fn hold_back_below(&mut self, class: usize, now: Instant) {
        let held = self.strict.filter(|strict| now < strict.until);
        self.strict = Some(Strict {
            class: held.map_or(class, |strict| strict.class.min(class)),
            until: now + self.policy.queue.strict_for,
        });
    }
}
