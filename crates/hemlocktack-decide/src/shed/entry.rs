//! Shed levels of other services, applied where requests enter.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{ClassRank, LoadHint, RootRequestId};

use super::ShedLevel;
use super::level::CLASS_SPAN;
use crate::WorkKind;

/// Numbers of [`EntryShedder`].
#[derive(Clone, Copy, Debug)]
pub struct EntryShedPolicy {
    /// A level that was not heard again for this long no longer refuses: the
    /// upstream may have recovered or gone.
    pub forget_after: Duration,
    /// While every request is refused no reply brings news, so one request is
    /// let through this often as a probe.
    pub probe_every: Duration,
    /// Extra share of a class that calls with spent work are let in with: the
    /// level that the root met at its entry may since have moved this far.
    pub invested_margin: f64,
}

impl Default for EntryShedPolicy {
    fn default() -> Self {
        EntryShedPolicy {
            forget_after: Duration::from_secs(1),
            probe_every: Duration::from_millis(50),
            invested_margin: 1.0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct HeardLevel {
    level: ShedLevel,
    at: Instant,
}

/// What one node knows of one service's shed levels, heard on replies.
///
/// Load: a service that sheds. Harm: a request that is refused after hops have
/// worked for it wastes their work; one refused here costs nothing. The loosest
/// level of the service's upstreams counts, since placement leads to the
/// upstream that has room; a single slow upstream must not shed for all.
#[derive(Debug)]
pub struct EntryShedder {
    policy: EntryShedPolicy,
    upstreams: Vec<Option<HeardLevel>>,
    /// Level of the deeper services that calls of one kind need.
    chains: HashMap<WorkKind, HeardLevel>,
    probed_at: Option<Instant>,
}

impl EntryShedder {
    /// Knows of nothing; `upstreams` are numbered as in the node's directory of the service.
    pub fn new(policy: EntryShedPolicy, upstreams: usize) -> Self {
        EntryShedder {
            policy,
            upstreams: vec![None; upstreams],
            chains: HashMap::new(),
            probed_at: None,
        }
    }

    /// Takes in the hint of a reply to a call of `kind` from one upstream.
    pub fn learn(&mut self, upstream: usize, kind: WorkKind, hint: &LoadHint, now: Instant) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            *entry = Some(HeardLevel {
                level: ShedLevel::unpack(hint.shed_level),
                at: now,
            });
        }
        let level = ShedLevel::unpack(hint.chain_shed_level);
        if level == ShedLevel::OPEN {
            self.chains.remove(&kind);
        } else {
            self.chains.insert(kind, HeardLevel { level, at: now });
        }
    }

    /// Level that holds for calls of `kind` now.
    pub fn level(&self, kind: WorkKind, now: Instant) -> ShedLevel {
        let own = self
            .upstreams
            .iter()
            .flatten()
            .filter(|heard| self.is_fresh(heard, now))
            .map(|heard| heard.level)
            .max()
            .unwrap_or(ShedLevel::OPEN);
        let chain = self
            .chains
            .get(&kind)
            .filter(|heard| self.is_fresh(heard, now))
            .map_or(ShedLevel::OPEN, |heard| heard.level);
        own.min(chain)
    }

    /// Whether a request may go on to the service.
    pub fn admits(
        &mut self,
        kind: WorkKind,
        rank: ClassRank,
        root_request_id: RootRequestId,
        invested: bool,
        now: Instant,
    ) -> bool {
        let level = self.level(kind, now);
        if level == ShedLevel::OPEN {
            return true;
        }
        let margin = if invested {
            self.policy.invested_margin
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
            .is_none_or(|at| now.saturating_duration_since(at) >= self.policy.probe_every);
        let silent = self
            .upstreams
            .iter()
            .flatten()
            .all(|heard| now.saturating_duration_since(heard.at) >= self.policy.probe_every);
        if due && silent {
            self.probed_at = Some(now);
        }
        due && silent
    }

    fn is_fresh(&self, heard: &HeardLevel, now: Instant) -> bool {
        now.saturating_duration_since(heard.at) < self.policy.forget_after
    }
}
