//! One run: faults, then healing.

use std::time::Duration;

use crate::world::{Settings, World};

/// What a run came to.
pub(crate) struct Run {
    /// Virtual time that passed.
    pub(crate) virtual_time: Duration,
    /// Bytes sent by all nodes, IP and UDP headers included.
    pub(crate) bytes_sent: u64,
    /// Nodes in the fleet.
    pub(crate) nodes: usize,
    /// Looks at undisturbed nodes, and how many found one suspected.
    pub(crate) views: u64,
    pub(crate) false_suspicions: u64,
    /// The first broken rule.
    pub(crate) violation: Option<Violation>,
}

/// A broken rule.
pub(crate) struct Violation {
    /// Step at which it showed; `steps` for the settling at the end.
    pub(crate) step: u64,
    /// Which rule, on which node.
    pub(crate) rule: String,
    /// What happened before.
    pub(crate) trace: Vec<String>,
}

/// Runs `steps` faults and the settling after them.
pub(crate) fn run(settings: Settings, seed: u64, steps: u64) -> Run {
    const WARM_UP: Duration = Duration::from_secs(20);
    let mut world = World::new(settings, seed);
    let mut verdict = world.run_until(WARM_UP);
    let mut step = 0;
    while verdict.is_ok() && step < steps {
        step += 1;
        verdict = world.disturb(step);
    }
    if verdict.is_ok() {
        verdict = world.heal();
    }
    let violation = verdict.err().map(|rule| Violation {
        step,
        rule,
        trace: world.trace().cloned().collect(),
    });
    Run {
        virtual_time: world.now,
        bytes_sent: world.bytes_sent,
        nodes: world.slots.len(),
        views: world.checks.views,
        false_suspicions: world.checks.false_suspicions,
        violation,
    }
}
