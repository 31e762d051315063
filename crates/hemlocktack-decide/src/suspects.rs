//! Queue of suspected calls at one upstream, and the one that runs.

use hemlocktack_protocol::CallId;

use crate::queue::QueuedCall;

/// Maximum number of queued suspects. They run one after the other, so that further ones would
/// not start before their callers time out.
const MAX_WAITING: usize = 64;

/// Suspects are queued separately so that they do not delay other calls, and run one at a time,
/// so that a crash identifies the one that was running.
#[derive(Debug)]
pub(crate) struct SuspectQueue {
    waiting: Vec<QueuedCall>,
    running: Option<CallId>,
}

impl SuspectQueue {
    pub(crate) fn new() -> Self {
        SuspectQueue {
            waiting: Vec::with_capacity(MAX_WAITING),
            running: None,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Queues a call; returns false if the queue is full.
    pub(crate) fn push(&mut self, call: QueuedCall) -> bool {
        let has_room = self.waiting.len() < MAX_WAITING;
        if has_room {
            self.waiting.push(call);
        }
        has_room
    }

    /// Removes a call; returns false if it is not queued.
    pub(crate) fn remove(&mut self, call_id: CallId) -> bool {
        let index = self.waiting.iter().position(|call| call.call_id == call_id);
        let Some(index) = index else {
            return false;
        };
        self.waiting.remove(index);
        true
    }

    /// Removes the next call to run, unless a suspect is running.
    pub(crate) fn next(&mut self) -> Option<QueuedCall> {
        let is_due = self.running.is_none() && !self.waiting.is_empty();
        is_due.then(|| self.waiting.remove(0))
    }

    pub(crate) fn started(&mut self, call_id: CallId) {
        self.running = Some(call_id);
    }

    pub(crate) fn ended(&mut self, call_id: CallId) {
        if self.running == Some(call_id) {
            self.running = None;
        }
    }

    /// Removes and returns the suspect that was running when the upstream crashed.
    pub(crate) fn take_running(&mut self) -> Option<CallId> {
        self.running.take()
    }

    pub(crate) fn take_matching(
        &mut self,
        matches: impl Fn(&QueuedCall) -> bool,
        taken: impl FnMut(QueuedCall),
    ) {
        self.waiting
            .extract_if(.., |call| matches(call))
            .for_each(taken);
    }
}
