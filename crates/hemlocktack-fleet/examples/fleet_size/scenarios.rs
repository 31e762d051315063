//! Measurements that are made at each fleet size.

use std::time::Duration;

use hemlocktack_fleet::membership::MembershipSafeguard;
use hemlocktack_protocol::NodeState;

use crate::world::{World, data_centre_of, region_of};

const LIMIT: Duration = Duration::from_secs(600);

pub(crate) fn run_all(size: usize, quick: bool) {
    println!("\n{size} nodes, 6 data centres, 2 regions; bytes: sent plus received, per node");
    let mut world = World::new(size, None);
    let joined = world.run_until(LIMIT, all_see_all);
    report(&mut world, "all nodes start at once", joined);
    world.run_for(Duration::from_secs(60));
    reset_counters(&mut world);
    world.run_for(Duration::from_secs(60));
    report(&mut world, "idle for 60 s", Some(Duration::from_secs(60)));
    let elapsed = spread_generation(&mut world);
    report(&mut world, "a generation is known everywhere", elapsed);
    let elapsed = drain(&mut world);
    report(&mut world, "a drain is known everywhere", elapsed);
    let elapsed = lose_data_centre(&mut world);
    report(&mut world, "a data centre lost: out of all views", elapsed);
    let elapsed = restart_data_centre(&mut world);
    report(&mut world, "its nodes restart: in all views", elapsed);
    partition_regions(&mut world);
    let mut without_urgent_news = World::new(size, Some(MembershipSafeguard::UrgentNews));
    let _ = without_urgent_news.run_until(LIMIT, all_see_all);
    reset_counters(&mut without_urgent_news);
    let elapsed = drain(&mut without_urgent_news);
    report(
        &mut without_urgent_news,
        "a drain, without urgent news",
        elapsed,
    );
    if !quick {
        rolling_upgrade(&mut world);
    }
}

fn reset_counters(world: &mut World) {
    for node in &mut world.nodes {
        (node.sent_bytes, node.received_bytes) = (0, 0);
    }
    world.compute_time = Duration::ZERO;
}

/// Prints the elapsed time, and the traffic and CPU share since the counters were last reset.
fn report(world: &mut World, label: &str, time: Option<Duration>) {
    let Some(time) = time else {
        println!("{label:<44} not within {LIMIT:?}");
        return reset_counters(world);
    };
    let seconds = time.as_secs_f64();
    let bytes = |node: &crate::world::Node| (node.sent_bytes + node.received_bytes) as f64;
    let count = world.nodes.len() as f64;
    let mean = world.nodes.iter().map(bytes).sum::<f64>() / count / seconds;
    let most = world.nodes.iter().map(bytes).fold(0.0, f64::max) / seconds;
    let core = world.compute_time.as_secs_f64() / count / seconds * 100.0;
    println!(
        "{label:<44} {seconds:>7.1} s   {mean:>7.0} bytes/s (most {most:>7.0})   {core:.3}% of a core"
    );
    reset_counters(world);
}

fn running_nodes(world: &World) -> Vec<usize> {
    let is_live = |number: &usize| world.nodes[*number].membership.is_some();
    (0..world.nodes.len()).filter(is_live).collect()
}

fn all_see(world: &World, number: usize, holds: impl Fn(Option<(u64, NodeState)>) -> bool) -> bool {
    let viewers = running_nodes(world)
        .into_iter()
        .filter(|&viewer| viewer != number);
    viewers
        .into_iter()
        .all(|viewer| holds(world.view(viewer, number)))
}

fn all_see_all(world: &World) -> bool {
    running_nodes(world).into_iter().all(|number| {
        let wanted = Some((world.incarnation(number), NodeState::Ready));
        all_see(world, number, |view| view == wanted)
    })
}

fn spread_generation(world: &mut World) -> Option<Duration> {
    world.announce_generation(0, 1);
    world.run_until(LIMIT, |world| {
        let generation_of = |number: usize| {
            let membership = world.nodes[number].membership.as_ref();
            membership.map_or(0, |membership| membership.generation())
        };
        running_nodes(world)
            .into_iter()
            .all(|number| generation_of(number) == 1)
    })
}

