//! An upstream whose speed varies over time, and the admission of its node.

use std::time::{Duration, Instant};

use hemlocktack_decide::{Admission, AdmissionPolicy, UpstreamStart};
use hemlocktack_protocol::LoadReport;

pub(crate) const START_NUMBER: u64 = 1;
/// Slowness while other work runs on the machine.
pub(crate) const BURST_SLOWNESS: f64 = 2.5;
/// Slowness above `NEARLY_FULL` of the slots, for upstreams that have it.
const NEARLY_FULL_SLOWNESS: f64 = 1.3;
const NEARLY_FULL: f64 = 0.95;

/// Fixed properties of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) data_centre: usize,
    pub(crate) slots: u32,
    /// Work per second relative to the usual machine.
    pub(crate) speed: f64,
    /// Begin and end, in seconds, of the periods in which other work runs on the machine.
    pub(crate) bursts: Vec<(f64, f64)>,
    pub(crate) slows_down_nearly_full: bool,
}

pub(crate) struct Upstream {
    pub(crate) machine: Machine,
    pub(crate) admission: Admission,
    pub(crate) running: u32,
    /// Calls on their way to it, queued and running.
    pub(crate) outstanding: u32,
}

impl Upstream {
    pub(crate) fn new(machine: Machine, now: Instant) -> Self {
        let mut admission = Admission::new(AdmissionPolicy::default(), now);
        admission.set_upstream_start(UpstreamStart {
            id: "i-1".into(),
            started_unix_ms: None,
            number: START_NUMBER,
        });
        admission.announced(machine.slots, machine.slots * 8, false, now);
        Upstream {
            machine,
            admission,
            running: 0,
            outstanding: 0,
        }
    }

    /// Returns when work that takes the usual machine `work` ends.
    pub(crate) fn end_of(&self, began_secs: f64, work: Duration) -> f64 {
        let mut left = work.as_secs_f64() / self.machine.speed * self.fullness_factor();
        let mut at = began_secs;
        for &(from, to) in &self.machine.bursts {
            if to <= at {
                continue;
            }
            if at + left <= from {
                break;
            }
            if at < from {
                left -= from - at;
                at = from;
            }
            let done = (to - at) / BURST_SLOWNESS;
            if left <= done {
                return at + left * BURST_SLOWNESS;
            }
            left -= done;
            at = to;
        }
        at + left
    }

    pub(crate) fn slowness(&self, at_secs: f64) -> f64 {
        let is_burst = |&(from, to): &(f64, f64)| (from..to).contains(&at_secs);
        let burst = match self.machine.bursts.iter().any(is_burst) {
            true => BURST_SLOWNESS,
            false => 1.0,
        };
        burst * self.fullness_factor()
    }

    fn fullness_factor(&self) -> f64 {
        let is_nearly_full = f64::from(self.running) > f64::from(self.machine.slots) * NEARLY_FULL;
        match self.machine.slows_down_nearly_full && is_nearly_full {
            true => NEARLY_FULL_SLOWNESS,
            false => 1.0,
        }
    }

    pub(crate) fn report(&self, at_secs: f64) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: 0,
            slots: Some(self.machine.slots),
            slowness_percent: Some((self.slowness(at_secs) * 100.0) as u32),
        }
    }
}
