//! The simulation of one run: its state, its events and the event loop.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionPolicy, ChainEdges, EdgeRetryBudget, EntryShedPolicy, EntryShedder,
    PeerLoad, PlacementPolicy, RetryPolicy,
};
use hemlocktack_protocol::{LoadHint, UpstreamState};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::arena::{Arena, Call, CallEnd, CallKey, RequestKey};
use super::deployment::Deployment;
use super::outcome::{BIN, Outcomes};
use super::scenario::{Policy, Scenario};
use super::upstream::Upstream;
use super::{capacity, faults};

/// Retries that one send of a request may use in its whole chain.
pub(crate) const ALLOWANCE: u32 = 3;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// The next request of the Poisson process arrives.
    Arrival,
    /// A caller sends a request, possibly again.
    Send(RequestKey),
    /// A root call reaches its entry node.
    AtEntry(CallKey),
    /// A send of a call reaches the node beside its upstream.
    AtUpstream(CallKey, u32),
    /// A phase of work in the upstream ends.
    WorkDone(CallKey, u32),
    /// The outcome of a call reaches the node that made it; index into `replies`.
    Reply(CallKey, usize),
    /// The node that made a call checks whether its peer has gone silent.
    CheckSilence(CallKey, u32),
    /// A caller's timeout for one send expires.
    CallerTimeout(RequestKey, u32),
    /// An answer or a failure reaches the caller.
    AtCaller(RequestKey, u32, bool, bool),
    /// `take_decisions` is due at a node.
    Wake(usize),
    /// Start and end of the fault.
    FaultBegins,
    FaultEnds,
    /// A crashed or stopped upstream returns, cold.
    Back(usize),
    /// The load endpoints are read.
    Reports,
    /// The crashing request is sent again.
    CrashingSend,
    /// Membership starts or stops suspecting the frozen nodes.
    Suspicion(bool),
    /// The queues are sampled.
    Sample,
}

/// One upstream with the node beside it.
pub(crate) struct Node {
    pub(crate) upstream: Upstream,
    pub(crate) admission: Admission,
    /// Queued calls under the static policy.
    pub(crate) fifo: std::collections::VecDeque<CallKey>,
    pub(crate) shedders: Vec<EntryShedder>,
    /// Peers of each service, as seen from this node.
    pub(crate) peers: Vec<Vec<Arc<PeerLoad>>>,
    pub(crate) edges: ChainEdges,
    pub(crate) budgets: Vec<EdgeRetryBudget>,
    pub(crate) wake_at: Option<Duration>,
}

pub(crate) struct Reply {
    pub(crate) end: CallEnd,
    pub(crate) hint: LoadHint,
    pub(crate) unspent: u32,
}

pub(crate) struct Simulation<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) scenario: &'a Scenario,
    pub(crate) policy: Policy,
    pub(crate) placement: PlacementPolicy,
    /// Random numbers for callers and service times.
    pub(crate) rng: SmallRng,
    /// Random numbers for the demand alone, so that every policy gets the same requests.
    pub(crate) demand_rng: SmallRng,
    pub(crate) epoch: Instant,
    pub(crate) at: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    pub(crate) arena: Arena,
    pub(crate) nodes: Vec<Node>,
    /// Nodes of each service.
    pub(crate) services: Vec<Vec<usize>>,
    pub(crate) replies: Vec<Option<Reply>>,
    pub(crate) free_replies: Vec<usize>,
    pub(crate) outcomes: Outcomes,
    /// Nodes that hang.
    pub(crate) frozen: Vec<usize>,
    saturation_rate: f64,
}

/// Runs a scenario under a policy; the same seed gives the same results.
pub(crate) fn run(
    deployment: &Deployment,
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
) -> Outcomes {
    let mut simulation = Simulation::new(deployment, scenario, policy, seed);
    faults::prepare(&mut simulation);
    simulation.schedule(Duration::ZERO, Event::Arrival);
    simulation.schedule(scenario.begins, Event::FaultBegins);
    simulation.schedule(scenario.ends, Event::FaultEnds);
    simulation.schedule(BIN, Event::Sample);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > scenario.lasts {
            break;
        }
        simulation.at = at;
        simulation.handle(event);
    }
    simulation.outcomes
}

