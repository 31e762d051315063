//! What becomes of calls that wait: the next one runs, others are given up.

use std::time::{Duration, Instant};

use hemlocktack_protocol::Reason;

use super::{Admission, QUARANTINED};
use crate::offer::QueueDecision;
use crate::quarantine::QuarantineStatus;
use crate::queue::Waiting;

/// A queue that has been above half its bound for this long will not be worked
/// off in time for its oldest calls: the newest run first until it is.
const STANDING_AFTER: Duration = Duration::from_millis(200);

impl Admission {
    pub(super) fn next_call(&mut self, now: Instant) -> Option<Waiting> {
        if let Some(call) = self.next_suspect(now) {
            self.start(&call, now);
            return Some(call);
        }
        while self.has_free_slot() {
            let call = self.queue.pop(self.is_standing(now))?;
            if self.is_hopeless(call.kind, call.deadline, Duration::ZERO, now) && !self.probe(now) {
                let refusal = self.refusal(Reason::QueueTimeout, call.call_id);
                self.refusals
                    .push(QueueDecision::Refuse(call.call_id, refusal));
                continue;
            }
            self.start(&call, now);
            return Some(call);
        }
        None
    }

    /// A call that was convicted while it waited is refused, or each of its
    /// copies would cost one more upstream.
    fn next_suspect(&mut self, now: Instant) -> Option<Waiting> {
        while self.has_free_slot() {
            let call = self.suspects.next()?;
            match self.quarantine.status(call.fingerprint, now) {
                QuarantineStatus::Quarantined => self
                    .refusals
                    .push(QueueDecision::Refuse(call.call_id, QUARANTINED)),
                QuarantineStatus::Suspected => {
                    self.suspects.started(call.call_id);
                    return Some(call);
                }
                QuarantineStatus::Clear => return Some(call),
            }
        }
        None
    }

    fn is_standing(&self, now: Instant) -> bool {
        self.standing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= STANDING_AFTER)
    }

    pub(super) fn sweep_if_due(&mut self, now: Instant) {
        if now.saturating_duration_since(self.swept_at) < self.policy.queue.sweep_every {
            return;
        }
        self.swept_at = now;
        self.refuse_queued(Reason::QueueTimeout, |call| call.deadline <= now, now);
    }

    pub(super) fn refuse_queued(
        &mut self,
        reason: Reason,
        which: impl Fn(&Waiting) -> bool,
        now: Instant,
    ) {
        let mut gone = Vec::new();
        self.queue.take_hopeless(&which, |call| gone.push(call));
        self.suspects.take_hopeless(&which, |call| gone.push(call));
        self.swept_at = now;
        for call in gone {
            let refusal = self.refusal(reason, call.call_id);
            self.refusals
                .push(QueueDecision::Refuse(call.call_id, refusal));
        }
    }
}
