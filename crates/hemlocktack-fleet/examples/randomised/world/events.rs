//! Events of a run, ordered by their virtual time.

use std::cmp::Ordering;

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::tickets::Nonce;
use hemlocktack_protocol::CallId;
use hemlocktack_protocol::frame::Body;

use crate::world::ledger::ReplyOutcome;
use crate::world::{At, RequestId, RunId, SendId, TimeMs};

#[derive(Clone, Debug)]
pub(crate) enum Event {
    // Events that concern no particular process.
    Fault,
    NewRequest,
    CallerSend(RequestId),
    CallerTimeout(SendId),
    Reply {
        send: SendId,
        told: ReplyOutcome,
    },
    Restart(usize),
    Wake(At),
    /// Event at one process; deferred while that is frozen.
    At(At, NodeEvent),
}

#[derive(Clone, Debug)]
pub(crate) enum NodeEvent {
    CallerCall(SendId),
    Frame {
        from: At,
        session: u64,
        body: Box<Body>,
    },
    Flush {
        to: At,
        call_id: CallId,
        body: Box<Body>,
    },
    LinkLost {
        peer: At,
        session: u64,
    },
    Dial(At),
    EntrySend(SendId),
    EntryDeadline(SendId),
    HomeStep(Nonce),
    DelegateDeadline {
        nonce: Nonce,
        call_id: CallId,
    },
    RunDone(RunId),
    ChildSend {
        run: RunId,
        key: u8,
    },
    Succession {
        home: NodeIncarnation,
        successor: NodeIncarnation,
    },
    StopStep,
}

#[derive(Debug)]
pub(crate) struct Timed {
    pub(crate) time_ms: TimeMs,
    pub(crate) sequence: u64,
    pub(crate) event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

// Earliest first in a max-heap.
impl Ord for Timed {
    fn cmp(&self, other: &Timed) -> Ordering {
        (other.time_ms, other.sequence).cmp(&(self.time_ms, self.sequence))
    }
}