fn drain(world: &mut World) -> Option<Duration> {
    let number = world.nodes.len() / 2;
    world.publish(number, NodeState::Draining);
    let known = world.run_until(LIMIT, |world| {
        all_see(world, number, |view| {
            view.is_some_and(|(_, state)| state == NodeState::Draining)
        })
    });
    world.publish(number, NodeState::Ready);
    known
}

fn lose_data_centre(world: &mut World) -> Option<Duration> {
    world.run_for(Duration::from_secs(60));
    reset_counters(world);
    for number in 0..world.nodes.len() {
        if data_centre_of(number) == 0 {
            world.kill(number);
        }
    }
    world.run_until(LIMIT, |world| {
        let lost = (0..world.nodes.len()).filter(|&number| data_centre_of(number) == 0);
        let is_out = |view: Option<(u64, NodeState)>| {
            view.is_none_or(|(_, state)| state != NodeState::Ready)
        };
        lost.into_iter()
            .all(|number| all_see(world, number, is_out))
    })
}

fn restart_data_centre(world: &mut World) -> Option<Duration> {
    world.run_for(Duration::from_secs(60));
    reset_counters(world);
    for number in 0..world.nodes.len() {
        if data_centre_of(number) == 0 {
            world.start(number);
        }
    }
    world.run_until(LIMIT, all_see_all)
}

fn partition_regions(world: &mut World) {
    const PARTITION_TIME: Duration = Duration::from_secs(600);
    world.run_for(Duration::from_secs(60));
    reset_counters(world);
    world.regions_partitioned = true;
    world.run_for(PARTITION_TIME);
    report(
        world,
        "regions partitioned for 10 min",
        Some(PARTITION_TIME),
    );
    let considers_region_lost = |world: &World| {
        let others = running_nodes(world)
            .into_iter()
            .filter(|&number| region_of(number) == 1);
        others.into_iter().all(|number| {
            world
                .view(0, number)
                .is_none_or(|(_, s)| s != NodeState::Ready)
        })
    };
    println!(
        "  node 0 considers the other region lost: {}",
        considers_region_lost(world)
    );
    world.regions_partitioned = false;
    let half = world.run_until(LIMIT, half_see_all);
    report(world, "partition ends: half of all views complete", half);
    let healed = world.run_until(LIMIT, all_see_all);
    report(world, "  all views complete, after that", healed);
}

fn half_see_all(world: &World) -> bool {
    let nodes = running_nodes(world);
    let is_complete = |viewer: &usize| {
        nodes.iter().all(|&number| {
            let wanted = Some((world.incarnation(number), NodeState::Ready));
            number == *viewer || world.view(*viewer, number) == wanted
        })
    };
    nodes.iter().filter(|viewer| is_complete(viewer)).count() * 2 >= nodes.len()
}

/// Restarts one node after the other within half an hour; each drains for up to 3 s first.
fn rolling_upgrade(world: &mut World) {
    const UPGRADE_TIME: Duration = Duration::from_secs(30 * 60);
    const DRAIN_TIME: Duration = Duration::from_secs(3);
    let started_at = world.now;
    let time_per_node = UPGRADE_TIME / world.nodes.len() as u32;
    for number in 0..world.nodes.len() {
        world.publish(number, NodeState::Draining);
        world.run_for(time_per_node.min(DRAIN_TIME));
        world.publish(number, NodeState::Left);
        world.run_for(Duration::from_millis(1));
        world.kill(number);
        world.start(number);
        world.run_for(time_per_node.saturating_sub(DRAIN_TIME));
    }
    let took = world.now - started_at;
    report(world, "rolling upgrade of all in half an hour", Some(took));
    let settled = world.run_until(LIMIT, all_see_all);
    report(world, "  all views complete, after that", settled);
}
