//! Several nodes' state machines in virtual time, under faults.
//!
//! `World` simulates what surrounds the state machines: links, callers, upstreams, and the order of
//! events. It makes no decision that belongs to the state machines, and compares the requests that
//! upstreams started with the outcomes reported to callers.

mod callers;
mod entry;
mod events;
mod faults;
mod home;
mod ledger;
mod network;
mod process;
mod safeguards;
mod stop;
mod upstream;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::fmt::Display;

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_fleet::tickets::Ticket;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::world::callers::{Request, SendRecord};
use crate::world::events::{Event, NodeEvent, Timed};
use crate::world::faults::FaultRates;
use crate::world::ledger::Ledger;
pub(crate) use crate::world::ledger::{Counts, Violation};
use crate::world::process::Process;
pub(crate) use crate::world::safeguards::{Safeguard, Safeguards};

pub(crate) type TimeMs = u64;
pub(crate) type RequestId = u64;
pub(crate) type SendId = u64;
pub(crate) type RunId = u64;

/// One process of the node in a slot, from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct At {
    pub(crate) slot: usize,
    pub(crate) incarnation: u64,
}

const BOOKINGS_SLOTS: std::ops::Range<usize> = 0..4;
const SLOT_COUNT: usize = 6;
const TRACE_LIMIT_LINES: usize = 400;
const SETTLE_LIMIT_EVENTS: u64 = 200_000;

/// Result of a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) steps: u64,
    pub(crate) violation: Option<Violation>,
    pub(crate) trace: Vec<String>,
    pub(crate) counts: Counts,
}

pub(crate) struct World {
    now_ms: TimeMs,
    step: u64,
    rng: StdRng,
    queue: BinaryHeap<Timed>,
    sequence: u64,
    keys: FleetKeys,
    processes: Vec<Option<Process>>,
    // Processes of each slot that gossip has announced, the latest last, with their ticket epochs.
    known_starts: Vec<Vec<KnownStart>>,
    successions: Vec<(NodeIncarnation, NodeIncarnation)>,
    next_incarnation: u64,
    next_id: u64,
    open_sessions: BTreeMap<(At, At), u64>,
    closed_sessions: BTreeSet<u64>,
    partitioned_until: BTreeMap<(usize, usize), TimeMs>,
    requests: BTreeMap<RequestId, Request>,
    sends: BTreeMap<SendId, SendRecord>,
    ledger: Ledger,
    safeguards: Safeguards,
    fault_rates: FaultRates,
    faults_ended: bool,
    trace: Option<VecDeque<String>>,
}

#[derive(Clone, Copy, Debug)]
struct KnownStart {
    at: At,
    epoch: u64,
}

/// Runs one seed for a number of events, then ends all faults and lets open calls complete.
pub(crate) fn run(seed: u64, steps: u64, safeguards: Safeguards, tracing: bool) -> Outcome {
    let mut world = World::new(seed, safeguards, tracing);
    while world.step < steps && world.ledger.violation.is_none() {
        if !world.step_once() {
            break;
        }
    }
    world.end_faults();
    let settle_limit = world.step + SETTLE_LIMIT_EVENTS;
    while world.ledger.violation.is_none() && world.step_once() {
        if world.step > settle_limit {
            world
                .ledger
                .record_violation("events do not end after the end of the faults".to_owned());
        }
    }
    world.check_quiescent();
    Outcome {
        steps: world.step,
        violation: world.ledger.violation,
        trace: world.trace.unwrap_or_default().into(),
        counts: world.ledger.counts,
    }
}

