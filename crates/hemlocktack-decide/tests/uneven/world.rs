//! Calls of entry nodes to one service with uneven upstreams, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    AdmissionDecision, PeerLoad, PlacementPolicy, QueueDecision, RunResult, ShedLevel, may_move,
    place,
};
use hemlocktack_protocol::{LoadHint, Reason, UpstreamState};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::support::first_attempt;
use crate::upstream::{Machine, START_NUMBER, Upstream};

const ENTRIES_PER_DATA_CENTRE: usize = 3;
const LOCAL_DELAY_SECS: f64 = 0.000_1;
/// Delay between two data centres, one way.
const REMOTE_DELAY_SECS: f64 = 0.001_4;
/// Objective of the whole request that the calls belong to.
const OBJECTIVE: Duration = Duration::from_millis(1_200);
/// A request makes up to ten calls in sequence, so a call is in time within a tenth.
const IN_TIME_SECS: f64 = 0.12;
/// Mean work of a call on the usual machine.
pub(crate) const MEAN_WORK_SECS: f64 = 0.03;
/// Calls that start in this time are not counted: nothing has been learnt yet.
const WARM_UP_SECS: f64 = 2.0;

/// How upstreams are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// By load hints alone, with the parameters that [`policy`] names.
    WithoutReports,
    /// By load hints with slowness, by the size of answers, and by free slots elsewhere.
    WithReports,
    /// Sees all queues and speeds as they are; local while there is a free slot.
    CompleteKnowledge,
}

#[derive(Clone)]
pub(crate) struct Load {
    pub(crate) machines: Vec<Machine>,
    pub(crate) data_centres: usize,
    pub(crate) secs: f64,
    /// Calls per second that enter in a data centre at a time.
    pub(crate) rate: fn(data_centre: usize, mean: f64, at_secs: f64) -> f64,
    pub(crate) mean_rate: f64,
    pub(crate) answer_bytes: u64,
    pub(crate) seed: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) p99_ms: f64,
    pub(crate) in_time: f64,
    pub(crate) remote_mb: f64,
    pub(crate) refused: f64,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    entry: usize,
    entered: f64,
    work: Duration,
    upstream: usize,
    has_moved: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Enter { data_centre: usize },
    Reach(u64),
    Finish(u64),
    Answered(u64, LoadHint),
    Refused(u64, Reason, LoadHint),
    Tick,
}

struct Entry {
    data_centre: usize,
    peers: Vec<PeerLoad>,
}

struct PeerRef<'a>(&'a PeerLoad);

impl AsRef<PeerLoad> for PeerRef<'_> {
    fn as_ref(&self) -> &PeerLoad {
        self.0
    }
}

pub(crate) struct World<'a> {
    load: &'a Load,
    choice: Choice,
    policy: PlacementPolicy,
    epoch: Instant,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: HashMap<u64, Event>,
    next_event: u64,
    next_call: u64,
    calls: HashMap<u64, Call>,
    upstreams: Vec<Upstream>,
    entries: Vec<Entry>,
    rng: SmallRng,
    latencies_ms: Vec<f64>,
    counted: u64,
    in_time: u64,
    refused: u64,
    remote_bytes: u64,
}

/// Plays the load and returns what the callers saw.
pub(crate) fn play(load: &Load, choice: Choice) -> Outcome {
    let mut world = World::new(load, choice);
    world.run();
    world.outcome()
}

/// Returns the parameters of placement. Without reports, those that change nothing by the size of
/// answers and let local upstreams queue while others have free slots.
fn policy(load: &Load, choice: Choice) -> PlacementPolicy {
    let present = PlacementPolicy::default();
    match choice {
        Choice::WithoutReports => PlacementPolicy {
            free_slot_load: 0.0,
            ..present
        },
        _ => present.for_answers_of(load.answer_bytes as f64),
    }
}

impl<'a> World<'a> {
    fn new(load: &'a Load, choice: Choice) -> Self {
        let epoch = Instant::now();
        let upstreams: Vec<_> = load
            .machines
            .iter()
            .map(|machine| Upstream::new(machine.clone(), epoch))
            .collect();
        let entry = |index: usize| {
            let data_centre = index / ENTRIES_PER_DATA_CENTRE;
            let peers = load.machines.iter().map(|machine| {
                PeerLoad::new(
                    machine.data_centre == data_centre,
                    UpstreamState::Ready,
                    epoch,
                )
            });
            Entry {
                data_centre,
                peers: peers.collect(),
            }
        };
        let entries = (0..load.data_centres * ENTRIES_PER_DATA_CENTRE).map(entry);
        World {
            load,
            choice,
            policy: policy(load, choice),
            epoch,
            now: 0.0,
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            next_event: 0,
            next_call: 0,
            calls: HashMap::new(),
            upstreams,
            entries: entries.collect(),
            rng: SmallRng::seed_from_u64(load.seed),
            latencies_ms: Vec::new(),
            counted: 0,
            in_time: 0,
            refused: 0,
            remote_bytes: 0,
        }
    }

