//! Which share of every quota a node owns.

use std::time::Duration;

use hemlocktack_protocol::BootTime;

use super::settings::{QuotaSafeguard, QuotaSettings};
use crate::freshness::FreshnessProof;

/// Share that a node owns at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnedShare {
    /// The share is one of this many equal ones.
    pub divisor: u32,
    /// How long the node may use it without a newer proof.
    pub left: Duration,
}

/// Since when a node may own a share.
///
/// Every node that owns a share has a record in the store, and holds a proof of what the store held
/// no longer ago than the lifetime of proofs. A new node waits that long after its record was
/// acknowledged. By then every proof that counts was made with its record in the store, so every
/// other owner divides by a number that includes it, and the shares of all owners sum up to one at
/// most. A node leaves its record in the store for as long as it uses its share.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareOwnership {
    owns_from: Option<BootTime>,
}

impl ShareOwnership {
    /// Notes that the store has acknowledged a new record of the node.
    pub fn created_record(&mut self, settings: &QuotaSettings, now: BootTime) {
        let waits = settings.is_enabled(QuotaSafeguard::JoinWait);
        let wait = match waits {
            true => settings.proof_lifetime,
            false => Duration::ZERO,
        };
        self.owns_from = Some(now.plus(wait));
    }

    /// Notes that the node's record replaced that of its earlier start at the same address. That
    /// start has ended, as its address is free, and all others have counted it all along. Its
    /// grantors use what it lent until the lease is over.
    pub fn took_over_record(&mut self, settings: &QuotaSettings, now: BootTime) {
        self.owns_from = Some(now.plus(settings.lease));
    }

    /// Returns the share that the node owns now, if any.
    pub fn owned(
        &self,
        proof: Option<&FreshnessProof>,
        settings: &QuotaSettings,
        now: BootTime,
    ) -> Option<OwnedShare> {
        let proof = proof?;
        let may_own = self.owns_from.is_some_and(|from| from <= now);
        let age = match settings.is_enabled(QuotaSafeguard::ShareNeedsProof) {
            true => proof.age(now),
            false => Duration::ZERO,
        };
        let left = settings.proof_lifetime.checked_sub(age)?;
        (may_own && proof.is_recorded && proof.recorded_nodes > 0).then_some(OwnedShare {
            divisor: proof.recorded_nodes,
            left,
        })
    }
}
