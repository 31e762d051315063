//! Table of the calls that the upstream is running, used to find the parent of a child call.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_decide::{ChildCallCounts, RetryAllowance, WorkKind};
use hemlocktack_fleet::tickets::{ChildCalls, Nonce};
use hemlocktack_protocol::{Answer, Call, ClassRank, Reason, RootRequestId, whole_micros};
use hemlocktack_telemetry::TraceContext;
use tokio_util::sync::CancellationToken;

use super::outcomes::{is_valid_answer, lacked_capacity};

/// Length of the opaque header: one 64-bit number in hexadecimal digits.
const CONTEXT_DIGITS: usize = 16;
/// Number of separately locked tables, which keeps lock contention between calls low.
const SHARDS: usize = 16;
/// Stopped runs that are remembered.
const MAX_CANCELLED_RUNS: usize = 1024;

/// A call that the upstream is running, with what its child calls inherit.
pub(crate) struct RunningCall {
    pub(crate) root_request_id: RootRequestId,
    pub(crate) class_rank: ClassRank,
    pub(crate) deadline: Instant,
    /// Target time for the answer to the root request (its latency objective).
    pub(crate) objective: Option<Instant>,
    pub(crate) depth: u32,
    /// Kind of work of the call; 0 if it is not known.
    pub(crate) kind: WorkKind,
    /// Other calls of the same root request run beside this one or follow it.
    pub(crate) has_siblings: bool,
    /// The call may have run before, and so may its child calls.
    pub(crate) is_repeat: bool,
    /// Retries that were granted with the call; its child calls use them.
    pub(crate) allowance: Arc<RetryAllowance>,
    /// Tickets of the child calls.
    pub(crate) children: Mutex<ChildCalls>,
    /// Trace context of the upstream's work, for child calls without a `traceparent`.
    pub(crate) trace: Option<TraceContext>,
    /// Cancelled if the run is stopped because nobody waits for it any longer.
    cancelled: CancellationToken,
    started: Instant,
    /// Work that the parent calls had spent when this call started.
    work_spent_before: Duration,
    child_calls: Mutex<ChildCallStats>,
    made_child_call: AtomicBool,
    /// A child call failed because a service lacked capacity.
    child_lacked_capacity: AtomicBool,
}

#[derive(Default)]
struct ChildCallStats {
    total: Duration,
    kinds: Vec<WorkKind>,
    counts: ChildCallCounts,
}

impl RunningCall {
    /// Creates the entry of a call; `nonce` is that of its ticket, if it has one.
    pub(crate) fn new(
        call: &Call,
        class_rank: ClassRank,
        nonce: Option<Nonce>,
        deadline: Instant,
    ) -> Self {
        Self {
            root_request_id: call.root_request_id,
            class_rank,
            deadline,
            objective: objective_of(call),
            depth: call.depth,
            kind: call.work_kind,
            has_siblings: call.has_siblings,
            is_repeat: call.is_repeat,
            allowance: Arc::new(RetryAllowance::new(call.retries_given)),
            children: Mutex::new(nonce.map_or_else(
                ChildCalls::for_idempotent_parent,
                ChildCalls::for_ticketed_parent,
            )),
            trace: TraceContext::parse(&call.traceparent),
            cancelled: CancellationToken::new(),
            started: Instant::now(),
            work_spent_before: Duration::from_micros(call.work_spent_us),
            child_calls: Mutex::default(),
            made_child_call: AtomicBool::new(false),
            child_lacked_capacity: AtomicBool::new(false),
        }
    }

    /// Sets the kind of work of a call that came without one.
    pub(crate) fn of_kind(self, kind: WorkKind) -> Self {
        Self { kind, ..self }
    }

    pub(crate) fn work_spent_us(&self, now: Instant) -> u64 {
        let spent = self.work_spent_before + now.saturating_duration_since(self.started);
        whole_micros(spent)
    }

    /// Returns once the run is stopped because nobody waits for it any longer.
    pub(crate) async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }

    /// Records that a child call begins, whatever its outcome.
    pub(crate) fn child_call_began(&self) {
        self.made_child_call.store(true, Ordering::Release);
    }

    /// Whether the call has made a child call, which proves that its upstream started work on it.
    pub(crate) fn has_child_calls(&self) -> bool {
        self.made_child_call.load(Ordering::Acquire)
    }

    /// Records a child call to this service that has ended.
    pub(crate) fn child_call_ended(
        &self,
        service: &str,
        kind: WorkKind,
        duration: Duration,
        answer: &Answer,
    ) {
        if lacked_capacity(answer) {
            self.child_lacked_capacity.store(true, Ordering::Release);
        }
        let mut child_calls = self
            .child_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        child_calls.total += duration;
        match is_valid_answer(answer) {
            true => child_calls.counts.record_answer(service),
            false => child_calls.counts.has_failed = true,
        }
        if !child_calls.kinds.contains(&kind) {
            child_calls.kinds.push(kind);
        }
    }

    pub(crate) fn child_lacked_capacity(&self) -> bool {
        self.child_lacked_capacity.load(Ordering::Acquire)
    }

    /// Returns the time spent waiting for child calls, as if they were made one after the other.
    pub(crate) fn child_wait(&self) -> Duration {
        self.child_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .total
            .min(self.started.elapsed())
    }

    /// Returns the child calls that have ended so far.
    pub(crate) fn child_call_counts(&self) -> ChildCallCounts {
        self.child_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .counts
            .clone()
    }

    pub(crate) fn child_kinds(&self) -> Vec<WorkKind> {
        self.child_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .kinds
            .clone()
    }
}

