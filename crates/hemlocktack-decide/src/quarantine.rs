//! Requests that crash the upstreams that run them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlocktack_protocol::Fingerprint;

/// Numbers of [`Quarantine`].
#[derive(Clone, Copy, Debug)]
pub struct QuarantinePolicy {
    /// Crashes after which a fingerprint is refused, the last of them alone in
    /// its upstream. Operators' setting; three tell a guilty call from its
    /// neighbours: all suspected, one suspect in each upstream, alone.
    pub crashes: u32,
    /// How long a proven fingerprint is refused, counted from its last crash.
    /// The caller that sends it again has given up by then, and a mended
    /// upstream is found out soon enough.
    pub refused_for: Duration,
    /// How long a suspicion lasts without another crash.
    pub suspected_for: Duration,
    /// Shortest time between two calls that run with nothing beside them: each
    /// empties the upstream once, which costs about a service time.
    pub alone_interval: Duration,
    /// Fingerprints kept. A crash of the largest upstream adds some 200; the
    /// oldest suspicion makes room, a proven one stays.
    pub kept: usize,
}

impl Default for QuarantinePolicy {
    fn default() -> Self {
        QuarantinePolicy {
            crashes: 3,
            refused_for: Duration::from_secs(300),
            suspected_for: Duration::from_secs(60),
            alone_interval: Duration::from_secs(1),
            kept: 2048,
        }
    }
}

/// How a fingerprint stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is known against it.
    Free,
    /// Ran in one upstream that crashed: at most one such call at a time in
    /// each upstream.
    Suspected,
    /// One more crash refuses it: nothing runs beside it.
    RunsAlone,
    /// Crashed an upstream in which it ran alone: refused.
    Refused,
}

/// What one node tells others of one fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Crashes that it was seen in; 0 once it is cleared.
    pub crashes: u32,
    /// It ran alone in the last one.
    pub proven: bool,
}

/// With fewer, each call beside a crash would have to run alone, one a second.
const LEAST_CRASHES: u32 = 3;

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
/// calls are suspected at once. Suspects are kept apart: one at a time in each
/// upstream, so the next crash names one suspect and the innocents finish and
/// are cleared; before its last chance it runs alone, and that crash is proof.
/// As many upstreams as the policy names are lost at most, and no call is refused that has
/// not crashed an upstream in which it ran alone.
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
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        let Some(record) = self.records.get(&fingerprint) else {
            return Standing::Free;
        };
        let age = now.saturating_duration_since(record.last_crash);
        if record.proven && age < self.policy.refused_for {
            Standing::Refused
        } else if age >= self.policy.suspected_for {
            Standing::Free
        } else if self.is_last_chance(record.crashes) {
            Standing::RunsAlone
        } else {
            Standing::Suspected
        }
    }

    /// The upstream died while these ran in it.
    pub fn crashed(&mut self, running: &[Fingerprint], now: Instant) {
        let has_suspect = running
            .iter()
            .any(|fingerprint| self.standing(*fingerprint, now) != Standing::Free);
        let alone = running.len() == 1;
        for &fingerprint in running {
            // With one known suspect among them the others are not suspected:
            // otherwise each crash would add a whole upstream's calls.
            if has_suspect && self.standing(fingerprint, now) == Standing::Free {
                continue;
            }
            let crashes = self
                .records
                .get(&fingerprint)
                .map_or(0, |record| record.crashes);
            self.record(
                Suspect {
                    fingerprint,
                    crashes: crashes + 1,
                    proven: alone && self.is_last_chance(crashes),
                },
                now,
            );
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
    pub fn take_news(&mut self) -> Vec<Suspect> {
        std::mem::take(&mut self.news)
    }

    /// Fingerprints that are refused now.
    pub fn refused(&self, now: Instant) -> Vec<Fingerprint> {
        let refused = self.records.keys().copied();
        refused
            .filter(|fingerprint| self.standing(*fingerprint, now) == Standing::Refused)
            .collect()
    }

    /// Changes the operators' limits; records keep their count of crashes.
    pub fn set_limits(&mut self, crashes: u32, refused_for: Duration) {
        self.policy.crashes = crashes;
        self.policy.refused_for = refused_for;
    }

    pub(crate) fn alone_interval(&self) -> Duration {
        self.policy.alone_interval
    }

    fn is_last_chance(&self, crashes: u32) -> bool {
        crashes + 1 >= self.policy.crashes.max(LEAST_CRASHES)
    }

    fn record(&mut self, suspect: Suspect, now: Instant) {
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
        self.records.retain(|_, record| {
            let age = now.saturating_duration_since(record.last_crash);
            age < policy.suspected_for || (record.proven && age < policy.refused_for)
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
