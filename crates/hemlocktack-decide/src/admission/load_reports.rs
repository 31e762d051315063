//! Heeds the load reports of the upstream, and the slowness that they name.

use std::time::{Duration, Instant};

use hemlocktack_protocol::LoadReport;

use super::Admission;
use crate::offer::WorkKind;
use crate::slowness::Slowness;

/// Slowness of a mean call, as load hints carry it; zeros without a report that counts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceSlowness {
    pub(super) percent: u32,
    pub(super) age: Duration,
}

impl Admission {
    /// Applies a load report that came with an answer of the start with this number, or with the
    /// response to its health check, and was read at this time. A report of an earlier start says
    /// nothing about this one.
    pub fn hear_load(&mut self, report: &LoadReport, start_number: u64, read_at: Instant) {
        if self.notices.start_number() == Some(start_number) {
            self.reported_slots = report.slots;
            self.slowness.hear(report, read_at);
        }
    }

    /// Returns the slots in the last load report of the current start of the upstream.
    pub fn reported_slots(&self) -> Option<u32> {
        self.reported_slots
    }

    /// Returns how long work currently takes on the upstream's machine, as a multiple of the usual
    /// time; `None` without a recent report that measured times follow.
    pub fn present_slowness(&self, now: Instant) -> Option<f64> {
        self.slowness.present(now).map(|(factor, _)| factor)
    }

    /// Forgets what an earlier start of the upstream reported.
    pub(super) fn forget_load_reports(&mut self) {
        self.reported_slots = None;
        self.slowness = Slowness::default();
    }

    /// Returns the expected time of a call of the kind, at the present speed of the upstream.
    pub(super) fn expected(&self, kind: WorkKind, now: Instant) -> Duration {
        self.work.expected(kind, self.slowness.factor(now), now)
    }

    /// Returns the expected time of a call over all kinds, at the present speed of the upstream.
    pub(super) fn expected_any(&self, now: Instant) -> Duration {
        let slowed = self.work.slowed(self.slowness.factor(now));
        self.work.expected_any().mul_f64(slowed)
    }

    pub(super) fn service_slowness(&self, now: Instant) -> ServiceSlowness {
        let present = self.slowness.present(now);
        present.map_or_else(ServiceSlowness::default, |(factor, age)| ServiceSlowness {
            percent: (self.work.slowed(factor) * 100.0).round() as u32,
            age,
        })
    }
}
