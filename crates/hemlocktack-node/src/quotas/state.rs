//! State of the quotas on one node.

use std::sync::{Mutex, MutexGuard, PoisonError};

use hemlocktack_config::ClientAccount;
use hemlocktack_fleet::quotas::{
    AccountQuota, GrantorChoice, OwnedShare, QuotaGrantor, QuotaLedger, QuotaSettings,
    ShareOwnership,
};
use hemlocktack_protocol::BootTime;
use tokio::sync::Notify;

use super::waiters::Waiters;
use crate::node::Node;

/// Tokens, lent shares and waiting requests.
pub(crate) struct Quotas {
    pub(super) settings: QuotaSettings,
    ledger: Mutex<QuotaLedger>,
    grantor: Mutex<QuotaGrantor>,
    ownership: Mutex<ShareOwnership>,
    choice: Mutex<GrantorChoice>,
    pub(super) groups: Vec<GroupQueue>,
}

/// Requests that wait for a grant of one group of accounts.
#[derive(Default)]
pub(super) struct GroupQueue {
    /// A request has begun to wait.
    pub(super) has_waiting: Notify,
    waiters: Mutex<Waiters>,
}

impl Default for Quotas {
    fn default() -> Self {
        let settings = QuotaSettings::default();
        Self {
            settings,
            ledger: Mutex::new(QuotaLedger::new(settings)),
            grantor: Mutex::new(QuotaGrantor::new(settings)),
            ownership: Mutex::default(),
            choice: Mutex::default(),
            groups: (0..settings.groups)
                .map(|_| GroupQueue::default())
                .collect(),
        }
    }
}

impl Quotas {
    pub(super) fn ledger(&self) -> MutexGuard<'_, QuotaLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn grantor(&self) -> MutexGuard<'_, QuotaGrantor> {
        self.grantor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn choice(&self) -> MutexGuard<'_, GrantorChoice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ownership(&self) -> MutexGuard<'_, ShareOwnership> {
        self.ownership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that this node's record is new in the store.
    pub(crate) fn created_record(&self, now: BootTime) {
        self.ownership().created_record(&self.settings, now);
    }

    /// Notes that this node's record replaced that of its earlier start at the same address.
    pub(crate) fn took_over_record(&self, now: BootTime) {
        self.ownership().took_over_record(&self.settings, now);
    }

    /// Returns the share of every quota that the node owns now.
    pub(super) fn owned_share(&self, node: &Node, now: BootTime) -> Option<OwnedShare> {
        let proof = node.freshness_proof();
        // Never longer than a new node waits, so that all owners have counted it by then.
        let longest = self.settings.proof_lifetime;
        let limit = node.admit_keys_within().unwrap_or(longest);
        let settings = QuotaSettings {
            proof_lifetime: limit.min(longest),
            ..self.settings
        };
        self.ownership().owned(proof.as_ref(), &settings, now)
    }
}

impl GroupQueue {
    pub(super) fn waiters(&self) -> MutexGuard<'_, Waiters> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the quota of an account; `None` if it has no limit.
pub(super) fn quota_of(account: &ClientAccount) -> Option<AccountQuota> {
    let quota = account.quota?;
    Some(AccountQuota {
        account: account.id(),
        rate_per_s: quota.rate_per_s as f64,
        burst_requests: quota.burst_requests as f64,
    })
}
