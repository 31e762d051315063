//! Admission on the node beside an upstream: run, queue or refuse each call.

mod learn;
mod offered;
mod refuse;
mod waiting;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallId, Fingerprint, LoadHint, Reason, Refusal, UpstreamState};

use crate::limit::ConcurrencyLimit;
use crate::objective_limit::ObjectiveLimit;
use crate::offer::{
    AdmissionDecision, CancelResult, OfferedCall, QueueDecision, RunResult, WorkKind,
};
use crate::policy::AdmissionPolicy;
use crate::quarantine::{Quarantine, QuarantineStatus};
use crate::queue::{ClassQueue, Waiting};
use crate::shed::{Pressure, ShedController, ShedLevel};
use crate::suspects::SuspectQueue;
use crate::work::WorkTable;

#[derive(Clone, Copy, Debug)]
struct Running {
    kind: WorkKind,
    fingerprint: Fingerprint,
    started: Instant,
    /// Time in which its answer is wanted, from its offer on.
    objective: Option<Duration>,
    has_returned: bool,
}

/// All decisions of one node about calls to its upstream.
///
/// Load: any. Harm: an upstream with more calls than slots serves all of them
/// late. Only this node hands calls to the upstream, so its count of what runs
/// is exact, whatever the upstream's own reports say.
#[derive(Debug)]
pub struct Admission {
    policy: AdmissionPolicy,
    state: UpstreamState,
    refuse_with: Reason,
    slots: u32,
    connections: u32,
    limit: ConcurrencyLimit,
    /// Holds instead of `limit` where operators state objectives.
    objective_limit: Option<ObjectiveLimit>,
    work: WorkTable,
    queue: ClassQueue,
    suspects: SuspectQueue,
    running: HashMap<CallId, Running>,
    shed: ShedController,
    quarantine: Quarantine,
    refusals: Vec<QueueDecision>,
    swept_at: Instant,
    probed_at: Option<Instant>,
    strict: Option<Strict>,
    standing_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Strict {
    class: usize,
    until: Instant,
}

/// Coming back does not help a call that crashes upstreams.
const QUARANTINED: Refusal = Refusal {
    reason: Reason::Quarantined,
    retry_after: None,
};
/// Calls that the maps hold without growing: the largest upstream of today has
/// 1,200 connections; larger ones grow them once.
const RUNNING_CAPACITY: usize = 2048;

impl Admission {
    /// For an upstream that has not announced itself yet.
    pub fn new(policy: AdmissionPolicy, now: Instant) -> Self {
        Admission {
            state: UpstreamState::Absent,
            refuse_with: Reason::NoUpstream,
            slots: 0,
            connections: 0,
            limit: ConcurrencyLimit::new(policy.limit, 1, 1, false, now),
            objective_limit: None,
            work: WorkTable::new(now),
            queue: ClassQueue::new(RUNNING_CAPACITY),
            suspects: SuspectQueue::new(),
            running: HashMap::with_capacity(RUNNING_CAPACITY),
            shed: ShedController::new(policy.shed, now),
            quarantine: Quarantine::new(policy.quarantine),
            refusals: Vec::with_capacity(RUNNING_CAPACITY),
            swept_at: now,
            probed_at: None,
            strict: None,
            standing_since: None,
            policy,
        }
    }

    /// The upstream announced itself or renewed its announcement. A renewal
    /// with unchanged numbers keeps what has been learnt.
    pub fn announced(&mut self, slots: u32, connections: u32, cold: bool, now: Instant) {
        let was_here = matches!(self.state, UpstreamState::Ready | UpstreamState::Cold);
        if was_here && slots == self.slots && connections == self.connections {
            return;
        }
        self.slots = slots;
        self.connections = connections;
        let slow_start = cold && !was_here;
        self.limit = ConcurrencyLimit::new(self.policy.limit, slots, connections, slow_start, now);
        self.objective_limit = self
            .policy
            .objective
            .map(|policy| ObjectiveLimit::new(policy, slots, now));
        self.state = UpstreamState::Ready;
    }

    /// The upstream takes nothing new. Calls that wait here were accepted: they
    /// still run, which takes less than a queue's delay.
    pub fn drain(&mut self, reason: Reason) {
        self.state = UpstreamState::Draining;
        self.refuse_with = reason;
    }

    /// The upstream's announcement lapsed: nothing can be handed to it.
    pub fn lost(&mut self, now: Instant) {
        self.state = UpstreamState::Absent;
        self.refuse_with = Reason::NoUpstream;
        self.refuse_queued(Reason::NoUpstream, |_| true, now);
    }

    /// The upstream died. Every call that ran in it goes into `ended`, and
    /// [`Admission::finish`] is not to be called for it.
    pub fn crashed(&mut self, ended: &mut Vec<CallId>, now: Instant) {
        let suspect = self.suspects.take_running();
        let suspect = suspect.and_then(|call_id| self.running.get(&call_id));
        let suspect = suspect.map(|call| call.fingerprint);
        let others: Vec<_> = self.running.values().map(|call| call.fingerprint).collect();
        self.quarantine.crashed(suspect, &others, now);
        ended.extend(self.running.drain().map(|(call_id, _)| call_id));
    }

    /// Load report of the upstream.
    pub fn report_load(&mut self, in_flight: u32, slots: u32) {
        self.limit.report_load(in_flight, slots);
    }

    /// A call asks for a slot.
    pub fn offer(&mut self, offer: &OfferedCall, now: Instant) -> AdmissionDecision {
        self.end_interval_if_due(now);
        if !matches!(self.state, UpstreamState::Ready | UpstreamState::Cold) {
            return AdmissionDecision::Refused(self.refusal(self.refuse_with, offer.call_id));
        }
        self.shed.arrived(offer.class_rank, offer.root_request_id);
        match self.quarantine.status(offer.fingerprint, now) {
            QuarantineStatus::Clear => self.offer_free(offer, now),
            QuarantineStatus::Quarantined => AdmissionDecision::Refused(QUARANTINED),
            QuarantineStatus::Suspected => self.offer_suspect(offer, now),
        }
    }