    fn run(&mut self) {
        for data_centre in 0..self.load.data_centres {
            self.schedule(0.0, Event::Enter { data_centre });
        }
        self.schedule(0.0, Event::Tick);
        while let Some(Reverse((at_ns, key))) = self.events.pop() {
            self.now = at_ns as f64 / 1e9;
            let Some(event) = self.payloads.remove(&key) else {
                continue;
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Enter { data_centre } => self.enter(data_centre),
            Event::Reach(id) => self.reach(id),
            Event::Finish(id) => self.finish(id),
            Event::Answered(id, hint) => self.answered(id, &hint),
            Event::Refused(id, reason, hint) => self.refused(id, reason, &hint),
            Event::Tick => {
                for upstream in 0..self.upstreams.len() {
                    self.take_decisions(upstream);
                }
                if self.now < self.load.secs {
                    self.schedule(self.now + 0.01, Event::Tick);
                }
            }
        }
    }

    fn enter(&mut self, data_centre: usize) {
        let rate = (self.load.rate)(data_centre, self.load.mean_rate, self.now);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        if self.now + gap < self.load.secs {
            self.schedule(self.now + gap, Event::Enter { data_centre });
        }
        let in_data_centre = self.rng.random_range(0..ENTRIES_PER_DATA_CENTRE);
        let varying = -(1.0 - self.rng.random::<f64>()).ln();
        let work = MEAN_WORK_SECS * (0.5 + 0.5 * varying);
        let call = Call {
            entry: data_centre * ENTRIES_PER_DATA_CENTRE + in_data_centre,
            entered: self.now,
            work: Duration::from_secs_f64(work),
            upstream: 0,
            has_moved: false,
        };
        self.next_call += 1;
        self.send(self.next_call, call, None);
    }

    fn send(&mut self, id: u64, call: Call, excluded: Option<usize>) {
        let Some(upstream) = self.choose(&call, excluded) else {
            return self.give_up(&call);
        };
        let now = self.instant();
        self.entries[call.entry].peers[upstream].sent(now);
        self.upstreams[upstream].outstanding += 1;
        let at = self.now + self.delay(&call, upstream);
        self.calls.insert(id, Call { upstream, ..call });
        self.schedule(at, Event::Reach(id));
    }

    fn choose(&mut self, call: &Call, excluded: Option<usize>) -> Option<usize> {
        if self.choice == Choice::CompleteKnowledge {
            return self.best(call, excluded);
        }
        let now = self.instant();
        let peers: Vec<_> = self.entries[call.entry].peers.iter().map(PeerRef).collect();
        let left = OBJECTIVE.saturating_sub(Duration::from_secs_f64(self.now - call.entered));
        place(
            &peers,
            |index| Some(index) != excluded,
            Some(left),
            now,
            &self.policy,
            &mut self.rng,
        )
    }

    /// Returns the upstream with the shortest time to the answer, the local one with a free slot
    /// first.
    fn best(&self, call: &Call, excluded: Option<usize>) -> Option<usize> {
        let cost = |index: usize| {
            let upstream = &self.upstreams[index];
            let run = upstream.slowness(self.now) / upstream.machine.speed * MEAN_WORK_SECS;
            let slots = f64::from(upstream.machine.slots);
            let excess = (f64::from(upstream.outstanding) + 1.0 - slots).max(0.0);
            run * (1.0 + excess / slots) + 2.0 * self.delay(call, index)
        };
        let is_local = |index: usize| self.is_local(call, index);
        let is_free = |index: usize| {
            self.upstreams[index].outstanding < self.upstreams[index].machine.slots
                && cost(index) < IN_TIME_SECS
        };
        let eligible = (0..self.upstreams.len()).filter(|index| Some(*index) != excluded);
        let rank = |index: usize| (!(is_local(index) && is_free(index)), cost(index));
        eligible.min_by(|a, b| {
            let (a, b) = (rank(*a), rank(*b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }

    fn reach(&mut self, id: u64) {
        let call = self.calls[&id];
        let now = self.instant();
        let offer = first_attempt(id, 0, now + Duration::from_secs(5));
        let upstream = &mut self.upstreams[call.upstream];
        match upstream.admission.offer(&offer, now) {
            AdmissionDecision::Run => self.start(id),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(refusal) => self.refuse(id, refusal.reason),
        }
        self.take_decisions(call.upstream);
    }

    fn start(&mut self, id: u64) {
        let call = self.calls[&id];
        let upstream = &mut self.upstreams[call.upstream];
        upstream.running += 1;
        let end = upstream.end_of(self.now, call.work);
        self.schedule(end, Event::Finish(id));
    }

    fn finish(&mut self, id: u64) {
        let call = self.calls[&id];
        let now = self.instant();
        let upstream = &mut self.upstreams[call.upstream];
        if self.choice == Choice::WithReports {
            let report = upstream.report(self.now);
            upstream.admission.hear_load(&report, START_NUMBER, now);
        }
        upstream.running -= 1;
        upstream.outstanding -= 1;
        upstream
            .admission
            .finish(id, RunResult::Answered, Duration::ZERO, now);
        let hint = upstream.admission.hint(ShedLevel::OPEN, now);
        self.take_decisions(call.upstream);
        if !self.is_local(&call, call.upstream) {
            self.remote_bytes += self.load.answer_bytes;
        }
        let at = self.now + self.delay(&call, call.upstream);
        self.schedule(at, Event::Answered(id, hint));
    }

    fn take_decisions(&mut self, upstream: usize) {
        let mut decisions = Vec::new();
        let now = self.instant();
        self.upstreams[upstream]
            .admission
            .take_decisions(now, &mut decisions);
        for decision in decisions {
            match decision {
                QueueDecision::Run(id) => self.start(id),
                QueueDecision::Refuse(id, refusal) => self.refuse(id, refusal.reason),
            }
        }
    }

    fn refuse(&mut self, id: u64, reason: Reason) {
        let call = self.calls[&id];
        let now = self.instant();
        let upstream = &mut self.upstreams[call.upstream];
        upstream.outstanding -= 1;
        let hint = upstream.admission.hint(ShedLevel::OPEN, now);
        let at = self.now + self.delay(&call, call.upstream);
        self.schedule(at, Event::Refused(id, reason, hint));
    }

    fn answered(&mut self, id: u64, hint: &LoadHint) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let now = self.instant();
        self.entries[call.entry].peers[call.upstream].answered(hint, now);
        if call.entered < WARM_UP_SECS {
            return;
        }
        let taken = self.now - call.entered;
        self.counted += 1;
        self.in_time += u64::from(taken <= IN_TIME_SECS);
        self.latencies_ms.push(taken * 1e3);
    }

    fn refused(&mut self, id: u64, reason: Reason, hint: &LoadHint) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let now = self.instant();
        self.entries[call.entry].peers[call.upstream].refused(reason, Some(hint), now);
        if call.has_moved || !may_move(reason) {
            return self.give_up(&call);
        }
        let moved = Call {
            has_moved: true,
            ..call
        };
        self.send(id, moved, Some(call.upstream));
    }

    fn give_up(&mut self, call: &Call) {
        if call.entered >= WARM_UP_SECS {
            self.counted += 1;
            self.refused += 1;
        }
    }

    fn is_local(&self, call: &Call, upstream: usize) -> bool {
        self.entries[call.entry].data_centre == self.upstreams[upstream].machine.data_centre
    }

    fn delay(&self, call: &Call, upstream: usize) -> f64 {
        match self.is_local(call, upstream) {
            true => LOCAL_DELAY_SECS,
            false => REMOTE_DELAY_SECS,
        }
    }

    fn instant(&self) -> Instant {
        self.epoch + Duration::from_secs_f64(self.now)
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.next_event += 1;
        self.payloads.insert(self.next_event, event);
        self.events
            .push(Reverse(((at * 1e9) as u64, self.next_event)));
    }

    fn outcome(&mut self) -> Outcome {
        self.latencies_ms.sort_by(f64::total_cmp);
        let p99 = self.latencies_ms.len().saturating_sub(1) * 99 / 100;
        Outcome {
            p99_ms: self.latencies_ms.get(p99).copied().unwrap_or_default(),
            in_time: self.in_time as f64 / self.counted.max(1) as f64,
            remote_mb: self.remote_bytes as f64 / 1e6,
            refused: self.refused as f64,
        }
    }
}
