//! A fleet of state machines in virtual time, with a network and a platform
//! between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{ConfigurationAction, ConfigurationSettings};
use hemlocktack_fleet::drain::{Announcement, DrainSettings, LifeAction};
use hemlocktack_fleet::membership::{Action, MembershipSettings};
use hemlocktack_protocol::{ConfigurationDocument, Generation, Gossip, Incarnation, NodeState};
use prost::Message;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

use crate::checks::{Checks, LEAVING_LIMIT};
use crate::network::Network;
use crate::node::{Process, Slot};
use crate::platform::{Platform, Weather};

pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(100);
const SEED_COUNT: usize = 3;
const RESEED_TICKS: u64 = 300;
const ANNOUNCE_TICKS: u64 = 10;

/// Settings of all machines in a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Settings {
    /// Of membership.
    pub(crate) membership: MembershipSettings,
    /// Of configuration.
    pub(crate) configuration: ConfigurationSettings,
    /// Of the life of nodes.
    pub(crate) drain: DrainSettings,
}

/// What happens next to one process.
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

/// The whole run.
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
    /// Events that the process at work has caused.
    outbox: Vec<(usize, Duration, Event)>,
    trace: VecDeque<String>,
}

impl World {
    /// Starts a fleet; `seed` decides everything.
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

