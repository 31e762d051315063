//! Requests that wait for a token.

use std::time::Duration;

use hemlocktack_fleet::quotas::{AccountQuota, QuotaToken};
use hemlocktack_protocol::{BootTime, ClassRank};
use tokio::sync::oneshot;

/// A token, or the time after which there may be one.
pub(super) type Grant = std::result::Result<QuotaToken, Duration>;

/// One request that waits.
pub(super) struct Waiter {
    pub(super) quota: AccountQuota,
    pub(super) class_rank: ClassRank,
    /// When the grantor is asked.
    pub(super) due: BootTime,
    /// How long the request waits for a token.
    pub(super) waits_until: BootTime,
    /// The grantor has had no token for it.
    pub(super) has_waited: bool,
    pub(super) grant: oneshot::Sender<Grant>,
}

/// Requests that wait for a grant of one group, in the order of their arrival.
#[derive(Default)]
pub(super) struct Waiters {
    waiting: Vec<Waiter>,
}

impl Waiters {
    pub(super) fn push(&mut self, waiter: Waiter) {
        self.waiting.push(waiter);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns when the grantor has to be asked next, if any request waits.
    pub(super) fn next_due(&self) -> Option<BootTime> {
        self.waiting.iter().map(|waiter| waiter.due).min()
    }

    /// Takes those for which the grantor has to be asked now, the most important ones first.
    pub(super) fn take_due(&mut self, now: BootTime) -> Vec<Waiter> {
        let waiting = std::mem::take(&mut self.waiting);
        let (mut due, later) = waiting.into_iter().partition(|waiter| waiter.due <= now);
        self.waiting = later;
        due.sort_by_key(|waiter: &Waiter| waiter.class_rank);
        due
    }

    /// Puts those back for which no grant came, in front of later ones.
    pub(super) fn put_back(&mut self, mut waiting: Vec<Waiter>) {
        waiting.append(&mut self.waiting);
        self.waiting = waiting;
    }
}