impl<'a> Simulation<'a> {
    fn new(deployment: &'a Deployment, scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let epoch = Instant::now();
        let mut services = vec![Vec::new(); deployment.services.len()];
        let mut places = Vec::new();
        for (service, spec) in deployment.services.iter().enumerate() {
            for index in 0..spec.upstreams {
                services[service].push(places.len());
                places.push((service, index % deployment.data_centres));
            }
        }
        let node = |&(service, data_centre): &(usize, usize)| {
            new_node(deployment, &services, &places, service, data_centre, epoch)
        };
        Simulation {
            nodes: places.iter().map(node).collect(),
            deployment,
            scenario,
            policy,
            placement: PlacementPolicy::default(),
            rng: SmallRng::seed_from_u64(seed),
            demand_rng: SmallRng::seed_from_u64(!seed),
            epoch,
            at: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            arena: Arena::default(),
            services,
            replies: Vec::new(),
            free_replies: Vec::new(),
            outcomes: Outcomes::new(deployment.kinds.len(), scenario.lasts),
            frozen: Vec::new(),
            saturation_rate: capacity::saturation_rate(&capacity::with_long_calls(
                deployment, scenario,
            )),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.epoch + self.at
    }

    pub(crate) fn instant(&self, at: Duration) -> Instant {
        self.epoch + at
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        let entry = (self.at + after, self.sequence, event);
        self.events.push(Reverse(entry));
    }

    /// Returns whether the event is for a frozen node, which handles it when it resumes.
    fn is_held_back(&self, event: &Event) -> bool {
        let at = |call: &CallKey, node: fn(&Call) -> usize| {
            let call = self.arena.calls.get(call);
            call.is_some_and(|call| self.frozen.contains(&node(call)))
        };
        match event {
            Event::AtUpstream(call, send) => {
                let call_now = self.arena.calls.get(call);
                let is_current = call_now.is_some_and(|call| call.send == *send);
                is_current && at(call, |call| call.upstream)
            }
            Event::WorkDone(call, _) => at(call, |call| call.upstream),
            Event::AtEntry(call) | Event::Reply(call, _) | Event::CheckSilence(call, _) => {
                at(call, |call| call.from)
            }
            Event::Wake(node) => self.frozen.contains(node),
            _ => false,
        }
    }

    fn handle(&mut self, event: Event) {
        if !self.frozen.is_empty() && self.is_held_back(&event) {
            self.schedule(self.scenario.ends - self.at, event);
            return;
        }
        match event {
            Event::Arrival => self.arrival(),
            Event::Send(request) => self.send(request),
            Event::AtEntry(call) => self.make_call(call),
            Event::AtUpstream(call, send) => self.reach_upstream(call, send),
            Event::CheckSilence(call, send) => self.check_silence(call, send),
            Event::WorkDone(call, phase) => self.work_done(call, phase),
            Event::Reply(call, reply) => self.reply(call, reply),
            Event::CallerTimeout(request, attempt) => self.caller_timed_out(request, attempt),
            Event::AtCaller(request, attempt, answered, refused) => {
                self.at_caller(request, attempt, answered, refused);
            }
            Event::Wake(node) => self.wake(node),
            Event::FaultBegins => faults::begin(self),
            Event::FaultEnds => faults::end(self),
            Event::Back(node) => faults::back(self, node),
            Event::Reports => faults::report(self),
            Event::CrashingSend => faults::send_crashing(self),
            Event::Suspicion(is_suspected) => faults::suspect(self, is_suspected),
            Event::Sample => self.sample(),
        }
    }

    /// Draws the next arrival from a process at the scenario's highest rate, which is then
    /// thinned.
    fn arrival(&mut self) {
        let highest = self.scenario.pressure.max(self.scenario.calm);
        let uniform: f64 = self.demand_rng.random();
        let gap = -(1.0 - uniform).ln() / (highest * self.saturation_rate);
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
        let keep = self.scenario.demand_at(self.at) / highest;
        if !self.demand_rng.random_bool(keep) {
            return;
        }
        let kind = self.draw_kind();
        self.new_request(kind, false);
    }

    fn draw_kind(&mut self) -> usize {
        let under_pressure = self.scenario.is_under_pressure(self.at);
        let shares = self.scenario.shares.filter(|_| under_pressure);
        let mut left: f64 = self.demand_rng.random();
        for (index, kind) in self.deployment.kinds.iter().enumerate() {
            left -= shares.map_or(kind.share, |shares| shares[index]);
            if left < 0.0 {
                return index;
            }
        }
        self.deployment.kinds.len() - 1
    }

    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() * mean
    }

    /// Returns the delay of a message from one node to another.
    pub(crate) fn delay(&self, from: usize, to: usize) -> Duration {
        const SAME_DATA_CENTRE: Duration = Duration::from_micros(100);
        let data_centre = |node: usize| self.nodes[node].upstream.data_centre;
        if data_centre(from) == data_centre(to) {
            SAME_DATA_CENTRE
        } else {
            self.deployment.data_centre_delay
        }
    }

    fn sample(&mut self) {
        let waiting: usize = self
            .nodes
            .iter()
            .map(|node| {
                let inside = node.upstream.len().saturating_sub(node.upstream.slots);
                inside + node.fifo.len() + node.admission.queued()
            })
            .sum();
        let at = self.at - BIN;
        if let Some(bin) = self.outcomes.bin(at) {
            bin.waiting = waiting as u32;
        }
        self.schedule(BIN, Event::Sample);
    }
}

fn new_node(
    deployment: &Deployment,
    services: &[Vec<usize>],
    places: &[(usize, usize)],
    service: usize,
    data_centre: usize,
    epoch: Instant,
) -> Node {
    let spec = &deployment.services[service];
    let mut admission = Admission::new(AdmissionPolicy::default(), epoch);
    admission.announced(spec.slots, spec.connections, false, epoch);
    let peer = |node: &usize| {
        let is_local = places[*node].1 == data_centre;
        Arc::new(PeerLoad::new(is_local, UpstreamState::Ready, epoch))
    };
    let budget = |_| EdgeRetryBudget::new(RetryPolicy::default(), epoch);
    Node {
        upstream: Upstream::new(data_centre, spec.slots, spec.connections),
        admission,
        fifo: std::collections::VecDeque::new(),
        shedders: services
            .iter()
            .map(|nodes| EntryShedder::new(EntryShedPolicy::default(), nodes.len()))
            .collect(),
        peers: services
            .iter()
            .map(|nodes| nodes.iter().map(peer).collect())
            .collect(),
        edges: ChainEdges::default(),
        budgets: services.iter().map(budget).collect(),
        wake_at: None,
    }
}
