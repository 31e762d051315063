//! Nodes of some data centres that follow the configuration in a store which serves, refuses or
//! does not answer each of them, in virtual time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{
    ConfigurationAction, ConfigurationSettings, ConfigurationState, PeerView, StoreCandidate,
    StoreContactSettings, StoreContactState, StoreContactView, store_watchers,
};
use hemlocktack_protocol::{Generation, StoreContact};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::document;

const STEP: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(100);
const LOCAL_DELAY: Duration = Duration::from_millis(20);
const REMOTE_DELAY: Duration = Duration::from_millis(100);
const REFUSAL_DELAY: Duration = Duration::from_millis(10);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Nodes of a data centre that watch.
const WATCHERS: usize = 2;

/// What the store does with the calls of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Treatment {
    /// It answers within this range of milliseconds.
    Serve(u64, u64),
    /// It refuses each new call; watches that are open already stay open without an answer.
    Refuse,
    /// It refuses each new read and watch, and answers probes.
    RefuseReads,
    /// It answers nothing.
    Silence,
}

pub(crate) const SERVE: Treatment = Treatment::Serve(2, 6);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Read,
    Watch,
    Probe,
}

struct Call {
    kind: Kind,
    above: Generation,
    started: Instant,
    latency: Duration,
    /// Whether the store refused it on arrival.
    is_refused: bool,
    /// Whether it arrived while the store was silent, which never answers it.
    is_lost: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Calls {
    pub(crate) reads: usize,
    pub(crate) watches: usize,
    pub(crate) probes: usize,
}

enum News {
    Contact(StoreContact),
    Generation(Generation),
}

struct Message {
    at: Instant,
    from: usize,
    to: usize,
    news: News,
}

struct Node {
    id: String,
    data_centre: usize,
    treatment: Treatment,
    configuration: ConfigurationState,
    contact: StoreContactState,
    announced: StoreContact,
    /// What other nodes said last of their access to the store.
    seen: BTreeMap<usize, StoreContact>,
    is_watcher: bool,
    calls: Vec<Call>,
    /// Start of the last read or watch.
    last_call: Instant,
    pulls: Vec<(Instant, usize)>,
    next_tick: Instant,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    stored: Generation,
    pub(crate) calls: Calls,
    rng: StdRng,
}

impl World {
    /// Starts nodes that have all caught up, and runs them for some seconds.
    pub(crate) fn start(data_centres: usize, nodes_each: usize, seed: u64) -> World {
        let now = Instant::now();
        let settings = ConfigurationSettings {
            backoff_base: Duration::from_millis(200),
            backoff_limit: Duration::from_secs(1),
            ..ConfigurationSettings::default()
        };
        let node = |number: usize| Node {
            id: format!("node-{number}"),
            data_centre: number % data_centres,
            treatment: SERVE,
            configuration: ConfigurationState::new(settings.clone(), now),
            contact: StoreContactState::new(StoreContactSettings::default(), now),
            announced: StoreContact::Unknown,
            seen: BTreeMap::new(),
            is_watcher: false,
            calls: Vec::new(),
            last_call: now,
            pulls: Vec::new(),
            next_tick: now + Duration::from_millis(number as u64 * 37 % 100),
        };
        let mut world = World {
            now,
            nodes: (0..data_centres * nodes_each).map(node).collect(),
            messages: Vec::new(),
            stored: 1,
            calls: Calls::default(),
            rng: StdRng::seed_from_u64(seed),
        };
        world.run(Duration::from_secs(5));
        assert!(world.is_in_force(), "the nodes do not start");
        world
    }

    /// Sets what the store does with the calls of a node from now on.
    pub(crate) fn treat(&mut self, node: usize, treatment: Treatment) {
        self.nodes[node].treatment = treatment;
    }

    /// Ends all open watches without an answer.
    pub(crate) fn break_watches(&mut self) {
        for node in 0..self.nodes.len() {
            let calls = std::mem::take(&mut self.nodes[node].calls);
            for call in calls {
                match call.kind {
                    Kind::Watch => self.end_call(node, &call, false),
                    _ => self.nodes[node].calls.push(call),
                }
            }
        }
    }

    pub(crate) fn treat_all(&mut self, treatment: Treatment) {
        for node in 0..self.nodes.len() {
            self.treat(node, treatment);
        }
    }

    /// Stores a change.
    pub(crate) fn change(&mut self) {
        self.stored += 1;
    }

    /// Returns the nodes that watch.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let watches = |node: &usize| self.nodes[*node].is_watcher;
        (0..self.nodes.len()).filter(watches).collect()
    }

