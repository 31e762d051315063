//! The queue in front of the upstream: waits for what the admission decides.
//!
//! All rules are in `hemlocktack_decide::Admission`; here are only the lock,
//! the waiting and the waking.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, CancelResult, OfferedCall, QuarantineStatus,
    QueueDecision, RunResult, ShedLevel,
};
use hemlocktack_protocol::{CallId, Fingerprint, LoadHint, Reason, Refusal};
use tokio::sync::{Notify, oneshot};

/// Longest sleep of the waker while nothing waits.
const IDLE_WAKE: Duration = Duration::from_millis(500);

/// Admission with its waiting calls.
pub(crate) struct AdmissionQueue {
    state: Mutex<QueueState>,
    next_call_id: AtomicU64,
    queue_changed: Notify,
}

struct QueueState {
    admission: Admission,
    waiting: HashMap<CallId, oneshot::Sender<Result<(), Refusal>>>,
    decisions: Vec<QueueDecision>,
}

/// A slot of the upstream. Leaving it without [`Admitted::finish`] gives the
/// slot back as that of a cancelled call.
pub(crate) struct Admitted<'a> {
    admission_queue: &'a AdmissionQueue,
    call_id: CallId,
    finished: bool,
}

impl AdmissionQueue {
    pub(crate) fn new(policy: AdmissionPolicy) -> Self {
        let admission = Admission::new(policy, Instant::now());
        let state = QueueState {
            admission,
            waiting: HashMap::new(),
            decisions: Vec::new(),
        };
        Self {
            state: Mutex::new(state),
            next_call_id: AtomicU64::new(1),
            queue_changed: Notify::new(),
        }
    }

    /// A slot for the call, at once or after waiting, or the refusal.
    ///
    /// `offer` gets the number under which this queue knows the call.
    pub(crate) async fn admit(
        &self,
        offer: impl FnOnce(CallId) -> OfferedCall,
    ) -> Result<Admitted<'_>, Refusal> {
        let call_id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
        let verdict = {
            let mut state = self.lock();
            match state.admission.offer(&offer(call_id), Instant::now()) {
                AdmissionDecision::Run => None,
                AdmissionDecision::Refused(refusal) => return Err(refusal),
                AdmissionDecision::Queued => {
                    let (decided, decision) = oneshot::channel();
                    state.waiting.insert(call_id, decided);
                    Some(decision)
                }
            }
        };
        let mut admitted = Admitted {
            admission_queue: self,
            call_id,
            finished: false,
        };
        let Some(decision) = verdict else {
            return Ok(admitted);
        };
        self.queue_changed.notify_one();
        match decision.await {
            Ok(Ok(())) => Ok(admitted),
            Ok(Err(refusal)) => {
                admitted.finished = true;
                Err(refusal)
            }
            Err(_) => Err(Refusal {
                reason: Reason::Cancelled,
                retry_after: None,
            }),
        }
    }

    /// Reads or changes the admission and carries out what it then decides.
    pub(crate) fn with_admission<T>(&self, use_admission: impl FnOnce(&mut Admission) -> T) -> T {
        let mut state = self.lock();
        let result = use_admission(&mut state.admission);
        state.carry_out(Instant::now());
        result
    }

    /// How a request stands in the crash quarantine, as far as this node heard.
    pub(crate) fn quarantine_status(&self, fingerprint: Fingerprint) -> QuarantineStatus {
        let mut state = self.lock();
        state
            .admission
            .quarantine()
            .status(fingerprint, Instant::now())
    }

    pub(crate) fn hint(&self, chain_level: ShedLevel) -> LoadHint {
        self.lock().admission.hint(chain_level)
    }

    /// Wakes the queue when the admission asks for it.
    pub(crate) async fn run_timer(self: Arc<Self>) {
        loop {
            let wake = self.lock().admission.next_wake();
            let wake = wake.unwrap_or_else(|| Instant::now() + IDLE_WAKE);
            tokio::select! {
                () = tokio::time::sleep_until(wake.into()) => {}
                () = self.queue_changed.notified() => continue,
            }
            self.lock().carry_out(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueueState {
    fn carry_out(&mut self, now: Instant) {
        let mut decisions = std::mem::take(&mut self.decisions);
        self.admission.take_decisions(now, &mut decisions);
        for decision in decisions.drain(..) {
            match decision {
                QueueDecision::Run(call_id) => self.run(call_id, now),
                QueueDecision::Refuse(call_id, refusal) => self.refuse(call_id, refusal),
            }
        }
        self.decisions = decisions;
    }

    /// A call whose waiter has gone meanwhile gives its slot back.
    fn run(&mut self, call_id: CallId, now: Instant) {
        let waiter = self.waiting.remove(&call_id);
        let taken = waiter.is_some_and(|waiter| waiter.send(Ok(())).is_ok());
        if !taken {
            self.admission
                .finish(call_id, RunResult::Cancelled, Duration::ZERO, now);
        }
    }

    fn refuse(&mut self, call_id: CallId, refusal: Refusal) {
        if let Some(waiter) = self.waiting.remove(&call_id) {
            let _ = waiter.send(Err(refusal));
        }
    }
}

impl Admitted<'_> {
    /// Gives the slot back; `time_below` is the time spent on deeper calls.
    pub(crate) fn finish(mut self, ended: RunResult, time_below: Duration) {
        self.finished = true;
        self.give_back(ended, time_below);
    }

    fn give_back(&self, ended: RunResult, time_below: Duration) {
        let now = Instant::now();
        let mut state = self.admission_queue.lock();
        state.waiting.remove(&self.call_id);
        match state.admission.cancel(self.call_id) {
            CancelResult::Running => state.admission.finish(self.call_id, ended, time_below, now),
            CancelResult::Dequeued | CancelResult::UnknownCall => {}
        }
        state.carry_out(now);
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.give_back(RunResult::Cancelled, Duration::ZERO);
        }
    }
}
