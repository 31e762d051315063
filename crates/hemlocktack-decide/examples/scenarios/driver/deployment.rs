//! Example deployments of two users. Their sizes were given by the users; chains and times are
//! assumptions.

use std::time::Duration;

/// One service and the size of its upstreams.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// One call of a chain: own work in a service, with child calls in between.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) service: usize,
    pub(crate) own_work: Duration,
    pub(crate) child_steps: Vec<usize>,
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) class_rank: u8,
    pub(crate) idempotent: bool,
    pub(crate) timeout: Duration,
    /// Share of all requests.
    pub(crate) share: f64,
    /// Step called by the caller.
    pub(crate) root: usize,
}

/// Services, chains and network delays of one user.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) data_centres: usize,
    pub(crate) data_centre_delay: Duration,
    pub(crate) client_delay: Duration,
    pub(crate) services: Vec<Service>,
    pub(crate) steps: Vec<Step>,
    pub(crate) kinds: Vec<Kind>,
}

impl Deployment {
    /// Returns how long a call of the step holds its slot: own work and child calls.
    pub(crate) fn hold_time(&self, step: usize) -> Duration {
        let step = &self.steps[step];
        let child_time: Duration = step
            .child_steps
            .iter()
            .map(|child_step| self.hold_time(*child_step))
            .sum();
        step.own_work + child_time
    }

    /// Returns the slot time that a call of the step takes in all services together.
    pub(crate) fn slot_time(&self, step: usize) -> Duration {
        let child_steps = self.steps[step].child_steps.iter();
        let child_time: Duration = child_steps
            .map(|child_step| self.slot_time(*child_step))
            .sum();
        self.hold_time(step) + child_time
    }
}

fn service(upstreams: usize, slots: u32, connections: u32) -> Service {
    Service {
        upstreams,
        slots,
        connections,
    }
}

fn step(service: usize, own_ms: u64, child_steps: &[usize]) -> Step {
    Step {
        service,
        own_work: Duration::from_millis(own_ms),
        child_steps: child_steps.to_vec(),
    }
}

fn kind(name: &'static str, class_rank: u8, timeout_ms: u64, share: f64, root: usize) -> Kind {
    Kind {
        name,
        class_rank,
        idempotent: class_rank > 0,
        timeout: Duration::from_millis(timeout_ms),
        share,
        root,
    }
}

/// Bhadralok: a booking goes through bookings, diaries and keys.
pub(crate) fn bhadralok() -> Deployment {
    let (listings, bookings, diaries, keys) = (0, 1, 2, 3);
    Deployment {
        name: "bhadralok",
        data_centres: 4,
        data_centre_delay: Duration::from_micros(500),
        client_delay: Duration::from_millis(8),
        services: vec![
            service(5, 45, 360),
            service(4, 55, 440),
            service(4, 55, 440),
            service(4, 15, 180),
        ],
        steps: vec![
            step(listings, 80, &[]),
            step(keys, 30, &[]),
            step(diaries, 50, &[1]),
            step(listings, 40, &[]),
            step(bookings, 60, &[3, 2]),
            step(diaries, 60, &[]),
            step(keys, 40, &[]),
        ],
        kinds: vec![
            kind("booking", 0, 3000, 0.10, 4),
            kind("key-confirmation", 1, 2000, 0.15, 6),
            kind("diary-check", 1, 1500, 0.25, 5),
            kind("browsing", 2, 1000, 0.50, 0),
        ],
    }
}

/// Pases Dorados: a renewal goes through renewal, eligibility and validity.
pub(crate) fn pases_dorados() -> Deployment {
    let (validity, renewal, eligibility, branches) = (0, 1, 2, 3);
    Deployment {
        name: "pases-dorados",
        data_centres: 3,
        data_centre_delay: Duration::from_millis(1),
        client_delay: Duration::from_millis(3),
        services: vec![
            service(6, 90, 650),
            service(4, 140, 930),
            service(3, 180, 1200),
            service(3, 30, 290),
        ],
        steps: vec![
            step(validity, 100, &[]),
            step(validity, 60, &[]),
            step(eligibility, 80, &[1]),
            step(renewal, 120, &[2]),
            step(branches, 50, &[]),
        ],
        kinds: vec![
            kind("renewal", 0, 5000, 0.12, 3),
            kind("eligibility-lookup", 1, 3000, 0.18, 2),
            kind("status-lookup", 1, 3000, 0.50, 0),
            kind("branch-hours", 2, 2000, 0.20, 4),
        ],
    }
}

/// Two services with few slots, where random variation causes short queues at half load.
pub(crate) fn quickstart() -> Deployment {
    let (listings, diaries) = (0, 1);
    Deployment {
        name: "quickstart",
        data_centres: 1,
        data_centre_delay: Duration::from_micros(100),
        client_delay: Duration::from_micros(100),
        services: vec![service(2, 8, 64), service(2, 4, 32)],
        steps: vec![step(diaries, 10, &[]), step(listings, 20, &[0])],
        kinds: vec![kind("browsing", 0, 1000, 1.0, 1)],
    }
}
