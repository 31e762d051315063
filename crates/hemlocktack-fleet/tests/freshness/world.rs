//! A fleet in virtual time that asks a store, and each other, for proofs.

use std::time::Duration;

use hemlocktack_fleet::freshness::{
    FreshnessAction, FreshnessProof, FreshnessSafeguard, FreshnessSettings, FreshnessSources,
    FreshnessState,
};
use hemlocktack_protocol::{BootTime, FreshnessReport, Generation};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::support::{Agenda, MS, Micros, SECOND};

const END: Micros = 25 * SECOND;
const TICK: Micros = 50 * MS;
/// What operators are promised.
const REVOCATION_BOUND: Micros = 5 * SECOND;
const ADMIT_WITHIN: Duration = Duration::from_millis(4_900);
const OUTAGE: (Micros, Micros) = (10 * SECOND, 14 * SECOND);

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    StoreOutage,
    All,
}

#[derive(Clone)]
struct Question {
    node: usize,
    start: u64,
    action: FreshnessAction,
    asked_at: BootTime,
}

enum Event {
    Tick { node: usize },
    AtStore { question: Question },
    AtPeer { question: Question, peer: usize },
    Answer { question: Question, answer: Answer },
    Failed { question: Question },
    Change,
    Disturb,
    Heal { node: usize },
    Wake { node: usize },
}

enum Answer {
    Store {
        generation: Generation,
    },
    Peer {
        generation: Generation,
        report: Option<FreshnessReport>,
    },
}

struct Node {
    start: u64,
    clock: Micros,
    /// Time for which the node's machine was suspended.
    suspended: Micros,
    is_frozen: bool,
    is_suspended: bool,
    frozen_at: Micros,
    held: Vec<Event>,
    reaches_store: bool,
    side: u8,
    generation: Generation,
    state: FreshnessState,
}

/// The fleet, and the admissions that came too late.
pub(crate) struct World {
    rng: StdRng,
    trouble: Trouble,
    disabled: Option<FreshnessSafeguard>,
    settings: FreshnessSettings,
    agenda: Agenda<Event>,
    nodes: Vec<Node>,
    /// When each generation was acknowledged; each takes a key away that the one before had.
    changes: Vec<Micros>,
    late: Option<(Micros, usize)>,
    asked: u64,
    refused: u64,
    store_calls: u64,
    peer_calls: u64,
}

