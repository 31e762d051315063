//! Learns how many child calls the runs of each kind of call make.

use std::collections::HashMap;

use hemlocktack_protocol::ServiceName;

use crate::WorkKind;

/// Kinds of calls that are remembered, which is more than any current deployment has. Beyond
/// this, all are dropped and learnt anew, which takes a few answered runs per kind.
const MAX_KINDS: usize = 1_024;
/// Services that are remembered per kind of call.
const MAX_SERVICES: usize = 16;
/// Weight of one answered run.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Mean number of child calls above which a run is taken to make several.
const MAX_CALLS_OF_SINGLE: f64 = 1.5;
/// Share of answered runs with a failed child call above which a failed child call does not end
/// the run of its kind.
const TOLERANT_SHARE: f64 = 0.1;

/// Child calls of one run that have been answered, by service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChildCallCounts {
    services: Vec<ServiceCalls<u32>>,
    /// Whether a child call has ended without a valid answer.
    pub has_failed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ServiceCalls<T> {
    service: ServiceName,
    calls: T,
}

impl ChildCallCounts {
    /// Counts an answered call to this service.
    pub fn record_answer(&mut self, service: &str) {
        let is_service = |known: &&mut ServiceCalls<u32>| *known.service == *service;
        if let Some(known) = self.services.iter_mut().find(is_service) {
            known.calls = known.calls.saturating_add(1);
        } else if self.services.len() < MAX_SERVICES {
            self.services.push(ServiceCalls {
                service: service.into(),
                calls: 1,
            });
        }
    }

    /// Returns how many calls to this service have been answered.
    pub fn answered(&self, service: &str) -> u32 {
        let known = self
            .services
            .iter()
            .find(|known| *known.service == *service);
        known.map_or(0, |known| known.calls)
    }
}

/// The usual child calls of the runs of each kind, learnt on the node beside the upstream that
/// makes them.
///
/// Runs that fail end early, so only answered runs show how many answers a request needs.
#[derive(Debug, Default)]
pub struct RunProfiles {
    kinds: HashMap<WorkKind, RunProfile>,
}

#[derive(Debug, Default)]
struct RunProfile {
    services: Vec<ServiceCalls<f64>>,
    /// Share of answered runs in which a child call has failed.
    failed_share: f64,
}

impl RunProfiles {
    /// Records the child calls of an answered run.
    pub fn record_answer(&mut self, kind: WorkKind, counts: &ChildCallCounts) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.kinds.clear();
        }
        self.kinds.entry(kind).or_default().record(counts);
    }

    /// Returns the calls to this service that a run of this kind usually makes.
    pub fn calls_to(&self, kind: WorkKind, service: &str) -> Option<f64> {
        let services = &self.kinds.get(&kind)?.services;
        let known = services.iter().find(|known| *known.service == *service)?;
        Some(known.calls)
    }

    /// Returns whether a run of this kind makes more than one child call, or may do so.
    pub fn makes_several_calls(&self, kind: WorkKind) -> bool {
        self.kinds.get(&kind).is_none_or(|profile| {
            let calls: f64 = profile.services.iter().map(|known| known.calls).sum();
            calls > MAX_CALLS_OF_SINGLE
        })
    }

    /// Returns whether a run of this kind fails when one of its child calls fails.
    pub fn needs_every_call(&self, kind: WorkKind) -> bool {
        let profile = self.kinds.get(&kind);
        profile.is_some_and(|profile| profile.failed_share <= TOLERANT_SHARE)
    }
}

impl RunProfile {
    fn record(&mut self, counts: &ChildCallCounts) {
        let has_failed = f64::from(u8::from(counts.has_failed));
        self.failed_share += (has_failed - self.failed_share) * SAMPLE_WEIGHT;
        for known in &mut self.services {
            let calls = f64::from(counts.answered(&known.service));
            known.calls += (calls - known.calls) * SAMPLE_WEIGHT;
        }
        for called in &counts.services {
            let is_known = |known: &ServiceCalls<f64>| known.service == called.service;
            if self.services.len() < MAX_SERVICES && !self.services.iter().any(is_known) {
                self.services.push(ServiceCalls {
                    service: called.service.clone(),
                    calls: f64::from(called.calls),
                });
            }
        }
    }
}
