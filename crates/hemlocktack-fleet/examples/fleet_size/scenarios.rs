//! What is measured at each size.

use std::time::Duration;

use hemlocktack_fleet::membership::MembershipSafeguard;
use hemlocktack_protocol::NodeState;

use crate::world::{World, data_centre_of, region_of};

const LIMIT: Duration = Duration::from_secs(600);

pub(crate) fn run_all(size: usize, quick: bool) {
    println!("\n{size} nodes, 6 data centres, 2 regions; bytes are sent and received, per node");
    let mut world = World::new(size, None);
    let joined = world.run_until(LIMIT, all_see_all);
    report(&mut world, "all nodes start at once", joined);
    world.run_for(Duration::from_secs(60));
    meter(&mut world);
    world.run_for(Duration::from_secs(60));
    report(&mut world, "idle for 60 s", Some(Duration::from_secs(60)));
    let told = generation(&mut world);
    report(&mut world, "a generation is known everywhere", told);
    let told = drain(&mut world);
    report(&mut world, "a drain is known everywhere", told);
    let lost = lose_data_centre(&mut world);
    report(&mut world, "a data centre lost: out of all views", lost);
    let back = bring_back(&mut world);
    report(&mut world, "its nodes start anew: in all views", back);
    regions(&mut world);
    let mut late = World::new(size, Some(MembershipSafeguard::UrgentNews));
    let _ = late.run_until(LIMIT, all_see_all);
    meter(&mut late);
    let told = drain(&mut late);
    report(&mut late, "a drain, told on the next datagrams only", told);
    if !quick {
        rolling_upgrade(&mut world);
    }
}

fn meter(world: &mut World) {
    for node in &mut world.nodes {
        (node.sent_bytes, node.received_bytes) = (0, 0);
    }
    world.computing = Duration::ZERO;
}

/// Prints the time and what it cost since the meter was last set.
fn report(world: &mut World, what: &str, time: Option<Duration>) {
    let Some(time) = time else {
        println!("{what:<44} not within {LIMIT:?}");
        return meter(world);
    };
    let seconds = time.as_secs_f64();
    let bytes = |node: &crate::world::Node| (node.sent_bytes + node.received_bytes) as f64;
    let count = world.nodes.len() as f64;
    let mean = world.nodes.iter().map(bytes).sum::<f64>() / count / seconds;
    let most = world.nodes.iter().map(bytes).fold(0.0, f64::max) / seconds;
    let core = world.computing.as_secs_f64() / count / seconds * 100.0;
    println!(
        "{what:<44} {seconds:>7.1} s   {mean:>7.0} bytes/s (most {most:>7.0})   {core:.3}% of a core"
    );
    meter(world);
}

fn live(world: &World) -> Vec<usize> {
    let is_live = |number: &usize| world.nodes[*number].membership.is_some();
    (0..world.nodes.len()).filter(is_live).collect()
}

fn all_see(world: &World, number: usize, holds: impl Fn(Option<(u64, NodeState)>) -> bool) -> bool {
    let viewers = live(world).into_iter().filter(|&viewer| viewer != number);
    viewers
        .into_iter()
        .all(|viewer| holds(world.view(viewer, number)))
}

fn all_see_all(world: &World) -> bool {
    live(world).into_iter().all(|number| {
        let wanted = Some((world.incarnation(number), NodeState::Ready));
        all_see(world, number, |view| view == wanted)
    })
}

fn generation(world: &mut World) -> Option<Duration> {
    world.tell_generation(0, 1);
    world.run_until(LIMIT, |world| {
        let generation = |number: usize| {
            let membership = world.nodes[number].membership.as_ref();
            membership.map_or(0, |membership| membership.generation())
        };
        live(world)
            .into_iter()
            .all(|number| generation(number) == 1)
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
    meter(world);
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

fn bring_back(world: &mut World) -> Option<Duration> {
    world.run_for(Duration::from_secs(60));
    meter(world);
    for number in 0..world.nodes.len() {
        if data_centre_of(number) == 0 {
            world.start(number);
        }
    }
    world.run_until(LIMIT, all_see_all)
}

fn regions(world: &mut World) {
    const APART: Duration = Duration::from_secs(600);
    world.run_for(Duration::from_secs(60));
    meter(world);
    world.regions_apart = true;
    world.run_for(APART);
    report(world, "regions apart for 10 min", Some(APART));
    let across = |world: &World| {
        let pairs = live(world)
            .into_iter()
            .filter(|&number| region_of(number) == 1);
        pairs.into_iter().all(|number| {
            world
                .view(0, number)
                .is_none_or(|(_, s)| s != NodeState::Ready)
        })
    };
    println!(
        "  node 0 holds the other region for lost: {}",
        across(world)
    );
    world.regions_apart = false;
    let half = world.run_until(LIMIT, half_see_all);
    report(world, "regions meet: half of all views are whole", half);
    let healed = world.run_until(LIMIT, all_see_all);
    report(world, "  and all of them, after that", healed);
}

fn half_see_all(world: &World) -> bool {
    let nodes = live(world);
    let is_whole = |viewer: &usize| {
        nodes.iter().all(|&number| {
            let wanted = Some((world.incarnation(number), NodeState::Ready));
            number == *viewer || world.view(*viewer, number) == wanted
        })
    };
    nodes.iter().filter(|viewer| is_whole(viewer)).count() * 2 >= nodes.len()
}

/// Each node drains for 3 s and starts anew; all within half an hour.
fn rolling_upgrade(world: &mut World) {
    const WHOLE: Duration = Duration::from_secs(30 * 60);
    const DRAINING: Duration = Duration::from_secs(3);
    let begun = world.now;
    let each = WHOLE / world.nodes.len() as u32;
    for number in 0..world.nodes.len() {
        world.publish(number, NodeState::Draining);
        world.run_for(each.min(DRAINING));
        world.publish(number, NodeState::Left);
        world.run_for(Duration::from_millis(1));
        world.kill(number);
        world.start(number);
        world.run_for(each.saturating_sub(DRAINING));
    }
    let took = world.now - begun;
    report(world, "rolling upgrade of all in half an hour", Some(took));
    let settled = world.run_until(LIMIT, all_see_all);
    report(world, "  and all views are right, after that", settled);
}
