//! What the ends of calls say of the limit and of the times that calls take.

use std::time::{Duration, Instant};

use super::{Admission, Running};
use crate::limit::WindowEnd;

/// A call that comes with next to none of its objective left says nothing about
/// the limit; this bounds what it weighs.
const LEAST_OBJECTIVE_SECS: f64 = 0.01;

impl Admission {
    pub(super) fn learn_from(&mut self, call: &Running, time_below: Duration, now: Instant) {
        let total = now.saturating_duration_since(call.started);
        let own = total.saturating_sub(time_below);
        let ratio = self.work.observe(call.kind, total, own, now);
        if self.objective_limit.is_some() {
            self.observe_root(call, time_below, now, |_, below| below);
            return;
        }
        if self.limit.observe(ratio, call.started, now) == WindowEnd::FloorIsStale {
            self.work.adopt_floors();
        }
    }

    /// Load: more roots than a service below can finish. Harm: nearly all of them
    /// fail there, half way, and the few that are answered in time say that all
    /// is well: the limit stays, and the service below goes on working for
    /// requests that fail. So one that found no room below counts as if it had
    /// waited there for the rest of its objective.
    pub(super) fn learn_lack_of_room(
        &mut self,
        call: &Running,
        time_below: Duration,
        now: Instant,
    ) {
        self.observe_root(call, time_below, now, |own, below| below.max(1.0 - own));
    }

    /// Tells the limit by objectives which shares of its objective a root request
    /// took itself and, by `share_below` of both, waited below. A rest of an
    /// objective says nothing about the limit.
    fn observe_root(
        &mut self,
        call: &Running,
        time_below: Duration,
        now: Instant,
        share_below: impl Fn(f64, f64) -> f64,
    ) {
        let Some(limit) = &mut self.objective_limit else {
            return;
        };
        let Some(objective) = call.objective.filter(|_| !call.has_returned) else {
            return;
        };
        let total = now.saturating_duration_since(call.started);
        let own = total.saturating_sub(time_below);
        let whole_secs = objective.as_secs_f64().max(LEAST_OBJECTIVE_SECS);
        let own_share = own.as_secs_f64() / whole_secs;
        let below_share = (total - own).as_secs_f64() / whole_secs;
        limit.observe(total, own_share, share_below(own_share, below_share), now);
    }
}
