//! Decides which queued calls run and which are refused.

use std::time::{Duration, Instant};

use hemlocktack_protocol::Reason;

use super::{Admission, QUARANTINED};
use crate::offer::QueueDecision;
use crate::quarantine::QuarantineStatus;
use crate::queue::{QueueOrder, QueuedCall};

/// After a queue has been above half its bound for this long, it will not be drained in time for
/// its oldest calls: the newest calls run first until it is.
const NEWEST_FIRST_AFTER: Duration = Duration::from_millis(200);

impl Admission {
    pub(super) fn next_call(&mut self, now: Instant) -> Option<QueuedCall> {
        if let Some(call) = self.next_suspect(now) {
            self.start(&call, now);
            return Some(call);
        }
        while self.has_free_slot() && self.has_token(now) {
            let call = self.queue.pop(self.queue_order(now))?;
            if self.misses_deadline(call.kind, call.deadline, Duration::ZERO, now)
                && !self.probe(now)
            {
                self.refuse_dequeued(Reason::QueueTimeout, &call);
                continue;
            }
            self.start(&call, now);
            return Some(call);
        }
        None
    }

    /// Returns the next suspected call to run. A call whose fingerprint was quarantined while it
    /// waited is refused, since each copy could crash one more upstream.
    fn next_suspect(&mut self, now: Instant) -> Option<QueuedCall> {
        while self.has_free_slot() && self.has_token(now) {
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

    pub(super) fn queue_order(&self, now: Instant) -> QueueOrder {
        QueueOrder {
            is_newest_first: self.is_queue_long(now),
            is_by_root_request: self.prior_work_losses.is_losing(),
        }
    }

    fn is_queue_long(&self, now: Instant) -> bool {
        self.long_queue_since
            .is_some_and(|since| now.saturating_duration_since(since) >= NEWEST_FIRST_AFTER)
    }

    pub(super) fn sweep_if_due(&mut self, now: Instant) {
        if now.saturating_duration_since(self.swept_at) < self.policy.queue.sweep_interval {
            return;
        }
        self.swept_at = now;
        self.refuse_queued(Reason::QueueTimeout, |call| call.refuse_at <= now, now);
    }

    pub(super) fn refuse_queued(
        &mut self,
        reason: Reason,
        which: impl Fn(&QueuedCall) -> bool,
        now: Instant,
    ) {
        let mut refused = Vec::new();
        self.queue.take_matching(&which, |call| refused.push(call));
        self.suspects
            .take_matching(&which, |call| refused.push(call));
        self.swept_at = now;
        for call in refused {
            self.refuse_dequeued(reason, &call);
        }
    }
}
