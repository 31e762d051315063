//! Ends of the calls that entered here, by service, outcome and reason.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use hemlocktack_config::Document;
use hemlocktack_protocol::{EntryCount, Outcome, Reason, ServiceName};
use strum::IntoEnumIterator;

/// Larger than any number of a `Reason` in the schema.
const REASON_NUMBERS: usize = 64;

/// Counts of one service.
#[derive(Debug)]
struct Ends {
    answered: AtomicU64,
    not_run: [AtomicU64; REASON_NUMBERS],
    unknown: [AtomicU64; REASON_NUMBERS],
}

impl Default for Ends {
    fn default() -> Self {
        Ends {
            answered: AtomicU64::new(0),
            not_run: std::array::from_fn(|_| AtomicU64::new(0)),
            unknown: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl Ends {
    fn count_of(&self, outcome: Outcome, reason: Reason) -> Option<&AtomicU64> {
        match outcome {
            Outcome::Answered => Some(&self.answered),
            Outcome::NotRun => self.not_run.get(reason as usize),
            Outcome::Unknown | Outcome::Unspecified => self.unknown.get(reason as usize),
        }
    }
}

/// Counts of all declared services.
///
/// A service gets its counts when it is declared and keeps them, so that the
/// set is bounded by what operators have declared. What callers make up is
/// counted together without a name.
#[derive(Debug, Default)]
pub(crate) struct EntryCounts {
    services: ArcSwap<HashMap<ServiceName, Arc<Ends>>>,
    undeclared: Ends,
}

impl EntryCounts {
    /// Makes room for the services of a configuration.
    pub(crate) fn declare(&self, document: &Document) {
        self.services.rcu(|known| {
            let mut services = HashMap::clone(known);
            for service in &document.services {
                services.entry(service.name.as_str().into()).or_default();
            }
            services
        });
    }

    /// Counts one end.
    pub(crate) fn record(&self, service: &str, outcome: Outcome, reason: Reason) {
        let services = self.services.load();
        let ends = services.get(service).map_or(&self.undeclared, Arc::as_ref);
        if let Some(count) = ends.count_of(outcome, reason) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The counts that are not 0, in order of services.
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

fn counts_of(service: &str, ends: &Ends) -> Vec<EntryCount> {
    let entry = |outcome: Outcome, reason: Reason, count: u64| EntryCount {
        service: service.to_owned(),
        outcome: outcome.into(),
        reason: reason.into(),
        count,
    };
    let answered = ends.answered.load(Ordering::Relaxed);
    let mut counts = vec![entry(Outcome::Answered, Reason::Unspecified, answered)];
    for outcome in [Outcome::NotRun, Outcome::Unknown] {
        for reason in Reason::iter() {
            let count = ends.count_of(outcome, reason);
            let count = count.map_or(0, |count| count.load(Ordering::Relaxed));
            counts.push(entry(outcome, reason, count));
        }
    }
    counts.retain(|entry| entry.count > 0);
    counts
}
