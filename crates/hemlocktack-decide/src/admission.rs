//! Admission on the node beside an upstream: each call runs, is queued or is refused.

mod learn;
mod load_reports;
mod notices;
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
use crate::prior_work_losses::PriorWorkLosses;
use crate::quarantine::{Quarantine, QuarantineStatus};
use crate::queue::{ClassQueue, QueuedCall};
use crate::shed::{Pressure, ShedController, ShedLevel};
use crate::slowness::Slowness;
use crate::suspects::SuspectQueue;
use crate::upstream_notices::UpstreamNotices;
use crate::work::WorkEstimates;

#[derive(Clone, Copy, Debug)]
struct Running {
    kind: WorkKind,
    fingerprint: Fingerprint,
    started: Instant,
    /// Time allowed for the answer, measured from the offer.
    objective: Option<Duration>,
    has_returned: bool,
}

/// All decisions of one node on calls to its upstream.
///
/// An upstream with more calls than slots serves all of them late. Only this node sends calls to
/// the upstream, so its count of running calls is exact, whatever the upstream reports.
#[derive(Debug)]
pub struct Admission {
    policy: AdmissionPolicy,
    state: UpstreamState,
    refusal_reason: Reason,
    slots: u32,
    connections: u32,
    limit: ConcurrencyLimit,
    /// Replaces `limit` where operators set latency objectives.
    objective_limit: Option<ObjectiveLimit>,
    work: WorkEstimates,
    slowness: Slowness,
    reported_slots: Option<u32>,
    queue: ClassQueue,
    suspects: SuspectQueue,
    running: HashMap<CallId, Running>,
    shed: ShedController,
    quarantine: Quarantine,
    refusals: Vec<QueueDecision>,
    swept_at: Instant,
    probed_at: Option<Instant>,
    hold_back: Option<HoldBack>,
    long_queue_since: Option<Instant>,
    prior_work_losses: PriorWorkLosses,
    notices: UpstreamNotices,
    rate_limited_starts: u64,
}

#[derive(Clone, Copy, Debug)]
struct HoldBack {
    class: usize,
    until: Instant,
}

/// Has no Retry-After: a retry does not help a request that crashes upstreams.
const QUARANTINED: Refusal = Refusal {
    reason: Reason::Quarantined,
    retry_after: None,
};
/// Calls that the maps hold without reallocating: the largest upstream has 1,200 connections;
/// larger ones cause one reallocation.
const RUNNING_CAPACITY: usize = 2048;

impl Admission {
    /// Creates the admission of an upstream that has not announced itself yet.
    pub fn new(policy: AdmissionPolicy, now: Instant) -> Self {
        Admission {
            state: UpstreamState::Absent,
            refusal_reason: Reason::NoUpstream,
            slots: 0,
            connections: 0,
            limit: ConcurrencyLimit::new(policy.limit, 1, 1, false, now),
            objective_limit: None,
            work: WorkEstimates::new(now),
            slowness: Slowness::default(),
            reported_slots: None,
            queue: ClassQueue::new(RUNNING_CAPACITY),
            suspects: SuspectQueue::new(),
            running: HashMap::with_capacity(RUNNING_CAPACITY),
            shed: ShedController::new(policy.shed, now),
            quarantine: Quarantine::new(policy.quarantine),
            refusals: Vec::with_capacity(RUNNING_CAPACITY),
            swept_at: now,
            probed_at: None,
            hold_back: None,
            long_queue_since: None,
            prior_work_losses: PriorWorkLosses::new(now),
            notices: UpstreamNotices::default(),
            rate_limited_starts: 0,
            policy,
        }
    }

    /// Applies an announcement or its renewal. A renewal with unchanged numbers keeps the learnt
    /// state.
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

    /// Stops accepting calls. Queued calls were accepted and still run, which takes no longer
    /// than the queue's delay.
    pub fn drain(&mut self, reason: Reason) {
        self.state = UpstreamState::Draining;
        self.refusal_reason = reason;
    }

    /// Handles an expired announcement: no calls can be sent to the upstream.
    pub fn lost(&mut self, now: Instant) {
        self.state = UpstreamState::Absent;
        self.refusal_reason = Reason::NoUpstream;
        self.refuse_queued(Reason::NoUpstream, |_| true, now);
    }

    /// Handles a crash of the upstream. Adds every running call to `ended`; do not call
    /// [`Admission::finish`] for these.
    pub fn crashed(&mut self, ended: &mut Vec<CallId>, now: Instant) {
        let suspect = self.suspects.take_running();
        let suspect = suspect.and_then(|call_id| self.running.get(&call_id));
        let suspect = suspect.map(|call| call.fingerprint);
        let others: Vec<_> = self.running.values().map(|call| call.fingerprint).collect();
        self.quarantine.crashed(suspect, &others, now);
        ended.extend(self.running.drain().map(|(call_id, _)| call_id));
    }

    /// Applies a load report of the upstream.
    pub fn report_load(&mut self, in_flight: u32, slots: u32) {
        self.limit.report_load(in_flight, slots);
    }

    /// Requests a slot for a call.
    pub fn offer(&mut self, offer: &OfferedCall, now: Instant) -> AdmissionDecision {
        self.end_interval_if_due(now);
        if !matches!(self.state, UpstreamState::Ready | UpstreamState::Cold) {
            return AdmissionDecision::Refused(self.refusal(self.refusal_reason, offer.call_id));
        }
        self.shed.arrived(offer.class_rank, offer.root_request_id);
        if offer.has_prior_work() {
            self.prior_work_losses.record_offer(now);
        }
        match self.quarantine.status(offer.fingerprint, now) {
            QuarantineStatus::Clear => self.run_or_queue(offer, now),
            QuarantineStatus::Quarantined => AdmissionDecision::Refused(QUARANTINED),
            QuarantineStatus::Suspected => self.queue_suspect(offer, now),
        }
    }