impl World {
    fn new(seed: u64, safeguards: Safeguards, tracing: bool) -> World {
        let mut world = World {
            now_ms: 0,
            step: 0,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            sequence: 0,
            keys: FleetKeys::new(b"key of the randomised runs", None).expect("long enough"),
            processes: (0..SLOT_COUNT).map(|_| None).collect(),
            known_starts: vec![Vec::new(); SLOT_COUNT],
            successions: Vec::new(),
            next_incarnation: 0,
            next_id: 0,
            open_sessions: BTreeMap::new(),
            closed_sessions: BTreeSet::new(),
            partitioned_until: BTreeMap::new(),
            requests: BTreeMap::new(),
            sends: BTreeMap::new(),
            ledger: Ledger::default(),
            safeguards,
            fault_rates: FaultRates::default(),
            faults_ended: false,
            trace: tracing.then(VecDeque::new),
        };
        world.fault_rates = FaultRates::draw(&mut world);
        for slot in 0..SLOT_COUNT {
            world.start_process(slot);
        }
        world.schedule_event(0, Event::NewRequest);
        world.schedule_event(20, Event::Fault);
        world
    }

    fn step_once(&mut self) -> bool {
        let Some(Timed { time_ms, event, .. }) = self.queue.pop() else {
            return false;
        };
        self.now_ms = time_ms;
        self.step += 1;
        self.trace_line(|| format!("{event:?}"));
        match event {
            Event::Fault => self.inject_fault(),
            Event::NewRequest => self.new_request(),
            Event::CallerSend(request) => self.caller_send(request),
            Event::CallerTimeout(send) => self.caller_timeout(send),
            Event::Reply { send, told } => self.caller_reply(send, told),
            Event::Restart(slot) => self.start_process(slot),
            Event::Wake(at) => self.wake(at),
            Event::At(at, event) => self.node_event(at, event),
        }
        self.check_unique_home();
        true
    }

    fn node_event(&mut self, at: At, event: NodeEvent) {
        let Some(mut process) = self.take_process(at, &event) else {
            return;
        };
        match event {
            NodeEvent::CallerCall(send) => self.caller_call(&mut process, send),
            NodeEvent::Frame {
                from,
                session,
                body,
            } => {
                self.frame(&mut process, from, session, *body);
            }
            NodeEvent::Flush { to, call_id, body } => {
                self.flush(&mut process, to, call_id, *body);
            }
            NodeEvent::LinkLost { peer, session } => self.link_lost(&mut process, peer, session),
            NodeEvent::Dial(peer) => self.dial(&mut process, peer),
            NodeEvent::EntrySend(send) => self.entry_send(&mut process, send),
            NodeEvent::EntryDeadline(send) => self.entry_deadline(&mut process, send),
            NodeEvent::HomeStep(nonce) => self.home_step(&mut process, nonce),
            NodeEvent::DelegateDeadline { nonce, call_id } => {
                self.delegate_deadline(&mut process, nonce, call_id);
            }
            NodeEvent::RunDone(run) => self.run_done(&mut process, run),
            NodeEvent::ChildSend { run, key } => self.child_send(&mut process, run, key),
            NodeEvent::Succession { home, successor } => {
                process.successions.insert(home, successor);
            }
            NodeEvent::StopStep => self.stop_step(&mut process),
        }
        process.table.assert_consistent();
        process.arrivals.assert_consistent();
        self.return_process(process);
    }

    // Events for a frozen process are deferred until it resumes; those for an ended process are lost.
    fn take_process(&mut self, at: At, event: &NodeEvent) -> Option<Process> {
        let accepts_other_start = matches!(event, NodeEvent::Frame { .. })
            && !self.safeguards.has(Safeguard::LinkIncarnation);
        let place = &mut self.processes[at.slot];
        let process = place.as_mut()?;
        if process.at != at && !accepts_other_start {
            return None;
        }
        if process.frozen {
            process.deferred.push(Event::At(at, event.clone()));
            return None;
        }
        place.take()
    }

    fn return_process(&mut self, process: Process) {
        if process.has_left {
            self.remove_process(process);
            return;
        }
        let epoch = process.table.current_epoch();
        let gossip_received = self.random_chance(30);
        if let Some(known) = self.known_starts[process.at.slot]
            .last_mut()
            .filter(|_| gossip_received)
        {
            known.epoch = epoch;
        }
        let slot = process.at.slot;
        self.processes[slot] = Some(process);
    }

