//! One process of a node, with the state machines that it drives.

use std::collections::{BTreeMap, BTreeSet};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::calls::{ArrivalLimits, Arrivals, PendingCalls};
use hemlocktack_fleet::handover::{HandoverLimits, IncomingHandovers, OutgoingHandover};
use hemlocktack_fleet::tickets::{ChildCalls, Nonce, TableLimits, Ticket, TicketTable};
use hemlocktack_protocol::CallId;

use crate::world::events::Event;
use crate::world::{At, RequestId, RunId, SendId, TimeMs};

// Small enough that a run reaches every limit.
const TABLE_LIMITS: TableLimits = TableLimits {
    records_per_epoch: 8,
    kept_epochs: 3,
    kept_answer_bytes: 2000,
    adopted_homes: 2,
};
const ARRIVAL_LIMITS: ArrivalLimits = ArrivalLimits {
    settled_per_sender: 4,
    senders: 6,
    forgotten_senders: 10_000,
    kept_answer_bytes: 2000,
};

/// What waits for the answer of a call that was sent to a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Waiter {
    Entry(SendId),
    Delegated(Nonce),
}

/// Who waits for the outcome of a ticket at its home.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Requester {
    Local(SendId),
    Peer { from: At, call_id: CallId },
}

/// A call of a caller or of an upstream at its entry node.
#[derive(Clone, Debug)]
pub(crate) struct EntryCall {
    pub(crate) request: RequestId,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) placements_left: u32,
    pub(crate) retries_left: u32,
    pub(crate) may_have_run: bool,
    pub(crate) waiting_for: Option<(At, CallId)>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum RunFor {
    Home(Nonce),
    Peer { from: At, call_id: CallId },
    Local(SendId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    Answer,
    Failed,
    Shed,
}

/// A request that runs in the upstream.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) run_for: RunFor,
    pub(crate) request: RequestId,
    pub(crate) end: RunEnd,
    pub(crate) token: u64,
    pub(crate) children: ChildCalls,
}

#[derive(Clone, Debug)]
pub(crate) struct Stop {
    pub(crate) since_ms: TimeMs,
    // Drain time limit of the operator; calls still in flight then are cut off.
    pub(crate) limit_ms: TimeMs,
    pub(crate) outgoing_handover: Option<OutgoingHandover>,
    // State before any offer; used only in runs without `CommitOnce`.
    pub(crate) initial_handover: Option<OutgoingHandover>,
    pub(crate) offered_to: Option<At>,
    pub(crate) offers_left: u32,
}

#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) at: At,
    pub(crate) name: NodeIncarnation,
    pub(crate) table: TicketTable,
    pub(crate) arrivals: Arrivals,
    pub(crate) incoming_handovers: IncomingHandovers,
    pub(crate) pending_calls: BTreeMap<At, PendingCalls<Waiter>>,
    pub(crate) links: BTreeMap<At, u64>,
    pub(crate) entries: BTreeMap<SendId, EntryCall>,
    pub(crate) requesters: BTreeMap<Nonce, Vec<Requester>>,
    pub(crate) home_calls: BTreeMap<Nonce, HomeCall>,
    // Used only in runs without `FenceOnRefusal`.
    pub(crate) told_not_run: BTreeSet<Nonce>,
    pub(crate) runs: BTreeMap<RunId, Run>,
    pub(crate) successions: BTreeMap<NodeIncarnation, NodeIncarnation>,
    pub(crate) stop: Option<Stop>,
    pub(crate) has_left: bool,
    pub(crate) frozen: bool,
    pub(crate) deferred: Vec<Event>,
    next_call_id: CallId,
}

/// A request that this home has admitted and that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct HomeCall {
    pub(crate) request: RequestId,
    pub(crate) send: SendId,
    pub(crate) ticket: Ticket,
    pub(crate) delegate: Option<(At, CallId)>,
    pub(crate) attempts_left: u32,
}

impl Process {
    pub(crate) fn new(at: At, name: NodeIncarnation) -> Process {
        let table = TicketTable::new(name.node_id.clone(), name.incarnation, TABLE_LIMITS);
        Process {
            at,
            name,
            table,
            arrivals: Arrivals::new(ARRIVAL_LIMITS),
            incoming_handovers: IncomingHandovers::new(HandoverLimits::default()),
            pending_calls: BTreeMap::new(),
            links: BTreeMap::new(),
            entries: BTreeMap::new(),
            requesters: BTreeMap::new(),
            home_calls: BTreeMap::new(),
            told_not_run: BTreeSet::new(),
            runs: BTreeMap::new(),
            successions: BTreeMap::new(),
            stop: None,
            has_left: false,
            frozen: false,
            deferred: Vec::new(),
            next_call_id: 0,
        }
    }

    pub(crate) fn next_call_id(&mut self) -> CallId {
        self.next_call_id += 1;
        self.next_call_id
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.entries.is_empty() && self.runs.is_empty() && self.table.in_flight_count() == 0
    }
}