    pub(crate) fn contact(&self, node: usize) -> StoreContact {
        self.nodes[node].contact.contact()
    }

    pub(crate) fn is_in_force(&self) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.all(|node| node.configuration.generation() == self.stored)
    }

    /// Runs until the last change is in force at all nodes; `None` if it is not within the limit.
    pub(crate) fn time_until_in_force(&mut self, limit: Duration) -> Option<Duration> {
        let start = self.now;
        while !self.is_in_force() {
            if self.now - start > limit {
                return None;
            }
            self.step();
        }
        Some(self.now - start)
    }

    /// Runs for a while and returns the calls to the store in that time.
    pub(crate) fn run(&mut self, duration: Duration) -> Calls {
        let end = self.now + duration;
        self.calls = Calls::default();
        while self.now < end {
            self.step();
        }
        self.calls
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for node in 0..self.nodes.len() {
            self.end_calls(node);
            self.end_pulls(node);
            if self.now >= self.nodes[node].next_tick {
                self.nodes[node].next_tick += TICK;
                self.tick(node);
            }
            self.announce_contact(node);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.at <= now);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            let from = self.nodes[message.from].id.clone();
            let to = &mut self.nodes[message.to];
            match message.news {
                News::Contact(contact) => {
                    to.seen.insert(message.from, contact);
                }
                News::Generation(generation) => to.configuration.peer_announced(&from, generation),
            }
        }
    }

    fn send(&mut self, from: usize, news: impl Fn() -> News) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let is_local = self.nodes[from].data_centre == self.nodes[to].data_centre;
            let delay = match is_local {
                true => LOCAL_DELAY,
                false => REMOTE_DELAY,
            };
            self.messages.push(Message {
                at: self.now + delay,
                from,
                to,
                news: news(),
            });
        }
    }

    fn announce_contact(&mut self, node: usize) {
        let contact = self.contact(node);
        if contact != self.nodes[node].announced {
            self.nodes[node].announced = contact;
            self.send(node, || News::Contact(contact));
        }
    }

    fn local(&self, node: usize) -> Vec<usize> {
        let data_centre = self.nodes[node].data_centre;
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        others
            .filter(|other| self.nodes[*other].data_centre == data_centre)
            .collect()
    }

    fn tick(&mut self, node: usize) {
        let local = self.local(node);
        let seen = |other: usize| {
            let seen = self.nodes[node].seen.get(&other);
            seen.copied().unwrap_or(StoreContact::Unknown)
        };
        let candidate = |(other, contact): (usize, StoreContact)| StoreCandidate {
            node_id: self.nodes[other].id.as_str(),
            contact,
        };
        let others = local.iter().map(|other| (*other, seen(*other)));
        let all = others.chain([(node, self.contact(node))]).map(candidate);
        let is_watcher = store_watchers(all, WATCHERS).contains(&self.nodes[node].id.as_str());
        let contact_view = StoreContactView {
            is_active: is_watcher,
            local_nodes: local.len() + 1,
            are_others_served: local
                .iter()
                .filter(|other| seen(**other) == StoreContact::Served)
                .count()
                >= WATCHERS,
        };
        let view = PeerView {
            ready: Vec::new(),
            is_watcher,
        };
        self.nodes[node].is_watcher = is_watcher;
        let now = self.now;
        let actions = self.nodes[node]
            .configuration
            .tick(now, &view, &mut self.rng);
        self.perform(node, actions);
        let contact = &mut self.nodes[node].contact;
        if contact.tick(now, &contact_view, &mut self.rng) {
            self.start_call(node, Kind::Probe, 0);
        }
        self.end_refused_watch(node);
    }

    fn end_refused_watch(&mut self, node: usize) {
        let is_refused = self.contact(node) == StoreContact::Refused;
        let node = &mut self.nodes[node];
        let is_watch = |call: &Call| call.kind == Kind::Watch;
        if is_refused && node.calls.iter().any(is_watch) {
            node.calls.retain(|call| !is_watch(call));
            node.configuration.platform_failed(self.now, &mut self.rng);
        }
    }

    fn perform(&mut self, node: usize, actions: Vec<ConfigurationAction>) {
        for action in actions {
            match action {
                ConfigurationAction::ReadPlatform { above, wait } => {
                    let kind = match wait {
                        true => Kind::Watch,
                        false => Kind::Read,
                    };
                    let calls = &mut self.nodes[node].calls;
                    calls.retain(|call| call.kind != Kind::Watch);
                    if kind == Kind::Read {
                        self.nodes[node].contact.asked(self.now);
                    }
                    self.start_call(node, kind, above);
                }
                ConfigurationAction::Pull { node_id, .. } => {
                    let peer = self.nodes.iter().position(|peer| peer.id == node_id);
                    let at = self.now + LOCAL_DELAY;
                    self.nodes[node].pulls.push((at, peer.unwrap()));
                }
                ConfigurationAction::Install { document } => {
                    self.send(node, || News::Generation(document.generation));
                }
                _ => {}
            }
        }
    }

    fn start_call(&mut self, node: usize, kind: Kind, above: Generation) {
        match kind {
            Kind::Read => self.calls.reads += 1,
            Kind::Watch => self.calls.watches += 1,
            Kind::Probe => self.calls.probes += 1,
        }
        if kind != Kind::Probe {
            self.nodes[node].last_call = self.now;
        }
        let treatment = self.nodes[node].treatment;
        let latency = match treatment {
            Treatment::Serve(least, most) => self.rng.random_range(least..=most),
            _ => 0,
        };
        self.nodes[node].calls.push(Call {
            kind,
            above,
            started: self.now,
            latency: Duration::from_millis(latency),
            is_refused: match treatment {
                Treatment::Refuse => true,
                Treatment::RefuseReads => kind != Kind::Probe,
                Treatment::Serve(..) | Treatment::Silence => false,
            },
            is_lost: treatment == Treatment::Silence,
        });
    }

    fn end_calls(&mut self, node: usize) {
        let calls = std::mem::take(&mut self.nodes[node].calls);
        for call in calls {
            match self.end_of(node, &call) {
                None => self.nodes[node].calls.push(call),
                Some(is_answered) => self.end_call(node, &call, is_answered),
            }
        }
    }

    /// Returns whether a call that ends now is answered; `None` if it goes on.
    fn end_of(&self, node: usize, call: &Call) -> Option<bool> {
        let age = self.now - call.started;
        let timeout = match call.kind {
            Kind::Read => READ_TIMEOUT,
            Kind::Watch => WATCH_WAIT + READ_TIMEOUT,
            Kind::Probe => PROBE_TIMEOUT,
        };
        if age >= timeout {
            return Some(false);
        }
        if call.is_refused {
            return (age >= REFUSAL_DELAY).then_some(false);
        }
        let is_served = match self.nodes[node].treatment {
            Treatment::Serve(..) => true,
            Treatment::RefuseReads => call.kind == Kind::Probe,
            Treatment::Refuse | Treatment::Silence => false,
        };
        let has_news = match call.kind {
            Kind::Watch => self.stored > call.above || age >= WATCH_WAIT,
            Kind::Read | Kind::Probe => true,
        };
        (is_served && !call.is_lost && has_news && age >= call.latency).then_some(true)
    }

    fn end_call(&mut self, node: usize, call: &Call, is_answered: bool) {
        let (now, stored) = (self.now, self.stored);
        let own = &mut self.nodes[node];
        match (is_answered, call.kind) {
            (true, Kind::Probe) => own.contact.probe_answered(now),
            (true, _) => own.contact.answered(now),
            (false, Kind::Watch) => own.contact.watch_failed(now),
            (false, Kind::Probe) => own.contact.probe_failed(now, call.started, &mut self.rng),
            (false, _) => own.contact.failed(now, call.started, &mut self.rng),
        }
        if call.kind == Kind::Probe {
            return;
        }
        if !is_answered && call.started < own.last_call {
            return;
        }
        if !is_answered {
            own.configuration.platform_failed(now, &mut self.rng);
            return;
        }
        let view = PeerView {
            ready: Vec::new(),
            is_watcher: own.is_watcher,
        };
        let found = (stored > call.above).then(|| document(stored));
        let actions = own
            .configuration
            .platform_answered(now, found, &view, &mut self.rng);
        self.perform(node, actions);
    }

    fn end_pulls(&mut self, node: usize) {
        let now = self.now;
        let pulls = std::mem::take(&mut self.nodes[node].pulls);
        let (due, later) = pulls.into_iter().partition(|(at, _)| *at <= now);
        self.nodes[node].pulls = later;
        let due: Vec<(Instant, usize)> = due;
        for (_, peer) in due {
            let (id, found) = {
                let peer = &self.nodes[peer];
                (peer.id.clone(), peer.configuration.current().cloned())
            };
            let generation = found.as_ref().map_or(0, |found| found.generation);
            let own = &mut self.nodes[node].configuration;
            let actions = own.peer_answered(now, &id, generation, found);
            self.perform(node, actions);
        }
    }
}
