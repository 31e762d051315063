//! Starts and ends the fault of a scenario.

use std::time::Duration;

use hemlocktack_protocol::UpstreamState;
use rand::RngExt;

use super::scenario::Fault;
use super::simulation::{Event, Simulation};

const REPORTS_EVERY: Duration = Duration::from_millis(500);
const CRASHING_EVERY: Duration = Duration::from_millis(500);
/// Time until every node suspects a node whose probes go unanswered.
const SUSPECTED_AFTER: Duration = Duration::from_secs(2);
const RESTART: Duration = Duration::from_secs(1);

/// Applies faults that exist from the start.
pub(crate) fn prepare(simulation: &mut Simulation<'_>) {
    if simulation.scenario.fault != Fault::OverstatedSlots {
        return;
    }
    for service in 0..simulation.services.len() {
        let node = simulation.services[service][0];
        simulation.nodes[node].upstream.slots /= 2;
    }
}

pub(crate) fn begin(simulation: &mut Simulation<'_>) {
    match simulation.scenario.fault {
        // Overstated slots are applied by `prepare`.
        Fault::Nothing | Fault::OverstatedSlots => {}
        Fault::SlowUpstream { service, factor } => {
            let node = simulation.services[service][0];
            simulation.nodes[node].upstream.slowness = factor;
        }
        Fault::SlowService { service, factor } => set_service(simulation, service, factor),
        Fault::ColdStart => {
            for service in 0..simulation.services.len() {
                let node = simulation.services[service][0];
                simulation.stop(node, RESTART);
            }
        }
        Fault::Frozen => {
            for service in [0, 2] {
                let node = simulation.services[service][0];
                simulation.frozen.push(node);
            }
            simulation.schedule(SUSPECTED_AFTER, Event::Suspicion(true));
        }
        Fault::WrongReports { .. } => simulation.schedule(Duration::ZERO, Event::Reports),
        Fault::CrashingRequest => simulation.schedule(Duration::ZERO, Event::CrashingSend),
    }
}

pub(crate) fn end(simulation: &mut Simulation<'_>) {
    match simulation.scenario.fault {
        Fault::Frozen => {
            suspect(simulation, false);
            simulation.frozen.clear();
        }
        Fault::SlowUpstream { service, .. } | Fault::SlowService { service, .. } => {
            set_service(simulation, service, 1.0);
        }
        _ => {}
    }
}

/// Applies what membership reports to every node about the frozen nodes.
pub(crate) fn suspect(simulation: &mut Simulation<'_>, is_suspected: bool) {
    let state = if is_suspected {
        UpstreamState::Absent
    } else {
        UpstreamState::Ready
    };
    for service in [0, 2] {
        for node in &simulation.nodes {
            let peer = &node.peers[service][0];
            peer.set_suspected(is_suspected);
            peer.set_state(state);
        }
    }
}

fn set_service(simulation: &mut Simulation<'_>, service: usize, slowness: f64) {
    for &node in &simulation.services[service] {
        simulation.nodes[node].upstream.slowness = slowness;
    }
}

/// Announces a restarted upstream as cold.
pub(crate) fn back(simulation: &mut Simulation<'_>, node: usize) {
    let (at, now) = (simulation.at, simulation.now());
    let node = &mut simulation.nodes[node];
    node.upstream.is_down = false;
    node.upstream.cold_since = Some(at);
    let slots = node.upstream.announced_slots;
    node.admission
        .announced(slots, node.upstream.connections, true, now);
}

/// Reads the load endpoints, which report wrong values.
pub(crate) fn report(simulation: &mut Simulation<'_>) {
    let Fault::WrongReports { full } = simulation.scenario.fault else {
        return;
    };
    if !simulation.scenario.is_under_pressure(simulation.at) {
        return;
    }
    for node in &mut simulation.nodes {
        let slots = node.upstream.slots as u32;
        node.admission
            .report_load(if full { slots } else { 0 }, slots);
    }
    simulation.schedule(REPORTS_EVERY, Event::Reports);
}

/// Sends the crashing request again.
pub(crate) fn send_crashing(simulation: &mut Simulation<'_>) {
    if !simulation.scenario.is_under_pressure(simulation.at) {
        return;
    }
    // The kinds with the most requests, which any entry accepts.
    let kind = if simulation.demand_rng.random_bool(0.5) {
        2
    } else {
        3
    };
    simulation.new_request(kind, true);
    simulation.schedule(CRASHING_EVERY, Event::CrashingSend);
}