    /// Records the end of a running call; `child_wait` is the time it spent waiting for child
    /// calls. Call [`Admission::take_decisions`] next.
    pub fn finish(
        &mut self,
        call_id: CallId,
        ended: RunResult,
        child_wait: Duration,
        now: Instant,
    ) {
        let Some(call) = self.running.remove(&call_id) else {
            return;
        };
        self.suspects.ended(call_id);
        match ended {
            RunResult::Answered => {
                self.quarantine.finished(call.fingerprint);
                self.record_answer(&call, child_wait, now);
            }
            RunResult::ShedByUpstream => self.limit.upstream_shed(now),
            RunResult::AnsweredWithFailure => self.quarantine.finished(call.fingerprint),
            RunResult::ChildLackedCapacity => {
                self.quarantine.finished(call.fingerprint);
                self.record_lack_of_capacity(&call, child_wait, now);
            }
            // A failed or cancelled call was cut short, so its duration is not used.
            RunResult::Failed | RunResult::Cancelled => {}
        }
    }

    /// Cancels a call whose caller has gone.
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

    /// Appends the decisions on queued calls. Call it after each [`Admission::finish`] and at
    /// [`Admission::next_wake`].
    pub fn take_decisions(&mut self, now: Instant, decisions: &mut Vec<QueueDecision>) {
        self.end_interval_if_due(now);
        self.sweep_if_due(now);
        decisions.append(&mut self.refusals);
        if self.state == UpstreamState::Absent {
            return;
        }
        self.refuse_beyond_rate_limit(now);
        while let Some(call) = self.next_call(now) {
            decisions.push(QueueDecision::Run(call.call_id));
        }
        decisions.append(&mut self.refusals);
    }

    /// Returns when to call [`Admission::take_decisions`] next if no call ends before; `None`
    /// while nothing is queued.
    pub fn next_wake(&self) -> Option<Instant> {
        if !self.refusals.is_empty() {
            return Some(self.swept_at);
        }
        if !self.queue.is_empty() || !self.suspects.is_empty() {
            return Some(self.swept_at + self.policy.queue.sweep_interval);
        }
        (self.shed.level() != ShedLevel::OPEN).then(|| self.shed.next_due())
    }

    /// Returns the load hint that replies carry. `chain_level` is the strictest level of the
    /// services that the answered call's kind depends on.
    pub fn hint(&self, chain_level: ShedLevel, now: Instant) -> LoadHint {
        let slowness = self.service_slowness(now);
        LoadHint {
            in_flight: self.running.len() as u32,
            limit: self.current_limit(),
            queued: self.queue.len() as u32,
            queue_delay_us: self.wait_for(self.queue.len(), now).as_micros() as u64,
            service_time_us: self.work.expected_any().as_micros() as u64,
            shed_level: self.shed.level().pack(),
            chain_shed_level: chain_level.pack(),
            rate_wait_us: self.notices.rate_wait(now).as_micros() as u64,
            slowness_percent: slowness.percent,
            slowness_age_us: slowness.age.as_micros() as u64,
        }
    }

    /// Returns the state of the upstream.
    pub fn state(&self) -> UpstreamState {
        if self.state == UpstreamState::Ready && self.limit.is_cold() {
            UpstreamState::Cold
        } else {
            self.state
        }
    }

    /// Returns the number of calls running in the upstream.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    /// Returns whether calls with prior work are lost for lack of capacity, so that they leave the
    /// queue in the order of their root requests.
    pub fn is_ordered_by_root_request(&self) -> bool {
        self.prior_work_losses.is_losing()
    }

    /// Returns the current shed level.
    pub fn shed_level(&self) -> ShedLevel {
        self.shed.level()
    }

    /// Changes the operators' bound on the queue. Calls beyond a smaller bound were already
    /// accepted and stay queued.
    pub fn set_queue_limit(&mut self, max_calls: usize) {
        self.policy.queue.max_calls = max_calls;
    }

    /// Returns the crash quarantine, to exchange updates with other nodes.
    pub fn quarantine(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Returns how many calls may run at once.
    fn current_limit(&self) -> u32 {
        self.objective_limit
            .as_ref()
            .map_or_else(|| self.limit.current(), ObjectiveLimit::current)
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.current_limit() as usize
    }

    fn start(&mut self, call: &QueuedCall, now: Instant) {
        if let Some(limiter) = self.notices.rate_limiter() {
            limiter.take(now);
            self.rate_limited_starts += 1;
        }
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
        if !self.shed.is_interval_due(now) {
            return;
        }
        let pressure = Pressure {
            cumulative_queued: self.queue.cumulative_queued(),
            queue_bound: self.queue_bound(),
            in_flight: self.running.len(),
            limit: self.current_limit(),
            service_time: self.expected_any(now),
        };
        self.shed.end_interval(&pressure, now);
        let is_queue_long = self.queue.len() * 2 > self.queue_bound();
        self.long_queue_since = is_queue_long.then(|| self.long_queue_since.unwrap_or(now));
    }

    /// Returns the expected time until `calls` calls have started.
    fn wait_for(&self, calls: usize, now: Instant) -> Duration {
        let per_call = self.expected_any(now) / self.current_limit().max(1);
        per_call.mul_f64(calls as f64)
    }

    fn probe(&mut self, now: Instant) -> bool {
        let every = self.policy.queue.probe_interval;
        let is_interval_due = self
            .probed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= every);
        if is_interval_due {
            self.probed_at = Some(now);
        }
        is_interval_due
    }
}
