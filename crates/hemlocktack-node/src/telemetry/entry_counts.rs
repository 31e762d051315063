//! Counts of finished calls that entered at this node, by service, outcome and reason.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use hemlocktack_config::Document;
use hemlocktack_protocol::{EntryCount, Outcome, Reason, ServiceName};
use strum::IntoEnumIterator;

/// Larger than any number of a `Reason` in the schema.
const REASON_SLOTS: usize = 64;

/// Counts of one service, by outcome and reason.
#[derive(Debug)]
struct OutcomeCounts {
    answered: AtomicU64,
    not_run: [AtomicU64; REASON_SLOTS],
    unknown: [AtomicU64; REASON_SLOTS],
}

impl Default for OutcomeCounts {
    fn default() -> Self {
        OutcomeCounts {
            answered: AtomicU64::new(0),
            not_run: std::array::from_fn(|_| AtomicU64::new(0)),
            unknown: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl OutcomeCounts {
    fn counter(&self, outcome: Outcome, reason: Reason) -> Option<&AtomicU64> {
        match outcome {
            Outcome::Answered => Some(&self.answered),
            Outcome::NotRun => self.not_run.get(reason as usize),
            Outcome::Unknown | Outcome::Unspecified => self.unknown.get(reason as usize),
        }
    }
}

/// Counts of all declared services.
///
/// A service gets its counts when a configuration declares it and keeps them, so that their
/// number is bounded by what operators have declared. Calls to undeclared services are
/// counted together under an empty name.
#[derive(Debug, Default)]
pub(crate) struct EntryCounts {
    services: ArcSwap<HashMap<ServiceName, Arc<OutcomeCounts>>>,
    undeclared: OutcomeCounts,
}

impl EntryCounts {
    /// Adds counts for the services of a configuration.
    pub(crate) fn declare(&self, document: &Document) {
        self.services.rcu(|known| {
            let mut services = HashMap::clone(known);
            for service in &document.services {
                services.entry(service.name.as_str().into()).or_default();
            }
            services
        });
    }

    /// Counts one finished call.
    pub(crate) fn record(&self, service: &str, outcome: Outcome, reason: Reason) {
        let services = self.services.load();
        let counts = services.get(service).map_or(&self.undeclared, Arc::as_ref);
        if let Some(count) = counts.counter(outcome, reason) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the non-zero counts, ordered by service.
    pub(crate) fn counts(&self) -> Vec<EntryCount> {
        let services = self.services.load();
        let mut counts = counts_of("", &self.undeclared);
        let mut names = services.keys().collect::<Vec<_>>();
        names.sort();
        for name in names {
            counts.extend(counts_of(name, &services[name]));
        }
        counts
    }
}

fn counts_of(service: &str, by_outcome: &OutcomeCounts) -> Vec<EntryCount> {
    let entry = |outcome: Outcome, reason: Reason, count: u64| EntryCount {
        service: service.to_owned(),
        outcome: outcome.into(),
        reason: reason.into(),
        count,
    };
    let answered = by_outcome.answered.load(Ordering::Relaxed);
    let mut counts = vec![entry(Outcome::Answered, Reason::Unspecified, answered)];
    for outcome in [Outcome::NotRun, Outcome::Unknown] {
        for reason in Reason::iter() {
            let count = by_outcome.counter(outcome, reason);
            let count = count.map_or(0, |count| count.load(Ordering::Relaxed));
            counts.push(entry(outcome, reason, count));
        }
    }
    counts.retain(|entry| entry.count > 0);
    counts
}
