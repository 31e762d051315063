//! Quarantine of requests that crash upstreams.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlocktack_protocol::Fingerprint;

/// Parameters of [`Quarantine`].
#[derive(Clone, Copy, Debug)]
pub struct QuarantinePolicy {
    /// Crashes after which a fingerprint is quarantined. Set by operators; values below two
    /// cannot tell the request that caused a crash from those that ran beside it.
    pub crashes: u32,
    /// How long a fingerprint is refused after its last crash. Afterwards it is suspected again
    /// and may run once in one upstream.
    pub quarantined_for: Duration,
    /// How long a fingerprint stays suspected without another crash.
    pub suspected_for: Duration,
    /// Maximum number of records. A crash of the largest upstream adds some 200. The oldest
    /// suspected fingerprint is evicted first; quarantined ones are kept.
    pub max_records: usize,
}

impl Default for QuarantinePolicy {
    fn default() -> Self {
        QuarantinePolicy {
            crashes: 2,
            quarantined_for: Duration::from_secs(60),
            suspected_for: Duration::from_secs(60),
            max_records: 2048,
        }
    }
}

/// Minimum number of crashes for quarantine.
const MIN_CRASHES: u32 = 2;

/// Quarantine status of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No crash is recorded for it.
    Clear,
    /// It ran in an upstream that crashed: at most one suspected call runs at a time in each
    /// upstream.
    Suspected,
    /// It was the only suspect in an upstream that crashed: refused.
    Quarantined,
}

/// Update on one fingerprint, exchanged between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes recorded for it; 0 once it is cleared.
    pub crashes: u32,
    /// Whether it is quarantined.
    pub proven: bool,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    proven: bool,
    last_crash: Instant,
}

/// Fingerprints of requests that ran in crashed upstreams.
///
/// A single request that crashes each upstream that runs it, retried by its caller, takes a
/// whole service down, one upstream after another. A crash only shows which calls were running,
/// so up to all calls of an upstream become suspects at once. Suspects run one at a time in each
/// upstream, beside calls without recorded crashes: the next crash then identifies one suspect,
/// and harmless requests complete and are cleared. No upstream has to be drained for this. A
/// harmless request is quarantined only if an unrelated crash happens while it is the suspect of
/// an upstream; the quarantine ends after `quarantined_for`, and the next answer clears the
/// request.
#[derive(Debug)]
pub struct Quarantine {
    policy: QuarantinePolicy,
    records: HashMap<Fingerprint, Record>,
    updates: Vec<Suspect>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(policy: QuarantinePolicy) -> Self {
        Quarantine {
            policy,
            records: HashMap::with_capacity(policy.max_records),
            updates: Vec::new(),
        }
    }

    /// Returns the current status of the fingerprint.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        let age = now.saturating_duration_since(record.last_crash);
        let quarantined_for = if record.proven {
            self.policy.quarantined_for
        } else {
            Duration::ZERO
        };
        if age < quarantined_for {
            QuarantineStatus::Quarantined
        } else if age < quarantined_for + self.policy.suspected_for {
            QuarantineStatus::Suspected
        } else {
            QuarantineStatus::Clear
        }
    }

    /// Records a crash of the upstream while `suspect`, if any, and the others were running.
    pub fn crashed(&mut self, suspect: Option<Fingerprint>, others: &[Fingerprint], now: Instant) {
        if let Some(fingerprint) = suspect {
            self.record_crash(fingerprint, now);
            return;
        }
        for &fingerprint in others {
            self.record_crash(fingerprint, now);
        }
    }

    /// Clears a fingerprint: the upstream completed it, so it does not crash upstreams.
    pub fn finished(&mut self, fingerprint: Fingerprint) {
        if self.records.is_empty() {
            return;
        }
        if self.records.remove(&fingerprint).is_some() {
            self.updates.push(Suspect {
                fingerprint,
                crashes: 0,
                proven: false,
            });
        }
    }

    /// Applies an update from another node. Each update is sent once, by the node that created
    /// it, so none is queued here.
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

    /// Removes and returns the local updates since the last call, for other nodes.
    pub fn take_updates(&mut self) -> Vec<Suspect> {
        std::mem::take(&mut self.updates)
    }

    /// Returns the fingerprints that are currently refused.
    pub fn refused(&self, now: Instant) -> Vec<Fingerprint> {
        let refused = self.records.keys().copied();
        refused
            .filter(|fingerprint| self.status(*fingerprint, now) == QuarantineStatus::Quarantined)
            .collect()
    }

    /// Changes the operators' limits; records keep their count of crashes.
    pub fn set_limits(&mut self, crashes: u32, quarantined_for: Duration) {
        self.policy.crashes = crashes;
        self.policy.quarantined_for = quarantined_for;
    }

    fn record_crash(&mut self, fingerprint: Fingerprint, now: Instant) {
        let known = self.records.get(&fingerprint);
        let crashes = known.map_or(1, |record| record.crashes + 1);
        let suspect = Suspect {
            fingerprint,
            crashes,
            proven: crashes >= self.policy.crashes.max(MIN_CRASHES),
        };
        self.insert(suspect, now);
        self.updates.push(suspect);
    }

    fn insert(&mut self, suspect: Suspect, now: Instant) {
        if self.records.len() >= self.policy.max_records {
            self.evict_record(now);
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

    fn evict_record(&mut self, now: Instant) {
        let policy = self.policy;
        let retained_for = policy.suspected_for + policy.quarantined_for;
        self.records.retain(|_, record| {
            let age = now.saturating_duration_since(record.last_crash);
            age < policy.suspected_for || (record.proven && age < retained_for)
        });
        if self.records.len() < policy.max_records {
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