    /// Notes a line for the trace of a violation.
    pub(crate) fn note(&mut self, line: String) {
        const TRACE_LINES: usize = 200;
        if self.trace.len() == TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:>9.3?} {line}", self.now));
    }

    /// The last lines of what happened.
    pub(crate) fn trace(&self) -> impl Iterator<Item = &String> {
        self.trace.iter()
    }

    pub(crate) fn start(&mut self, number: usize) {
        let floor = self.checks.settled;
        let (now, instant) = (self.now, self.instant());
        let slot = &mut self.slots[number];
        slot.start(&self.settings, now, instant, floor, &mut self.rng);
        slot.frozen_until = Duration::ZERO;
        self.reseed(number);
        self.schedule(number, Duration::ZERO, Event::Tick(0));
        self.note(format!("start {number}"));
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

    /// Runs all events until `end`, checking as time passes.
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
                self.note("a cut ends".to_owned());
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
        let cut_off = has_left.then_some(process.in_flight);
        if has_left {
            let slot = &mut self.slots[number];
            let could_tell = self.now.saturating_sub(slot.disturbed) >= LEAVING_LIMIT;
            slot.left = could_tell.then_some((process.incarnation, self.now));
        } else {
            self.slots[number].process = Some(process);
        }
        self.send_outbox();
        if let Some(cut_off) = cut_off {
            self.slots[number].disturbed = self.now;
            if cut_off > 0 {
                return Err(format!("planned stop of {number} cuts off {cut_off} calls"));
            }
            self.note(format!("left {number}"));
        }
        outcome.map(|_| ())
    }

    /// Feeds one event to a process; whether the process has left.
    fn step(
        &mut self,
        number: usize,
        process: &mut Process,
        event: Event,
        instant: Instant,
    ) -> Result<bool, String> {
        match event {
            Event::Tick(count) => return self.tick(number, process, count, instant),
            Event::Datagram { from, gossip } => {
                let actions = process
                    .membership
                    .receive(instant, from, *gossip, &mut self.rng);
                self.act(number, process, actions);
            }
            Event::PullRequest { from, above } => self.answer_pull(number, process, from, above),
            Event::PullAnswer {
                from,
                in_force,
                document,
            } => {
                let actions = process
                    .in_force
                    .peer_answered(instant, &from, in_force, document);
                self.configure(number, process, actions)?;
            }
            Event::PullFailed { from } => {
                process.in_force.peer_failed(instant, &from, &mut self.rng);
            }
            Event::PlatformAnswer(document) => {
                let view = process.peers_view(self.settings.configuration.watchers_per_data_centre);
                let rng = &mut self.rng;
                let actions = process
                    .in_force
                    .platform_answered(instant, document, &view, rng);
                self.configure(number, process, actions)?;
            }
            Event::PlatformFailed => process.in_force.platform_failed(instant, &mut self.rng),
            Event::Stored(document) => {
                let actions = process.in_force.stored_here(document);
                self.configure(number, process, actions)?;
            }
            Event::Write {
                expected,
                change_id,
            } => self.write(number, expected, change_id),
        }
        Ok(false)
    }

    fn tick(
        &mut self,
        number: usize,
        process: &mut Process,
        count: u64,
        instant: Instant,
    ) -> Result<bool, String> {
        let next = Event::Tick(count + 1);
        self.follow(number, TICK_PERIOD, next);
        if count % RESEED_TICKS == RESEED_TICKS - 1 && self.platform.weather == Weather::Fine {
            let others = self.slots.iter().map(|slot| slot.address);
            process
                .membership
                .set_seeds(others.sample(&mut self.rng, SEED_COUNT));
        }
        let actions = process.membership.tick(instant, &mut self.rng);
        self.act(number, process, actions);
        let view = process.peers_view(self.settings.configuration.watchers_per_data_centre);
        let actions = process.in_force.tick(instant, &view, &mut self.rng);
        self.configure(number, process, actions)?;
        if count.is_multiple_of(ANNOUNCE_TICKS) {
            let announcement = Announcement {
                address: process.upstream_address,
                slots: 45,
                is_cold: false,
                is_other_start: false,
            };
            let actions = process.life.announce(instant, announcement);
            self.live(number, process, &actions);
        }
        process.in_flight = process.in_flight.saturating_sub(1);
        let mut actions = process.life.check_upstream(instant);
        actions.append(&mut process.life.check_stop(instant, process.in_flight));
        Ok(self.live(number, process, &actions))
    }

    /// Lets something happen to a running process's life.
    pub(crate) fn with_life(
        &mut self,
        number: usize,
        change: impl FnOnce(&mut Process, Instant) -> Vec<LifeAction>,
    ) {
        let instant = self.instant();
        let Some(mut process) = self.slots[number].process.take() else {
            return;
        };
        let actions = change(&mut process, instant);
        self.live(number, &mut process, &actions);
        self.slots[number].process = Some(process);
        self.send_outbox();
    }

    fn send_outbox(&mut self) {
        for (to, delay, event) in std::mem::take(&mut self.outbox) {
            self.schedule(to, delay, event);
        }
    }

    pub(crate) fn follow(&mut self, to: usize, delay: Duration, event: Event) {
        self.outbox.push((to, delay, event));
    }

    fn act(&mut self, number: usize, process: &mut Process, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, gossip } => self.send(number, to, gossip),
                Action::GenerationHeard {
                    node_id,
                    generation,
                } => {
                    process.in_force.hear(&node_id, generation);
                }
                Action::Superseded { .. } => {
                    let actions = process.life.drain(self.instant());
                    self.live(number, process, &actions);
                }
                Action::MembersChanged | Action::SuspectsHeard { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, gossip: Box<Gossip>) {
        const IP_AND_UDP_BYTES: usize = 28;
        let membership = &self.settings.membership;
        let length = gossip.encoded_len() + membership.mac_bytes;
        assert!(
            length <= membership.datagram_limit_bytes,
            "datagram of {length} bytes"
        );
        self.bytes_sent += (length + IP_AND_UDP_BYTES) as u64;
        let Some(target) = self.slots.iter().position(|slot| slot.address == to) else {
            return;
        };
        let address = self.slots[from].address;
        for delay in self.network.deliveries(from, target, &mut self.rng) {
            let gossip = gossip.clone();
            let event = Event::Datagram {
                from: address,
                gossip,
            };
            self.follow(target, delay, event);
        }
    }

    fn configure(
        &mut self,
        number: usize,
        process: &mut Process,
        actions: Vec<ConfigurationAction>,
    ) -> Result<(), String> {
        for action in actions {
            match action {
                ConfigurationAction::AskPlatform { above, wait } => {
                    self.ask_platform(number, above, wait);
                }
                ConfigurationAction::Pull { node_id, above } => {
                    self.pull(number, node_id, above);
                }
                ConfigurationAction::Install { document } => {
                    self.checks
                        .installed(number, process, document.generation)?;
                    let generation = document.generation;
                    self.note(format!("{number} installs {generation}"));
                    let actions = process.membership.set_generation(generation, &mut self.rng);
                    self.act(number, process, actions);
                }
                ConfigurationAction::ReportUnreadable { generation } => {
                    return Err(format!("{number} cannot read {generation}"));
                }
                ConfigurationAction::CaughtUp => {
                    self.note(format!("{number} caught up"));
                    self.checks
                        .caught_up(number, process, &self.slots[number])?;
                    let actions = process.life.caught_up();
                    self.live(number, process, &actions);
                }
            }
        }
        Ok(())
    }

    fn live(&mut self, number: usize, process: &mut Process, actions: &[LifeAction]) -> bool {
        for action in actions {
            match action {
                LifeAction::Publish(publication) => {
                    self.note(format!("{number} publishes {:?}", publication.state));
                    let actions = process.membership.update_own(*publication, &mut self.rng);
                    self.act(number, process, actions);
                }
                LifeAction::HandOver => {
                    let actions = process.life.handed_over();
                    return self.live(number, process, &actions);
                }
                LifeAction::ReportOverrun { .. } => {}
                LifeAction::Leave => return true,
            }
        }
        let is_leaving =
            process.life.state() != NodeState::Starting && !process.life.takes_new_work();
        if !is_leaving {
            process.leaving_since = None;
        } else if process.leaving_since.is_none() {
            process.leaving_since = Some(self.now);
        }
        false
    }
}
