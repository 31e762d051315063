//! Updates the limits and the estimates from finished calls.

use std::time::{Duration, Instant};

use super::{Admission, Running};
use crate::limit::WindowOutcome;

/// Lower bound on the objective used to compute shares, which limits the weight of a call that
/// arrives with almost none of its objective left.
const MIN_OBJECTIVE_SECS: f64 = 0.01;

impl Admission {
    pub(super) fn record_answer(&mut self, call: &Running, child_wait: Duration, now: Instant) {
        let total = now.saturating_duration_since(call.started);
        let own = total.saturating_sub(child_wait);
        self.slowness.compare(call.kind, own, call.started, now);
        let usual_own = own.mul_f64(self.slowness.usual_share(call.started, now));
        let ratio = self
            .work
            .observe(call.kind, usual_own + (total - own), usual_own, now);
        if self.objective_limit.is_some() {
            self.observe_root_run(call, child_wait, now, |_, child| child);
            return;
        }
        if self.limit.observe(ratio, call.started, now) == WindowOutcome::BaselineIsStale {
            self.work.adopt_baselines();
        }
    }

    /// Records a root request that failed because a child call was refused for lack of capacity.
    ///
    /// When there are more root requests than a service deeper in the chain can finish, nearly
    /// all of them fail there halfway, and the few that are answered in time suggest that all is
    /// well. The limit would stay unchanged, and that service would keep working for requests
    /// that fail. Such a request therefore counts as if it had waited for the rest of its
    /// objective.
    pub(super) fn record_lack_of_capacity(
        &mut self,
        call: &Running,
        child_wait: Duration,
        now: Instant,
    ) {
        self.observe_root_run(call, child_wait, now, |own, child| child.max(1.0 - own));
    }

    /// Reports to the objective limit the shares of its objective that a root request spent on
    /// its own work at the upstream's usual speed and, computed from both by
    /// `counted_child_share`, waiting for child calls.
    /// Requests that were retried have only part of their objective left and are ignored.
    fn observe_root_run(
        &mut self,
        call: &Running,
        child_wait: Duration,
        now: Instant,
        counted_child_share: impl Fn(f64, f64) -> f64,
    ) {
        let Some(limit) = &mut self.objective_limit else {
            return;
        };
        let Some(objective) = call.objective.filter(|_| !call.has_returned) else {
            return;
        };
        let total = now.saturating_duration_since(call.started);
        let own = total.saturating_sub(child_wait);
        let usual_own = own.mul_f64(self.slowness.usual_share(call.started, now));
        let objective_secs = objective.as_secs_f64().max(MIN_OBJECTIVE_SECS);
        let own_share = usual_own.as_secs_f64() / objective_secs;
        let child_share = (total - own).as_secs_f64() / objective_secs;
        limit.observe(
            total,
            own_share,
            counted_child_share(own_share, child_share),
            now,
        );
    }
}