/// Returns the target time for the answer to a call's root request, if it has one.
pub(crate) fn objective_of(call: &Call) -> Option<Instant> {
    let left = Duration::from_micros(call.objective_left_us);
    (!left.is_zero()).then(|| Instant::now() + left)
}

/// All calls that the upstream is running, by the opaque context header and by request id.
#[derive(Default)]
pub(crate) struct ContextTable {
    shards: [Mutex<HashMap<u64, Arc<RunningCall>>>; SHARDS],
    /// Runs by request id. A request may be sent here again while its first send still runs.
    by_request: Mutex<HashMap<String, Vec<Arc<RunningCall>>>>,
    /// Request ids of runs that were stopped, until their deadlines. Their upstream may go on and
    /// make child calls.
    cancelled: Mutex<HashMap<String, Instant>>,
}

/// Entry of a running call in the [`ContextTable`]; dropping it removes the entry.
pub(crate) struct OpenContext<'a> {
    table: &'a ContextTable,
    handle: u64,
    request_id: String,
    has_ended: bool,
    pub(crate) running: Arc<RunningCall>,
}

impl ContextTable {
    /// Adds a call that is about to run.
    ///
    /// The handle is random, so that an upstream cannot guess the handle of another call.
    ///
    /// `request_id` is empty if callers do not identify their requests.
    pub(crate) fn open(&self, running: RunningCall, request_id: &str) -> OpenContext<'_> {
        let handle = rand::random();
        let running = Arc::new(running);
        if !request_id.is_empty() {
            let mut named = self.named();
            let runs = named.entry(request_id.to_owned()).or_default();
            runs.push(running.clone());
        }
        self.shard(handle)
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(handle, running.clone());
        OpenContext {
            table: self,
            handle,
            request_id: request_id.to_owned(),
            has_ended: false,
            running,
        }
    }

    /// Returns the parent of a child call by its request id: the run that began last.
    pub(crate) fn find_by_request(&self, request_id: &str) -> Option<Arc<RunningCall>> {
        self.named().get(request_id)?.last().cloned()
    }

    /// Whether a run of this request was stopped because nobody waits for it. Another run of it
    /// may go on.
    pub(crate) fn was_cancelled(&self, request_id: &str) -> bool {
        let deadline = self.cancelled_runs().get(request_id).copied();
        deadline.is_some_and(|deadline| Instant::now() < deadline)
    }

    fn record_cancelled(&self, request_id: &str, deadline: Instant) {
        let mut cancelled = self.cancelled_runs();
        if cancelled.len() >= MAX_CANCELLED_RUNS {
            let now = Instant::now();
            cancelled.retain(|_, deadline| now < *deadline);
        }
        if cancelled.len() < MAX_CANCELLED_RUNS {
            cancelled.insert(request_id.to_owned(), deadline);
        }
    }

    fn cancelled_runs(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.cancelled
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn named(&self) -> MutexGuard<'_, HashMap<String, Vec<Arc<RunningCall>>>> {
        self.by_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the parent of a child call by its context header.
    pub(crate) fn find(&self, header: &str) -> Result<Arc<RunningCall>, Reason> {
        let has_form =
            header.len() == CONTEXT_DIGITS && header.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !has_form {
            return Err(Reason::MalformedContext);
        }
        let handle = u64::from_str_radix(header, 16).map_err(|_| Reason::MalformedContext)?;
        let found = self
            .shard(handle)
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&handle)
            .cloned();
        found.ok_or(Reason::ContextExpired)
    }

    fn shard(&self, handle: u64) -> &Mutex<HashMap<u64, Arc<RunningCall>>> {
        &self.shards[handle as usize % SHARDS]
    }
}

impl OpenContext<'_> {
    /// Records that the upstream has ended the run, or had the time that it was given.
    pub(crate) fn mark_ended(&mut self) {
        self.has_ended = true;
    }

    /// Returns the value of the opaque context header.
    pub(crate) fn header(&self) -> String {
        format!("{:0width$x}", self.handle, width = CONTEXT_DIGITS)
    }
}

impl Drop for OpenContext<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.running.cancelled.cancel();
        }
        self.table
            .shard(self.handle)
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.handle);
        if self.request_id.is_empty() {
            return;
        }
        if !self.has_ended {
            let deadline = self.running.deadline;
            self.table.record_cancelled(&self.request_id, deadline);
        }
        let mut named = self.table.named();
        let Some(runs) = named.get_mut(&self.request_id) else {
            return;
        };
        runs.retain(|run| !Arc::ptr_eq(run, &self.running));
        if runs.is_empty() {
            named.remove(&self.request_id);
        }
    }
}
