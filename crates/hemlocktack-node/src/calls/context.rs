//! Calls that the upstream beside this node is running, for its deeper calls.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_decide::{RetryAllowance, WorkKind};
use hemlocktack_fleet::tickets::{ChildCalls, Nonce};
use hemlocktack_protocol::{Answer, Call, ClassRank, Reason, RootRequestId};
use hemlocktack_telemetry::TraceContext;

use super::ends::lacked_room;

/// Length of the opaque header: one 64-bit number in hexadecimal digits.
const CONTEXT_DIGITS: usize = 16;
/// Tables side by side, so that calls seldom wait for each other's lock.
const SHARDS: usize = 16;

/// What deeper calls of a running call inherit.
pub(crate) struct RunningCall {
    pub(crate) root_request_id: RootRequestId,
    pub(crate) class_rank: ClassRank,
    pub(crate) deadline: Instant,
    /// Until when an answer to the root request is worth most to its caller.
    pub(crate) objective: Option<Instant>,
    pub(crate) depth: u32,
    /// It may have run before, and so may its deeper calls.
    pub(crate) is_repeat: bool,
    /// Retries that came with the call; its deeper calls draw on them.
    pub(crate) allowance: Arc<RetryAllowance>,
    /// Tickets of its deeper calls.
    pub(crate) children: Mutex<ChildCalls>,
    /// Where the upstream's work stands in its trace, for deeper calls that
    /// come without a `traceparent`.
    pub(crate) trace: Option<TraceContext>,
    started: Instant,
    /// Work that the chain above had spent when the call started.
    work_spent_before: Duration,
    deeper: Mutex<DeeperCalls>,
    went_deeper: AtomicBool,
    /// A deeper call of it found no room.
    lacked_room: AtomicBool,
}

#[derive(Default)]
struct DeeperCalls {
    total: Duration,
    kinds: Vec<WorkKind>,
}

impl RunningCall {
    /// `nonce` is that of the call's ticket, if it has one.
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
            is_repeat: call.is_repeat,
            allowance: Arc::new(RetryAllowance::new(call.retries_given)),
            children: Mutex::new(nonce.map_or_else(
                ChildCalls::for_idempotent_parent,
                ChildCalls::for_ticketed_parent,
            )),
            trace: TraceContext::parse(&call.traceparent),
            started: Instant::now(),
            work_spent_before: Duration::from_micros(call.work_spent_us),
            deeper: Mutex::default(),
            went_deeper: AtomicBool::new(false),
            lacked_room: AtomicBool::new(false),
        }
    }

    pub(crate) fn work_spent_us(&self, now: Instant) -> u64 {
        let spent = self.work_spent_before + now.saturating_duration_since(self.started);
        u64::try_from(spent.as_micros()).unwrap_or(u64::MAX)
    }

    /// Notes that a deeper call begins, whatever becomes of it.
    pub(crate) fn child_call_began(&self) {
        self.went_deeper.store(true, Ordering::Release);
    }

    /// Whether its upstream began work on it for certain.
    pub(crate) fn went_deeper(&self) -> bool {
        self.went_deeper.load(Ordering::Acquire)
    }

    /// Counts one deeper call that has ended.
    pub(crate) fn child_call_ended(&self, kind: WorkKind, duration: Duration, answer: &Answer) {
        if lacked_room(answer) {
            self.lacked_room.store(true, Ordering::Release);
        }
        let mut deeper = self.deeper.lock().unwrap_or_else(PoisonError::into_inner);
        deeper.total += duration;
        if !deeper.kinds.contains(&kind) {
            deeper.kinds.push(kind);
        }
    }

    pub(crate) fn lacked_room(&self) -> bool {
        self.lacked_room.load(Ordering::Acquire)
    }

    /// Time spent on deeper calls, as if made one after the other.
    pub(crate) fn time_below(&self) -> Duration {
        self.deeper
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .total
            .min(self.started.elapsed())
    }

    pub(crate) fn deeper_kinds(&self) -> Vec<WorkKind> {
        self.deeper
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .kinds
            .clone()
    }
}

/// Until when an answer to the root request of a call is worth most.
pub(crate) fn objective_of(call: &Call) -> Option<Instant> {
    let left = Duration::from_micros(call.objective_left_us);
    (!left.is_zero()).then(|| Instant::now() + left)
}

/// All calls that the upstream is running, by the opaque header and by the
/// caller's own name of the request.
#[derive(Default)]
pub(crate) struct ContextTable {
    shards: [Mutex<HashMap<u64, Arc<RunningCall>>>; SHARDS],
    /// A request may be sent here again while its first send still runs.
    by_request: Mutex<HashMap<String, Vec<Arc<RunningCall>>>>,
}

/// Keeps a running call findable until it ends.
pub(crate) struct OpenContext<'a> {
    table: &'a ContextTable,
    handle: u64,
    request_id: String,
    pub(crate) running: Arc<RunningCall>,
}

impl ContextTable {
    /// Enters a call that is about to run.
    ///
    /// The handle is random: an upstream cannot name another call's by counting.
    ///
    /// `request_id` is empty where callers give their requests no names.
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
            running,
        }
    }

    /// The running call of a request that a deeper call is made for: its latest.
    pub(crate) fn find_by_request(&self, request_id: &str) -> Option<Arc<RunningCall>> {
        self.named().get(request_id)?.last().cloned()
    }

    fn named(&self) -> MutexGuard<'_, HashMap<String, Vec<Arc<RunningCall>>>> {
        self.by_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The running call that a deeper call names.
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
    /// Text of the opaque header.
    pub(crate) fn header(&self) -> String {
        format!("{:0width$x}", self.handle, width = CONTEXT_DIGITS)
    }
}

impl Drop for OpenContext<'_> {
    fn drop(&mut self) {
        self.table
            .shard(self.handle)
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.handle);
        if self.request_id.is_empty() {
            return;
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
