//! A fleet of node state machines in virtual time, with a simulated network and platform.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::ConfigurationSettings;
use hemlocktack_fleet::drain::{DrainSettings, LifecycleAction};
use hemlocktack_fleet::membership::MembershipSettings;
use hemlocktack_protocol::{ConfigurationDocument, Generation, Gossip, Incarnation};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

use crate::checks::{Checks, LEAVING_LIMIT};
use crate::network::Network;
use crate::node::{Process, Slot};
use crate::platform::Platform;

pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(100);
pub(crate) const SEED_COUNT: usize = 3;

/// Settings of the state machines in a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Settings {
    pub(crate) membership: MembershipSettings,
    pub(crate) configuration: ConfigurationSettings,
    pub(crate) drain: DrainSettings,
}

/// Event at one process.
pub(crate) enum Event {
    Tick(u64),
    Datagram {
        from: SocketAddr,
        gossip: Box<Gossip>,
    },
    PullRequest {
        from: usize,
        above: Generation,
    },
    PullAnswer {
        from: String,
        in_force: Generation,
        document: Option<ConfigurationDocument>,
    },
    PullFailed {
        from: String,
    },
    PlatformAnswer(Option<ConfigurationDocument>),
    PlatformFailed,
    Stored(ConfigurationDocument),
    Write {
        expected: Generation,
        change_id: String,
    },
}

struct Scheduled {
    to: usize,
    incarnation: Incarnation,
    event: Event,
}

/// State of a run.
pub(crate) struct World {
    pub(crate) settings: Settings,
    pub(crate) rng: StdRng,
    pub(crate) now: Duration,
    base: Instant,
    pub(crate) slots: Vec<Slot>,
    pub(crate) network: Network,
    pub(crate) platform: Platform,
    pub(crate) checks: Checks,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    sequence: u64,
    pub(crate) bytes_sent: u64,
    /// Events caused by the process that handles an event; scheduled once it is back in its slot.
    outbox: Vec<(usize, Duration, Event)>,
    trace: VecDeque<String>,
}

impl World {
    /// Starts a fleet whose run is determined by `seed` alone.
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(5..12);
        let data_centres = rng.random_range(2..4);
        let slot = |number| Slot::new(number, number % data_centres, number % data_centres % 2);
        let mut world = Self {
            settings,
            rng,
            now: Duration::ZERO,
            base: Instant::now(),
            slots: (0..count).map(slot).collect(),
            network: Network::default(),
            platform: Platform::new(),
            checks: Checks::default(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            bytes_sent: 0,
            outbox: Vec::new(),
            trace: VecDeque::new(),
        };
        for number in 0..count {
            world.start(number);
        }
        world
    }

    pub(crate) fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Adds a line to the trace that is reported with a violation.
    pub(crate) fn note(&mut self, line: String) {
        const TRACE_LINES: usize = 200;
        if self.trace.len() == TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:>9.3?} {line}", self.now));
    }

    /// Returns the last lines of the trace.
    pub(crate) fn trace(&self) -> impl Iterator<Item = &String> {
        self.trace.iter()
    }

    pub(crate) fn start(&mut self, number: usize) {
        let min_generation = self.checks.common_generation;
        let (now, instant) = (self.now, self.instant());
        let slot = &mut self.slots[number];
        slot.start(&self.settings, now, instant, min_generation, &mut self.rng);
        slot.frozen_until = Duration::ZERO;
        self.reseed(number);
        self.schedule(number, Duration::ZERO, Event::Tick(0));
        self.note(format!("node {number} starts"));
    }

    fn reseed(&mut self, number: usize) {
        let others = self.slots.iter().map(|slot| slot.address);
        let seeds = others.sample(&mut self.rng, SEED_COUNT);
        if let Some(process) = &mut self.slots[number].process {
            process.membership.set_seeds(seeds);
        }
    }

    pub(crate) fn schedule(&mut self, to: usize, delay: Duration, event: Event) {
        let Some(process) = &self.slots[to].process else {
            return;
        };
        let incarnation = process.incarnation;
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        let scheduled = Scheduled {
            to,
            incarnation,
            event,
        };
        self.scheduled.insert(self.sequence, scheduled);
    }

    /// Handles all events until `end` and runs the periodic checks.
    pub(crate) fn run_until(&mut self, end: Duration) -> Result<(), String> {
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let Some(scheduled) = self.scheduled.remove(&sequence) else {
                continue;
            };
            if self.network.expire(at) {
                self.note("a network partition ends".to_owned());
            }
            self.platform.expire(at);
            self.check_if_due()?;
            self.deliver(scheduled)?;
        }
        self.now = end;
        Ok(())
    }

    fn deliver(&mut self, scheduled: Scheduled) -> Result<(), String> {
        let slot = &self.slots[scheduled.to];
        let running = slot.process.as_ref().map(|process| process.incarnation);
        let is_datagram = matches!(scheduled.event, Event::Datagram { .. });
        if !is_datagram && running != Some(scheduled.incarnation) {
            return Ok(());
        }
        if slot.is_frozen(self.now) {
            let wait = slot.frozen_until - self.now + Duration::from_millis(1);
            self.schedule(scheduled.to, wait, scheduled.event);
            return Ok(());
        }
        self.handle(scheduled.to, scheduled.event)
    }

    fn handle(&mut self, number: usize, event: Event) -> Result<(), String> {
        let instant = self.instant();
        let Some(mut process) = self.slots[number].process.take() else {
            return Ok(());
        };
        let outcome = self.step(number, &mut process, event, instant);
        let has_left = matches!(outcome, Ok(true));
        let interrupted = has_left.then_some(process.in_flight);
        if has_left {
            let slot = &mut self.slots[number];
            let could_announce = self.now.saturating_sub(slot.disturbed_at) >= LEAVING_LIMIT;
            slot.left = could_announce.then_some((process.incarnation, self.now));
        } else {
            self.slots[number].process = Some(process);
        }
        self.send_outbox();
        if let Some(interrupted) = interrupted {
            self.slots[number].disturbed_at = self.now;
            if interrupted > 0 {
                return Err(format!(
                    "planned stop of node {number} interrupts {interrupted} calls"
                ));
            }
            self.note(format!("node {number} left"));
        }
        outcome.map(|_| ())
    }

    /// Changes the lifecycle of a running process and carries out the resulting actions.
    pub(crate) fn with_lifecycle(
        &mut self,
        number: usize,
        change: impl FnOnce(&mut Process, Instant) -> Vec<LifecycleAction>,
    ) {
        let instant = self.instant();
        let Some(mut process) = self.slots[number].process.take() else {
            return;
        };
        let actions = change(&mut process, instant);
        self.apply_lifecycle_actions(number, &mut process, &actions);
        self.slots[number].process = Some(process);
        self.send_outbox();
    }

    fn send_outbox(&mut self) {
        for (to, delay, event) in std::mem::take(&mut self.outbox) {
            self.schedule(to, delay, event);
        }
    }

    pub(crate) fn push_to_outbox(&mut self, to: usize, delay: Duration, event: Event) {
        self.outbox.push((to, delay, event));
    }
}
