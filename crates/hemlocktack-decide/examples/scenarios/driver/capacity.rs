//! Computes what slots and service times allow, as the reference for goodput.

use super::deployment::Deployment;
use super::scenario::{LONG_FACTOR, LONG_ONE_IN, Scenario};

/// Requests per second of each kind that capacity allows.
#[derive(Clone, Debug)]
pub(crate) struct Allowed {
    pub(crate) per_kind: Vec<f64>,
}

/// Returns the slot seconds that a request of each kind takes in each service.
fn slot_seconds(deployment: &Deployment) -> Vec<Vec<f64>> {
    let per_kind = |kind: &super::deployment::Kind| {
        let mut seconds = vec![0.0; deployment.services.len()];
        add_step(deployment, kind.root, &mut seconds);
        seconds
    };
    deployment.kinds.iter().map(per_kind).collect()
}

fn add_step(deployment: &Deployment, step: usize, seconds: &mut [f64]) {
    let hold = deployment.hold_time(step).as_secs_f64();
    let step = &deployment.steps[step];
    seconds[step.service] += hold;
    for child_step in &step.child_steps {
        add_step(deployment, *child_step, seconds);
    }
}

/// Returns the requests per second of all kinds at which the first service is full.
pub(crate) fn saturation_rate(deployment: &Deployment) -> f64 {
    let cost = slot_seconds(deployment);
    let services = deployment.services.iter().enumerate();
    let rates = services.map(|(index, service)| {
        let slots = service.upstreams as f64 * f64::from(service.slots);
        let kinds = deployment.kinds.iter().zip(&cost);
        let need: f64 = kinds.map(|(kind, cost)| kind.share * cost[index]).sum();
        slots / need
    });
    rates.fold(f64::INFINITY, f64::min)
}

/// Returns the rates that a perfect scheduler could serve: classes in their order; within a
/// class all kinds grow in proportion to their demand, and those that need a full service stop
/// there.
pub(crate) fn allowed(deployment: &Deployment, demand: &[f64], slots: &[f64]) -> Allowed {
    let cost = slot_seconds(deployment);
    let mut free = slots.to_vec();
    let mut served = vec![0.0; demand.len()];
    let last_class = deployment.kinds.iter().map(|kind| kind.class_rank).max();
    for class in 0..=last_class.unwrap_or(0) {
        let mut open: Vec<usize> = (0..demand.len())
            .filter(|kind| deployment.kinds[*kind].class_rank == class && demand[*kind] > 0.0)
            .collect();
        let mut reached = 0.0;
        while reached < 1.0 && !open.is_empty() {
            let step = growth(&open, &cost, demand, &free).min(1.0 - reached);
            for &kind in &open {
                served[kind] += demand[kind] * step;
                for (free, cost) in free.iter_mut().zip(&cost[kind]) {
                    *free -= demand[kind] * step * cost;
                }
            }
            reached += step;
            open.retain(|kind| {
                let needed = cost[*kind].iter().zip(&free);
                needed
                    .clone()
                    .all(|(cost, free)| *cost == 0.0 || *free > 1e-6)
            });
        }
    }
    Allowed { per_kind: served }
}

/// Returns the share of their demand by which the open kinds can still grow.
fn growth(open: &[usize], cost: &[Vec<f64>], demand: &[f64], free: &[f64]) -> f64 {
    let shares = free.iter().enumerate().map(|(service, free)| {
        let need: f64 = open
            .iter()
            .map(|kind| demand[*kind] * cost[*kind][service])
            .sum();
        if need > 0.0 {
            free.max(0.0) / need
        } else {
            f64::INFINITY
        }
    });
    shares.fold(f64::INFINITY, f64::min)
}

/// Returns the deployment with the mean work of the kind that has long calls. The chain of the
/// last kind has one step in each deployment.
pub(crate) fn with_long_calls(deployment: &Deployment, scenario: &Scenario) -> Deployment {
    let mut effective = deployment.clone();
    if !scenario.long_calls {
        return effective;
    }
    let mean_factor = 1.0 + (LONG_FACTOR - 1.0) / LONG_ONE_IN as f64;
    let Some(kind) = effective.kinds.last() else {
        return effective;
    };
    let step = &mut effective.steps[kind.root];
    step.own_work = step.own_work.mul_f64(mean_factor);
    effective
}
