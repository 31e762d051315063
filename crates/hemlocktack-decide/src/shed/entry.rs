//! Applies the shed levels of other services where requests enter.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{ClassRank, LoadHint, RootRequestId};

use super::ShedLevel;
use super::level::CLASS_SPAN;
use crate::WorkKind;

/// Parameters of [`EntryShedder`].
#[derive(Clone, Copy, Debug)]
pub struct EntryShedPolicy {
    /// Age at which a level no longer refuses requests: the upstream may have recovered or left.
    pub expires_after: Duration,
    /// While every request is refused, no reply updates the level, so one request is let through
    /// at this interval as a probe.
    pub probe_interval: Duration,
    /// Additional share of a class admitted for calls with prior work: the level applied to the
    /// root at its entry may have changed by this much since.
    pub prior_work_margin: f64,
}

impl Default for EntryShedPolicy {
    fn default() -> Self {
        EntryShedPolicy {
            expires_after: Duration::from_secs(1),
            probe_interval: Duration::from_millis(50),
            prior_work_margin: 1.0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ReportedLevel {
    level: ShedLevel,
    at: Instant,
}

/// The shed levels of one service as one node knows them from replies.
///
/// A request that is refused after other hops have worked for it wastes that work; a refusal
/// here costs nothing. The least strict level among the service's upstreams applies, since
/// placement selects an upstream with spare capacity; a single slow upstream must not cause
/// shedding for all.
#[derive(Debug)]
pub struct EntryShedder {
    policy: EntryShedPolicy,
    upstreams: Vec<Option<ReportedLevel>>,
    /// Shed level of the services that calls of a kind depend on.
    chains: HashMap<WorkKind, ReportedLevel>,
    probed_at: Option<Instant>,
}

impl EntryShedder {
    /// Creates a shedder without known levels. `upstreams` are numbered as in the node's
    /// directory of the service.
    pub fn new(policy: EntryShedPolicy, upstreams: usize) -> Self {
        EntryShedder {
            policy,
            upstreams: vec![None; upstreams],
            chains: HashMap::new(),
            probed_at: None,
        }
    }

    /// Records the load hint in the reply of one upstream to a call of `kind`.
    pub fn learn(&mut self, upstream: usize, kind: WorkKind, hint: &LoadHint, now: Instant) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            *entry = Some(ReportedLevel {
                level: ShedLevel::unpack(hint.shed_level),
                at: now,
            });
        }
        let level = ShedLevel::unpack(hint.chain_shed_level);
        if level == ShedLevel::OPEN {
            self.chains.remove(&kind);
        } else {
            self.chains.insert(kind, ReportedLevel { level, at: now });
        }
    }

    /// Returns the level that currently applies to calls of `kind`.
    pub fn level(&self, kind: WorkKind, now: Instant) -> ShedLevel {
        let own = self
            .upstreams
            .iter()
            .flatten()
            .filter(|entry| self.is_fresh(entry, now))
            .map(|entry| entry.level)
            .max()
            .unwrap_or(ShedLevel::OPEN);
        let chain = self
            .chains
            .get(&kind)
            .filter(|entry| self.is_fresh(entry, now))
            .map_or(ShedLevel::OPEN, |entry| entry.level);
        own.min(chain)
    }

    /// Returns whether a request may be sent to the service.
    pub fn admits(
        &mut self,
        kind: WorkKind,
        rank: ClassRank,
        root_request_id: RootRequestId,
        has_prior_work: bool,
        now: Instant,
    ) -> bool {
        let level = self.level(kind, now);
        if level == ShedLevel::OPEN {
            return true;
        }
        let margin = if has_prior_work {
            self.policy.prior_work_margin
        } else {
            0.0
        };
        let widened = ShedLevel(level.0 + (margin * f64::from(CLASS_SPAN)) as u32);
        if widened.admits(rank, root_request_id) {
            return true;
        }
        self.probe(now)
    }

    fn probe(&mut self, now: Instant) -> bool {
        let due = self
            .probed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.policy.probe_interval);
        let silent = self
            .upstreams
            .iter()
            .flatten()
            .all(|entry| now.saturating_duration_since(entry.at) >= self.policy.probe_interval);
        if due && silent {
            self.probed_at = Some(now);
        }
        due && silent
    }

    fn is_fresh(&self, entry: &ReportedLevel, now: Instant) -> bool {
        now.saturating_duration_since(entry.at) < self.policy.expires_after
    }
}
