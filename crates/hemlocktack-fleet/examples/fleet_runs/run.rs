//! One run: injects faults, ends them, and checks that the fleet converges.

use std::time::Duration;

use crate::world::{Settings, World};

/// Result of a run.
pub(crate) struct Run {
    /// Virtual time that the run took.
    pub(crate) virtual_time: Duration,
    /// Bytes sent by all nodes, IP and UDP headers included.
    pub(crate) bytes_sent: u64,
    /// Nodes in the fleet.
    pub(crate) nodes: usize,
    /// Observations of undisturbed nodes by other nodes.
    pub(crate) observations: u64,
    /// Those of the observations that found the node suspected.
    pub(crate) false_suspicions: u64,
    /// First violation; ends the run.
    pub(crate) violation: Option<Violation>,
}

/// Violation of a guarantee.
pub(crate) struct Violation {
    /// Step at which it was detected; the number of steps if after the end of the faults.
    pub(crate) step: u64,
    /// What was violated, and on which node.
    pub(crate) rule: String,
    /// Last events before the violation.
    pub(crate) trace: Vec<String>,
}

/// Injects `steps` faults, ends them all, and checks that the fleet converges.
pub(crate) fn run(settings: Settings, seed: u64, steps: u64) -> Run {
    const WARM_UP: Duration = Duration::from_secs(20);
    let mut world = World::new(settings, seed);
    let mut outcome = world.run_until(WARM_UP);
    let mut step = 0;
    while outcome.is_ok() && step < steps {
        step += 1;
        outcome = world.inject_fault(step);
    }
    if outcome.is_ok() {
        outcome = world.heal();
    }
    let violation = outcome.err().map(|rule| Violation {
        step,
        rule,
        trace: world.trace().cloned().collect(),
    });
    Run {
        virtual_time: world.now,
        bytes_sent: world.bytes_sent,
        nodes: world.slots.len(),
        observations: world.checks.observations,
        false_suspicions: world.checks.false_suspicions,
        violation,
    }
}
