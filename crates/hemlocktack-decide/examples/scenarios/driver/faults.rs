//! Faults of a scenario, as they begin and end.

use std::time::Duration;

use hemlocktack_protocol::UpstreamState;
use rand::RngExt;

use super::scenario::Fault;
use super::world::{Event, World};

const REPORTS_EVERY: Duration = Duration::from_millis(500);
const CRASHING_EVERY: Duration = Duration::from_millis(500);
/// Time until probes that go unanswered reach every node as a suspicion.
const SUSPECTED_AFTER: Duration = Duration::from_secs(2);
const RESTART: Duration = Duration::from_secs(1);

/// Faults that are there from the start.
pub(crate) fn prepare(world: &mut World<'_>) {
    if world.scenario.fault != Fault::OverstatedSlots {
        return;
    }
    for service in 0..world.services.len() {
        let node = world.services[service][0];
        world.nodes[node].upstream.slots /= 2;
    }
}

pub(crate) fn begin(world: &mut World<'_>) {
    match world.scenario.fault {
        // Overstated slots are there from the start.
        Fault::Nothing | Fault::OverstatedSlots => {}
        Fault::SlowUpstream { service, factor } => {
            let node = world.services[service][0];
            world.nodes[node].upstream.slowness = factor;
        }
        Fault::SlowService { service, factor } => set_service(world, service, factor),
        Fault::ColdStart => {
            for service in 0..world.services.len() {
                let node = world.services[service][0];
                world.stop(node, RESTART);
            }
        }
        Fault::Frozen => {
            for service in [0, 2] {
                let node = world.services[service][0];
                world.frozen.push(node);
            }
            world.schedule(SUSPECTED_AFTER, Event::Suspicion(true));
        }
        Fault::LyingReports { .. } => world.schedule(Duration::ZERO, Event::Reports),
        Fault::CrashingRequest => world.schedule(Duration::ZERO, Event::CrashingSend),
    }
}

pub(crate) fn end(world: &mut World<'_>) {
    match world.scenario.fault {
        Fault::Frozen => {
            suspect(world, false);
            world.frozen.clear();
        }
        Fault::SlowUpstream { service, .. } | Fault::SlowService { service, .. } => {
            set_service(world, service, 1.0);
        }
        _ => {}
    }
}

/// What membership tells every node of those that stand still.
pub(crate) fn suspect(world: &mut World<'_>, is_suspected: bool) {
    let state = if is_suspected {
        UpstreamState::Absent
    } else {
        UpstreamState::Ready
    };
    for service in [0, 2] {
        for node in &world.nodes {
            let peer = &node.peers[service][0];
            peer.set_suspected(is_suspected);
            peer.set_state(state);
        }
    }
}

fn set_service(world: &mut World<'_>, service: usize, slowness: f64) {
    for &node in &world.services[service] {
        world.nodes[node].upstream.slowness = slowness;
    }
}

/// A restarted upstream announces itself, cold.
pub(crate) fn back(world: &mut World<'_>, node: usize) {
    let (at, now) = (world.at, world.now());
    let node = &mut world.nodes[node];
    node.upstream.is_down = false;
    node.upstream.cold_since = Some(at);
    let slots = node.upstream.announced_slots;
    node.admission
        .announced(slots, node.upstream.connections, true, now);
}

/// Reads the load endpoints, which lie.
pub(crate) fn report(world: &mut World<'_>) {
    let Fault::LyingReports { full } = world.scenario.fault else {
        return;
    };
    if !world.scenario.is_pressed(world.at) {
        return;
    }
    for node in &mut world.nodes {
        let slots = node.upstream.slots as u32;
        node.admission
            .report_load(if full { slots } else { 0 }, slots);
    }
    world.schedule(REPORTS_EVERY, Event::Reports);
}

/// The caller of the crashing request sends it again.
pub(crate) fn send_crashing(world: &mut World<'_>) {
    if !world.scenario.is_pressed(world.at) {
        return;
    }
    // The kind of the most requests, which any entry takes.
    let kind = if world.demand_rng.random_bool(0.5) {
        2
    } else {
        3
    };
    world.new_request(kind, true);
    world.schedule(CRASHING_EVERY, Event::CrashingSend);
}