    fn start_process(&mut self, slot: usize) {
        if self.processes[slot].is_some() {
            return;
        }
        self.next_incarnation += 1;
        let at = At {
            slot,
            incarnation: self.next_incarnation,
        };
        let mut process = Process::new(at, name_of(at));
        process.successions.extend(self.successions.iter().cloned());
        let epoch = process.table.current_epoch();
        self.known_starts[slot].push(KnownStart { at, epoch });
        self.processes[slot] = Some(process);
    }

    // Two homes that accept the same tickets would both start their requests.
    fn check_unique_home(&mut self) {
        let processes: Vec<_> = self.processes.iter().flatten().collect();
        for (index, one) in processes.iter().enumerate() {
            for home in one.table.homes().filter(|home| one.table.is_open_for(home)) {
                let others = &processes[index + 1..];
                if others.iter().any(|other| other.table.is_open_for(home)) {
                    self.ledger
                        .violation
                        .get_or_insert(format!("{home} has two homes"));
                    return;
                }
            }
        }
    }

    fn check_quiescent(&mut self) {
        let mut found = Vec::new();
        for process in self.processes.iter().flatten() {
            if !process.is_idle() {
                found.push(format!(
                    "{} is not idle after the end of the run",
                    process.name
                ));
            }
        }
        for (send, record) in &self.sends {
            let entry = self.processes[record.entry.slot].as_ref();
            let is_alive = entry.is_some_and(|process| process.at == record.entry);
            if is_alive && !self.ledger.has_reply(*send) {
                found.push(format!("send {send} has no outcome"));
            }
        }
        if let Some(first) = found.into_iter().next() {
            self.ledger.record_violation(first);
        }
    }

    fn schedule_event(&mut self, delay_ms: TimeMs, event: Event) {
        self.sequence += 1;
        let (time_ms, sequence) = (self.now_ms + delay_ms, self.sequence);
        self.queue.push(Timed {
            time_ms,
            sequence,
            event,
        });
    }

    fn schedule_node_event(&mut self, delay_ms: TimeMs, at: At, event: NodeEvent) {
        self.schedule_event(delay_ms, Event::At(at, event));
    }

    fn random_between(&mut self, low: u64, high: u64) -> u64 {
        self.rng.random_range(low..=high)
    }

    fn random_chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn pick<T: Copy>(&mut self, from: &[T]) -> Option<T> {
        if from.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..from.len());
        Some(from[index])
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    // Process of a slot as other nodes know it, occasionally a stale one.
    fn known_start(&mut self, slot: usize) -> Option<KnownStart> {
        let starts = self.known_starts[slot].clone();
        let recent = &starts[starts.len().saturating_sub(2)..];
        match self.random_chance(10) {
            true => self.pick(recent),
            false => recent.last().copied(),
        }
    }

    fn issue_ticket(&mut self, child: bool) -> Option<Ticket> {
        let slots = service_slots(child);
        let slot = self.random_between(slots.start as u64, slots.end as u64 - 1) as usize;
        let KnownStart { at, epoch } = self.known_start(slot)?;
        let nonce = self.rng.random();
        Ticket::issue(
            &self.keys,
            service_name(child).into(),
            name_of(at),
            epoch,
            nonce,
        )
        .ok()
    }

    fn trace_line<T: Display>(&mut self, line: impl FnOnce() -> T) {
        let (now_ms, step) = (self.now_ms, self.step);
        if let Some(trace) = &mut self.trace {
            if trace.len() >= TRACE_LIMIT_LINES {
                trace.pop_front();
            }
            trace.push_back(format!("step {step} at {now_ms} ms: {}", line()));
        }
    }
}

fn name_of(at: At) -> NodeIncarnation {
    NodeIncarnation::new(format!("node-{}", at.slot), at.incarnation)
}

fn service_name(child: bool) -> &'static str {
    match child {
        true => "keys",
        false => "bookings",
    }
}

fn service_slots(child: bool) -> std::ops::Range<usize> {
    match child {
        true => BOOKINGS_SLOTS.end..SLOT_COUNT,
        false => BOOKINGS_SLOTS,
    }
}

fn is_child(request: RequestId) -> bool {
    request >= callers::FIRST_CHILD_REQUEST
}
