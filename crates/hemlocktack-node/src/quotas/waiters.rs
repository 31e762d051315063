//! Requests that wait for a token.

use std::time::Duration;

use hemlocktack_fleet::quotas::{AccountQuota, QuotaToken};
use hemlocktack_protocol::ClassRank;
use tokio::sync::oneshot;

/// A token, or the time after which there may be one.
pub(super) type Grant = std::result::Result<QuotaToken, Duration>;

/// One request that waits.
pub(super) struct Waiter {
    pub(super) quota: AccountQuota,
    pub(super) class_rank: ClassRank,
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

    /// Takes all, the most important ones first.
    pub(super) fn take_all(&mut self) -> Vec<Waiter> {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|waiter| waiter.class_rank);
        waiting
    }

    /// Puts those back for which no grant came, in front of later ones.
    pub(super) fn put_back(&mut self, mut waiting: Vec<Waiter>) {
        waiting.append(&mut self.waiting);
        self.waiting = waiting;
    }
}
