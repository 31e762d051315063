//! What this node has learnt of the runs of its upstream.

use std::sync::{MutexGuard, PoisonError};

use hemlocktack_decide::{ChildCallCounts, RunProfiles, WorkKind};

use super::Node;
use crate::calls::RunningCall;

impl Node {
    /// Records the child calls of an answered run.
    pub(crate) fn record_run_profile(&self, kind: WorkKind, counts: &ChildCallCounts) {
        self.run_profiles().record_answer(kind, counts);
    }

    /// Whether the child calls of a run are not the only work for their root request.
    pub(crate) fn has_sibling_calls(&self, parent: &RunningCall) -> bool {
        parent.has_siblings || self.run_profiles().makes_several_calls(parent.kind)
    }

    /// Returns how many answers of this service a run still needs, if runs of its kind are known.
    /// 0 if the run is lost, because it needs a child call that has failed.
    pub(crate) fn calls_left(&self, run: &RunningCall, service: &str) -> Option<usize> {
        let counts = run.child_call_counts();
        let profiles = self.run_profiles();
        let usual = profiles.calls_to(run.kind, service)?.round() as u32;
        if counts.has_failed && profiles.needs_every_call(run.kind) {
            return Some(0);
        }
        let left = usual.saturating_sub(counts.answered(service)).max(1);
        usize::try_from(left).ok()
    }

    fn run_profiles(&self) -> MutexGuard<'_, RunProfiles> {
        self.run_profiles
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
