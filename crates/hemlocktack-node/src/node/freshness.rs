//! The proof that this node's configuration is current, as the request path reads it.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_fleet::freshness::FreshnessProof;
use hemlocktack_protocol::{BootTime, Generation};

use super::Node;

/// A caller is told that its key is wrong only by a configuration that was current this short a
/// while ago: an operator who adds a key expects it to work within seconds.
pub(crate) const DENY_WITHIN: Duration = Duration::from_millis(1_000);
/// Part of the revocation bound that is not used: for clocks of different speed, and for the time
/// between the store's write and its acknowledgement.
const REVOCATION_MARGIN: Duration = Duration::from_millis(100);

impl Node {
    /// Returns the newest proof.
    pub(crate) fn freshness_proof(&self) -> Option<FreshnessProof> {
        self.freshness_proof.load().as_deref().copied()
    }

    pub(crate) fn set_freshness_proof(&self, proof: FreshnessProof) {
        self.freshness_proof.store(Some(Arc::new(proof)));
    }

    /// Returns the time since this generation was proved to be the newest one. A proof of a higher
    /// generation says that this one is outdated, one of a lower generation holds for it as well.
    pub(crate) fn freshness_age(&self, generation: Generation, now: BootTime) -> Option<Duration> {
        let proof = self.freshness_proof()?;
        (proof.generation <= generation).then(|| proof.age(now))
    }

    /// Returns the maximum age of a proof by which keys are admitted; `None` without a limit.
    pub(crate) fn admit_keys_within(&self) -> Option<Duration> {
        let bound = self.adjustable.load().revocation_bound?;
        Some(bound.saturating_sub(REVOCATION_MARGIN))
    }

    /// Returns whether requests need keys, which are admitted only with a proof.
    pub(crate) fn needs_freshness(&self) -> bool {
        let active = self.active_configuration.load();
        let active = active.as_ref();
        active.is_some_and(|active| !active.accounts.is_empty())
    }

    /// Returns whether any client account has a quota.
    pub(crate) fn has_quotas(&self) -> bool {
        let active = self.active_configuration.load();
        let active = active.as_ref();
        active.is_some_and(|active| active.accounts.has_quotas())
    }

    /// Returns whether this node may admit keys, or needs none.
    pub(crate) fn can_admit_keys(&self, now: BootTime) -> bool {
        let Some(limit) = self.admit_keys_within() else {
            return true;
        };
        if !self.needs_freshness() {
            return true;
        }
        let age = self.freshness_age(self.active_generation(), now);
        age.is_some_and(|age| age <= limit)
    }
}