impl World {
    pub(crate) fn new(
        seed: u64,
        nodes: usize,
        trouble: Trouble,
        disabled: Option<FreshnessSafeguard>,
    ) -> World {
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            trouble,
            disabled,
            settings: FreshnessSettings::default(),
            agenda: Agenda::new(),
            nodes: Vec::new(),
            changes: vec![0],
            late: None,
            asked: 0,
            refused: 0,
            store_calls: 0,
            peer_calls: 0,
        };
        for node in 0..nodes {
            let clock = world.rng.random_range(0..1_000 * SECOND);
            let state = FreshnessState::new(world.settings, BootTime::from_micros(clock));
            world.nodes.push(Node {
                start: 0,
                clock,
                suspended: 0,
                is_frozen: false,
                is_suspended: false,
                frozen_at: 0,
                held: Vec::new(),
                reaches_store: true,
                side: 0,
                generation: 1,
                state,
            });
            let first = world.rng.random_range(0..TICK);
            world.agenda.at(first, Event::Tick { node });
        }
        if trouble == Trouble::All {
            world.agenda.at(2 * SECOND, Event::Disturb);
            world.agenda.at(SECOND, Event::Change);
        }
        world
    }

    /// Replaces the settings of all nodes.
    pub(crate) fn ask_with(&mut self, settings: FreshnessSettings) {
        self.settings = settings;
        for node in &mut self.nodes {
            node.state = FreshnessState::new(settings, BootTime::from_micros(node.clock));
        }
    }

    pub(crate) fn run(&mut self) {
        while let Some(event) = self.agenda.next(END) {
            self.handle(event);
        }
    }

    /// Returns the time and the node of the first admission after the bound.
    pub(crate) fn first_late_admission(&self) -> Option<(Micros, usize)> {
        self.late
    }

    /// Returns the requests with keys, and those that were refused for lack of a proof.
    pub(crate) fn requests_without_proof(&self) -> (u64, u64) {
        (self.asked, self.refused)
    }

    /// Returns the calls to the store and between nodes, for people.
    pub(crate) fn cost(&self) -> String {
        let seconds = END as f64 / SECOND as f64;
        let store = self.store_calls_per_s();
        let peers = self.peer_calls as f64 / seconds / self.nodes.len() as f64;
        format!("{store:.1} store calls a second, {peers:.2} questions a second and node")
    }

    pub(crate) fn store_calls_per_s(&self) -> f64 {
        self.store_calls as f64 / (END as f64 / SECOND as f64)
    }

    fn after(&mut self, delay: Micros, event: Event) {
        self.agenda.after(delay, event);
    }

    fn delay(&mut self) -> Micros {
        let is_long = self.trouble == Trouble::All && self.rng.random_bool(0.05);
        let longest = if is_long { 3 * SECOND } else { 4 * MS };
        self.rng.random_range(200..longest)
    }

    /// Returns the time of a node's clock, which has to count while its machine is suspended.
    fn local(&self, node: usize) -> BootTime {
        let state = &self.nodes[node];
        let missing = match self.is_disabled(FreshnessSafeguard::SuspendedTime) {
            true => state.suspended,
            false => 0,
        };
        BootTime::from_micros((self.agenda.now() + state.clock).saturating_sub(missing))
    }

    fn is_disabled(&self, safeguard: FreshnessSafeguard) -> bool {
        self.disabled == Some(safeguard)
    }

    fn place_of(event: &Event) -> Option<usize> {
        match event {
            Event::Tick { node } => Some(*node),
            Event::AtPeer { peer, .. } => Some(*peer),
            Event::Answer { question, .. } | Event::Failed { question } => Some(question.node),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(place) = World::place_of(&event)
            && self.nodes[place].is_frozen
        {
            return self.nodes[place].held.push(event);
        }
        match event {
            Event::Tick { node } => self.tick(node),
            Event::AtStore { question } => self.at_store(question),
            Event::AtPeer { question, peer } => self.at_peer(question, peer),
            Event::Answer { question, answer } => self.answered(&question, &answer),
            Event::Failed { question } => {
                let state = &mut self.nodes[question.node];
                if state.start == question.start {
                    state.state.failed(&question.action);
                }
            }
            Event::Change => self.change(),
            Event::Disturb => self.disturb(),
            Event::Heal { node } => {
                self.nodes[node].reaches_store = true;
                self.nodes[node].side = 0;
            }
            Event::Wake { node } => self.wake(node),
        }
    }

    /// A node asks what is due, and a request with the oldest key that it knows comes in.
    fn tick(&mut self, node: usize) {
        self.after(TICK, Event::Tick { node });
        self.admit(node);
        let now = self.local(node);
        let sources = self.sources(node);
        let state = &mut self.nodes[node].state;
        let actions = state.tick(now, || sources, &mut self.rng);
        for action in actions {
            self.ask(node, action, now);
        }
    }

    fn sources(&self, node: usize) -> FreshnessSources {
        let count = self.nodes.len().div_ceil(self.settings.nodes_per_source);
        let count = count.max(self.settings.min_sources);
        let id = |node: usize| node.to_string();
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        FreshnessSources {
            is_source: node < count,
            local_sources: others
                .clone()
                .filter(|other| *other < count)
                .map(id)
                .collect(),
            others: others.map(id).collect(),
        }
    }

    fn ask(&mut self, node: usize, action: FreshnessAction, asked_at: BootTime) {
        let question = Question {
            node,
            start: self.nodes[node].start,
            action,
            asked_at,
        };
        let timeout = self.settings.ask_timeout.as_micros() as Micros;
        let delay = self.delay();
        match &question.action {
            FreshnessAction::AskStore => {
                self.store_calls += 1;
                match self.nodes[node].reaches_store && !self.is_out() {
                    true => self.after(delay, Event::AtStore { question }),
                    false => self.after(timeout, Event::Failed { question }),
                }
            }
            FreshnessAction::AskPeer { node_id } => {
                self.peer_calls += 1;
                let peer: usize = node_id.parse().unwrap();
                match self.nodes[node].side == self.nodes[peer].side {
                    true => self.after(delay, Event::AtPeer { question, peer }),
                    false => self.after(timeout, Event::Failed { question }),
                }
            }
        }
    }

    fn is_out(&self) -> bool {
        self.trouble == Trouble::StoreOutage && (OUTAGE.0..OUTAGE.1).contains(&self.agenda.now())
    }

    fn at_store(&mut self, question: Question) {
        let answer = Answer::Store {
            generation: self.changes.len() as Generation,
        };
        let delay = self.delay();
        self.after(delay, Event::Answer { question, answer });
    }

    fn at_peer(&mut self, question: Question, peer: usize) {
        let now = self.local(peer);
        let proof = self.nodes[peer].state.proof();
        let report = proof.map(|proof| {
            let report = proof.report(true, now);
            match self.is_disabled(FreshnessSafeguard::ReportedAge) {
                true => FreshnessReport {
                    age_us: 0,
                    ..report
                },
                false => report,
            }
        });
        let answer = Answer::Peer {
            generation: self.nodes[peer].generation,
            report,
        };
        let delay = self.delay();
        self.after(delay, Event::Answer { question, answer });
    }

    fn answered(&mut self, question: &Question, answer: &Answer) {
        let node = question.node;
        if self.nodes[node].start != question.start {
            return;
        }
        let asked_at = match self.is_disabled(FreshnessSafeguard::DatedByQuestion) {
            true => self.local(node),
            false => question.asked_at,
        };
        let (generation, proof) = match answer {
            Answer::Store { generation } => {
                let proof = FreshnessProof {
                    generation: *generation,
                    proven_at: asked_at,
                    recorded_nodes: 1,
                    is_recorded: true,
                };
                (*generation, Some(proof))
            }
            Answer::Peer { generation, report } => {
                let proof = report.map(|report| FreshnessProof::from_report(&report, asked_at));
                (*generation, proof)
            }
        };
        // In a third of the cases the proof is there before the configuration is active.
        let is_late = self.trouble == Trouble::All && self.rng.random_bool(0.3);
        let state = &mut self.nodes[node];
        if !is_late {
            state.generation = state.generation.max(generation);
        }
        match proof {
            Some(proof) => drop(state.state.answered(proof)),
            None => state.state.failed(&question.action),
        }
    }

    /// Admits a request by the key that the next generation takes away, if there is one.
    fn admit(&mut self, node: usize) {
        let now = self.local(node);
        let state = &self.nodes[node];
        let is_active = |proof: &FreshnessProof| {
            proof.generation <= state.generation
                || self.is_disabled(FreshnessSafeguard::ProofOfActiveGeneration)
        };
        let proof = state.state.proof().filter(is_active);
        let is_recent = |proof: FreshnessProof| {
            proof.age(now) <= ADMIT_WITHIN || self.is_disabled(FreshnessSafeguard::Expiry)
        };
        let is_admitted = proof.is_some_and(is_recent);
        if self.agenda.now() > 2 * SECOND {
            self.asked += 1;
            self.refused += u64::from(!is_admitted);
        }
        let removed_at = self.changes.get(state.generation as usize);
        let is_late = removed_at.is_some_and(|at| self.agenda.now() > at + REVOCATION_BOUND);
        if is_admitted && is_late && self.late.is_none() {
            self.late = Some((self.agenda.now(), node));
        }
    }

    fn change(&mut self) {
        self.changes.push(self.agenda.now());
        let pause = self.rng.random_range(500 * MS..4 * SECOND);
        self.after(pause, Event::Change);
    }

    fn disturb(&mut self) {
        let pause = self.rng.random_range(200 * MS..SECOND);
        self.after(pause, Event::Disturb);
        let node = self.rng.random_range(0..self.nodes.len());
        let length = self.rng.random_range(200 * MS..9 * SECOND);
        match self.rng.random_range(0..5) {
            0 => self.freeze(node, length, false),
            1 => self.freeze(node, length, true),
            2 => self.restart(node),
            3 => self.cut(length),
            _ => {
                self.nodes[node].reaches_store = false;
                self.nodes[node].side = 2;
                self.after(length, Event::Heal { node });
            }
        }
    }

    fn freeze(&mut self, node: usize, length: Micros, is_suspended: bool) {
        let now = self.agenda.now();
        let state = &mut self.nodes[node];
        if !state.is_frozen {
            state.is_frozen = true;
            state.is_suspended = is_suspended;
            state.frozen_at = now;
            self.after(length, Event::Wake { node });
        }
    }

    fn wake(&mut self, node: usize) {
        let now = self.agenda.now();
        let state = &mut self.nodes[node];
        state.is_frozen = false;
        if state.is_suspended {
            state.suspended += now - state.frozen_at;
        }
        for event in std::mem::take(&mut state.held) {
            self.after(0, event);
        }
    }

    fn restart(&mut self, node: usize) {
        if self.nodes[node].is_frozen {
            return;
        }
        let now = self.local(node);
        let state = &mut self.nodes[node];
        state.start += 1;
        state.generation = 1;
        state.state = FreshnessState::new(self.settings, now);
    }

    /// Cuts the fleet into two sides, one of which loses the store.
    fn cut(&mut self, length: Micros) {
        for node in 0..self.nodes.len() {
            if self.rng.random_bool(0.5) {
                self.nodes[node].side = 1;
                self.nodes[node].reaches_store = false;
                self.after(length, Event::Heal { node });
            }
        }
    }
}
