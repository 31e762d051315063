//! Suspected calls that wait at one upstream, and the one that runs.

use hemlocktack_protocol::CallId;

use crate::queue::Waiting;

/// Suspected calls that may wait. They are tried one after the other; more than
/// this would not come to their turn within a caller's patience.
const MOST_WAITING: usize = 64;

/// Suspects wait apart from other calls, which they must not hold up, and run
/// one at a time: if the upstream crashes meanwhile, the one is named.
#[derive(Debug)]
pub(crate) struct SuspectQueue {
    waiting: Vec<Waiting>,
    running: Option<CallId>,
}

impl SuspectQueue {
    pub(crate) fn new() -> Self {
        SuspectQueue {
            waiting: Vec::with_capacity(MOST_WAITING),
            running: None,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// False when no more may wait.
    pub(crate) fn push(&mut self, call: Waiting) -> bool {
        let has_room = self.waiting.len() < MOST_WAITING;
        if has_room {
            self.waiting.push(call);
        }
        has_room
    }

    /// False when no such call waits.
    pub(crate) fn remove(&mut self, call_id: CallId) -> bool {
        let index = self.waiting.iter().position(|call| call.call_id == call_id);
        let Some(index) = index else {
            return false;
        };
        self.waiting.remove(index);
        true
    }

    /// Takes out the call whose turn it is, if none runs.
    pub(crate) fn next(&mut self) -> Option<Waiting> {
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

    /// The suspect that ran when the upstream died.
    pub(crate) fn take_running(&mut self) -> Option<CallId> {
        self.running.take()
    }

    pub(crate) fn take_hopeless(
        &mut self,
        is_hopeless: impl Fn(&Waiting) -> bool,
        taken: impl FnMut(Waiting),
    ) {
        self.waiting
            .extract_if(.., |call| is_hopeless(call))
            .for_each(taken);
    }
}
