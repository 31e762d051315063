//! Admission queue in front of the upstream.
//!
//! All rules are in `hemlocktack_decide::Admission`. This module adds the lock, the waiting
//! tasks and the timer.

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

/// Longest sleep of the timer while no call is queued.
const IDLE_WAKEUP: Duration = Duration::from_millis(500);

/// Admission control and the calls that wait for its decision.
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

/// A slot of the upstream. Dropping it without [`AdmissionPermit::finish`] releases the slot
/// and counts the call as cancelled.
pub(crate) struct AdmissionPermit<'a> {
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

    /// Returns a slot for the call, immediately or after queueing, or the refusal.
    ///
    /// `offer` receives the id that this queue assigned to the call.
    pub(crate) async fn admit(
        &self,
        offer: impl FnOnce(CallId) -> OfferedCall,
    ) -> Result<AdmissionPermit<'_>, Refusal> {
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
        let mut admitted = AdmissionPermit {
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

    /// Applies the queue decisions that are due.
    pub(crate) fn apply_decisions(&self) {
        self.lock().apply_decisions(Instant::now());
    }

    /// Reads or changes the admission state and applies the resulting queue decisions.
    pub(crate) fn with_admission<T>(&self, use_admission: impl FnOnce(&mut Admission) -> T) -> T {
        let mut state = self.lock();
        let result = use_admission(&mut state.admission);
        state.apply_decisions(Instant::now());
        result
    }

    /// Reads or changes the admission state where that leads to no queue decision.
    pub(crate) fn with_admission_only<T>(
        &self,
        use_admission: impl FnOnce(&mut Admission) -> T,
    ) -> T {
        use_admission(&mut self.lock().admission)
    }

    /// Returns the crash quarantine status of a request, as far as this node knows.
    pub(crate) fn quarantine_status(&self, fingerprint: Fingerprint) -> QuarantineStatus {
        let mut state = self.lock();
        state
            .admission
            .quarantine()
            .status(fingerprint, Instant::now())
    }

    pub(crate) fn hint(&self, chain_level: ShedLevel) -> LoadHint {
        self.lock().admission.hint(chain_level, Instant::now())
    }

    /// Applies queue decisions whenever the admission's next deadline is reached.
    pub(crate) async fn run_timer(self: Arc<Self>) {
        loop {
            let wake = self.lock().admission.next_wake();
            let wake = wake.unwrap_or_else(|| Instant::now() + IDLE_WAKEUP);
            tokio::select! {
                () = tokio::time::sleep_until(wake.into()) => {}
                () = self.queue_changed.notified() => continue,
            }
            self.lock().apply_decisions(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueueState {
    fn apply_decisions(&mut self, now: Instant) {
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

    /// Starts a queued call, or releases its slot if its task was dropped in the meantime.
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

impl AdmissionPermit<'_> {
    /// Releases the slot; `child_wait` is the time that the call waited for its child calls.
    pub(crate) fn finish(mut self, ended: RunResult, child_wait: Duration) {
        self.finished = true;
        self.release(ended, child_wait);
    }

    fn release(&self, ended: RunResult, child_wait: Duration) {
        let now = Instant::now();
        let mut state = self.admission_queue.lock();
        state.waiting.remove(&self.call_id);
        match state.admission.cancel(self.call_id) {
            CancelResult::Running => state.admission.finish(self.call_id, ended, child_wait, now),
            CancelResult::Dequeued | CancelResult::UnknownCall => {}
        }
        state.apply_decisions(now);
    }
}

impl Drop for AdmissionPermit<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.release(RunResult::Cancelled, Duration::ZERO);
        }
    }
}