    /// A running call ended; `time_below` is the part of its time in which it
    /// waited for deeper calls. Call [`Admission::take_decisions`] next.
    pub fn finish(
        &mut self,
        call_id: CallId,
        ended: RunResult,
        time_below: Duration,
        now: Instant,
    ) {
        let Some(call) = self.running.remove(&call_id) else {
            return;
        };
        self.suspects.ended(call_id);
        match ended {
            RunResult::Answered => {
                self.quarantine.finished(call.fingerprint);
                self.learn_from(&call, time_below, now);
            }
            RunResult::ShedByUpstream => self.limit.upstream_shed(now),
            RunResult::AnsweredWithFailure => self.quarantine.finished(call.fingerprint),
            RunResult::ChildLackedCapacity => {
                self.quarantine.finished(call.fingerprint);
                self.learn_lack_of_room(&call, time_below, now);
            }
            // A failed or cancelled call was cut short: its time says nothing.
            RunResult::Failed | RunResult::Cancelled => {}
        }
    }

    /// The caller has gone.
    pub fn cancel(&mut self, call_id: CallId) -> CancelResult {
        if self.queue.remove(call_id).is_some() {
            return CancelResult::Dequeued;
        }
        if self.running.contains_key(&call_id) {
            return CancelResult::Running;
        }
        if !self.suspects.remove(call_id) {
            return CancelResult::UnknownCall;
        }
        CancelResult::Dequeued
    }

    /// Appends what has become of queued calls. To be called after each finish
    /// and at [`Admission::next_wake`].
    pub fn take_decisions(&mut self, now: Instant, decisions: &mut Vec<QueueDecision>) {
        self.end_interval_if_due(now);
        self.sweep_if_due(now);
        decisions.append(&mut self.refusals);
        if self.state == UpstreamState::Absent {
            return;
        }
        while let Some(call) = self.next_call(now) {
            decisions.push(QueueDecision::Run(call.call_id));
        }
        decisions.append(&mut self.refusals);
    }

    /// When [`Admission::take_decisions`] is to be called next if no call ends
    /// before; `None` while nothing waits.
    pub fn next_wake(&self) -> Option<Instant> {
        if !self.refusals.is_empty() {
            return Some(self.swept_at);
        }
        if !self.queue.is_empty() || !self.suspects.is_empty() {
            return Some(self.swept_at + self.policy.queue.sweep_every);
        }
        (self.shed.level() != ShedLevel::OPEN).then(|| self.shed.next_due())
    }

    /// What replies say of this upstream. `chain_level` is the strictest level
    /// of the deeper services that the answered call's kind needs.
    pub fn hint(&self, chain_level: ShedLevel) -> LoadHint {
        LoadHint {
            in_flight: self.running.len() as u32,
            limit: self.current_limit(),
            queued: self.queue.len() as u32,
            queue_delay_us: self.wait_for(self.queue.len()).as_micros() as u64,
            service_time_us: self.work.expected_any().as_micros() as u64,
            shed_level: self.shed.level().pack(),
            chain_shed_level: chain_level.pack(),
        }
    }

    /// Where the upstream stands.
    pub fn state(&self) -> UpstreamState {
        if self.state == UpstreamState::Ready && self.limit.is_cold() {
            UpstreamState::Cold
        } else {
            self.state
        }
    }

    /// Calls that run in the upstream.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    /// Shed level in force.
    pub fn shed_level(&self) -> ShedLevel {
        self.shed.level()
    }

    /// Changes the operators' bound on the queue. What waits beyond a smaller
    /// one stays: it was taken, and leaves in its turn.
    pub fn set_queue_limit(&mut self, most: usize) {
        self.policy.queue.most = most;
    }

    /// Crash quarantine, to exchange news with other nodes.
    pub fn quarantine(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Calls that may run at once.
    fn current_limit(&self) -> u32 {
        self.objective_limit
            .as_ref()
            .map_or_else(|| self.limit.current(), ObjectiveLimit::current)
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.current_limit() as usize
    }

    fn start(&mut self, call: &Waiting, now: Instant) {
        self.running.insert(
            call.call_id,
            Running {
                kind: call.kind,
                fingerprint: call.fingerprint,
                started: now,
                objective: call.objective,
                has_returned: call.has_returned,
            },
        );
        if let Some(limit) = &mut self.objective_limit {
            limit.note_running(self.running.len());
        }
    }

    fn end_interval_if_due(&mut self, now: Instant) {
        if !self.shed.due(now) {
            return;
        }
        let pressure = Pressure {
            queued_up_to: self.queue.queued_up_to(),
            queue_bound: self.queue_bound(),
            in_flight: self.running.len(),
            limit: self.current_limit(),
            service_time: self.work.expected_any(),
        };
        self.shed.end_interval(&pressure, now);
        let is_long = self.queue.len() * 2 > self.queue_bound();
        self.standing_since = is_long.then(|| self.standing_since.unwrap_or(now));
    }

    /// Time until `calls` calls have started.
    fn wait_for(&self, calls: usize) -> Duration {
        let per_call = self.work.expected_any() / self.current_limit().max(1);
        per_call.mul_f64(calls as f64)
    }

    fn probe(&mut self, now: Instant) -> bool {
        let every = self.policy.queue.probe_every;
        let due = self
            .probed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= every);
        if due {
            self.probed_at = Some(now);
        }
        due
    }
}
