//! Requests that crash the upstreams that run them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlocktack_protocol::Fingerprint;

/// Numbers of [`Quarantine`].
#[derive(Clone, Copy, Debug)]
pub struct QuarantinePolicy {
    /// Crashes after which a fingerprint is refused. Operators' setting; fewer
    /// than two cannot tell a guilty call from those that ran beside it.
    pub crashes: u32,
    /// How long a convicted fingerprint is refused, counted from its last
    /// crash. Then it is suspected again: one trial in one upstream.
    pub refused_for: Duration,
    /// How long a suspicion lasts without another crash.
    pub suspected_for: Duration,
    /// Fingerprints kept. A crash of the largest upstream adds some 200; the
    /// oldest suspicion makes room, a conviction stays.
    pub kept: usize,
}

impl Default for QuarantinePolicy {
    fn default() -> Self {
        QuarantinePolicy {
            crashes: 2,
            refused_for: Duration::from_secs(60),
            suspected_for: Duration::from_secs(60),
            kept: 2048,
        }
    }
}

/// Fewest crashes that convict.
const LEAST_CRASHES: u32 = 2;

/// How a fingerprint stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing is known against it.
    Clear,
    /// Ran in an upstream that crashed: at most one such call at a time in each
    /// upstream.
    Suspected,
    /// Was the only suspect in an upstream that crashed: refused.
    Quarantined,
}

/// What one node tells others of one fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Crashes held against it; 0 once it is cleared.
    pub crashes: u32,
    /// It is refused from now on.
    pub proven: bool,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    proven: bool,
    last_crash: Instant,
}

/// Fingerprints seen in crashes.
///
/// Load: one request that crashes each upstream that runs it, sent again by its
/// caller. Harm: it takes the whole service down, one upstream after another.
/// What a crash shows is only which calls ran, so up to a whole upstream's
/// calls are suspected at once. Suspects run one at a time in each upstream
/// beside calls that nothing is known against, so the next crash names one of
/// them, and the innocents run to an answer and are cleared. No upstream has to
/// be emptied for this. An innocent call can be convicted only by a second,
/// unknown cause that hits it while it is the suspect of an upstream; the
/// conviction ends after `refused_for`, and its next answer clears it.
#[derive(Debug)]
pub struct Quarantine {
    policy: QuarantinePolicy,
    records: HashMap<Fingerprint, Record>,
    news: Vec<Suspect>,
}

impl Quarantine {
    /// Nothing suspected.
    pub fn new(policy: QuarantinePolicy) -> Self {
        Quarantine {
            policy,
            records: HashMap::with_capacity(policy.kept),
            news: Vec::new(),
        }
    }

    /// How the fingerprint stands now.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        let age = now.saturating_duration_since(record.last_crash);
        let refused_for = if record.proven {
            self.policy.refused_for
        } else {
            Duration::ZERO
        };
        if age < refused_for {
            QuarantineStatus::Quarantined
        } else if age < refused_for + self.policy.suspected_for {
            QuarantineStatus::Suspected
        } else {
            QuarantineStatus::Clear
        }
    }

    /// The upstream died while `suspect`, if any, and the others ran in it.
    pub fn crashed(&mut self, suspect: Option<Fingerprint>, others: &[Fingerprint], now: Instant) {
        if let Some(fingerprint) = suspect {
            self.hold_against(fingerprint, now);
            return;
        }
        for &fingerprint in others {
            self.hold_against(fingerprint, now);
        }
    }

    /// The upstream ran it to an answer: it does not crash upstreams.
    pub fn finished(&mut self, fingerprint: Fingerprint) {
        if self.records.is_empty() {
            return;
        }
        if self.records.remove(&fingerprint).is_some() {
            self.news.push(Suspect {
                fingerprint,
                crashes: 0,
                proven: false,
            });
        }
    }

    /// Takes in what another node found out. News is passed on once by the node
    /// that found it, so this adds none.
    pub fn learn(&mut self, suspect: Suspect, now: Instant) {
        if suspect.crashes == 0 {
            self.records.remove(&suspect.fingerprint);
            return;
        }
        let known = self.records.get(&suspect.fingerprint);
        if known.is_some_and(|record| record.crashes >= suspect.crashes) {
            return;
        }
        self.insert(suspect, now);
    }

    /// What was found out here since the last call, for other nodes.
    pub fn take_updates(&mut self) -> Vec<Suspect> {
        std::mem::take(&mut self.news)
    }

    /// Fingerprints that are refused now.
    pub fn refused(&self, now: Instant) -> Vec<Fingerprint> {
        let refused = self.records.keys().copied();
        refused
            .filter(|fingerprint| self.status(*fingerprint, now) == QuarantineStatus::Quarantined)
            .collect()
    }

    /// Changes the operators' limits; records keep their count of crashes.
    pub fn set_limits(&mut self, crashes: u32, refused_for: Duration) {
        self.policy.crashes = crashes;
        self.policy.refused_for = refused_for;
    }

    fn hold_against(&mut self, fingerprint: Fingerprint, now: Instant) {
        let known = self.records.get(&fingerprint);
        let crashes = known.map_or(1, |record| record.crashes + 1);
        let suspect = Suspect {
            fingerprint,
            crashes,
            proven: crashes >= self.policy.crashes.max(LEAST_CRASHES),
        };
        self.insert(suspect, now);
        self.news.push(suspect);
    }

    fn insert(&mut self, suspect: Suspect, now: Instant) {
        if self.records.len() >= self.policy.kept {
            self.make_room(now);
        }
        self.records.insert(
            suspect.fingerprint,
            Record {
                crashes: suspect.crashes,
                proven: suspect.proven,
                last_crash: now,
            },
        );
    }

    fn make_room(&mut self, now: Instant) {
        let policy = self.policy;
        let kept_for = policy.suspected_for + policy.refused_for;
        self.records.retain(|_, record| {
            let age = now.saturating_duration_since(record.last_crash);
            age < policy.suspected_for || (record.proven && age < kept_for)
        });
        if self.records.len() < policy.kept {
            return;
        }
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.proven, record.last_crash));
        let Some((&fingerprint, _)) = oldest else {
            return;
        };
        self.records.remove(&fingerprint);
    }
}
