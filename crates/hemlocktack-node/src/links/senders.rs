//! Nodes that send calls here, and the outcomes of their calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::calls::{Arrival, ArrivalLimits, Arrivals, Resolution};
use hemlocktack_protocol::{Answer, Call, CallId};
use strum::IntoStaticStr;

use super::connection::Connection;
use crate::calls::Awaited;

/// The nodes that send calls to this node, with their calls.
///
/// Outlives connections: an answer goes to the connection that its call arrived on and to those
/// that a query for it arrived on.
pub(crate) struct Senders {
    arrivals: Mutex<Arrivals>,
    senders: Mutex<HashMap<NodeIncarnation, Arc<Sender>>>,
}

/// One incarnation of a node that has one or more links here.
pub(super) struct Sender {
    pub(super) identity: NodeIncarnation,
    state: Mutex<SenderState>,
}

#[derive(Default)]
struct SenderState {
    open_links: usize,
    calls: HashMap<CallId, OpenCall>,
}

/// A call that has not been answered yet.
struct OpenCall {
    request_id: String,
    arrived: Instant,
    awaited: Awaited,
    /// Connections on which the sender waits for the answer: the one that the call arrived on, and
    /// those that queries for it arrived on.
    reply_to: Vec<Connection>,
}

impl OpenCall {
    fn has_no_link(&self) -> bool {
        self.reply_to.iter().all(Connection::is_closed)
    }

    /// Records that nobody waits for it, since `left_at` if that is known.
    fn cancel(&self, left_at: Option<Instant>) -> CancelledCall {
        self.awaited.cancel();
        CancelledCall {
            request_id: self.request_id.clone(),
            elapsed: self.arrived.elapsed(),
            was_started_late: left_at.is_some_and(|at| self.awaited.was_started_after(at)),
            phase: match self.awaited.is_started() {
                true => CallPhase::Running,
                false => CallPhase::Waiting,
            },
        }
    }
}

/// What a cancellation found.
pub(super) enum Cancelled {
    /// A call that is not answered yet; its answer follows.
    Open(CancelledCall),
    /// No such call; this is all that is known of it.
    NotOpen(Resolution),
}

/// A call that its sender has cancelled.
pub(super) struct CancelledCall {
    pub(super) request_id: String,
    /// Time since it arrived.
    pub(super) elapsed: Duration,
    pub(super) phase: CallPhase,
    /// It was started after its caller had left.
    pub(super) was_started_late: bool,
}

/// Where a call was when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum CallPhase {
    /// It waited to be started.
    Waiting,
    /// It had been sent to the upstream.
    Running,
}

impl Default for Senders {
    fn default() -> Self {
        Self {
            arrivals: Mutex::new(Arrivals::new(ArrivalLimits::default())),
            senders: Mutex::default(),
        }
    }
}

impl Senders {
    pub(super) fn connected(&self, identity: &NodeIncarnation) -> Arc<Sender> {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = senders
            .entry(identity.clone())
            .or_insert_with(|| Sender::new(identity.clone()))
            .clone();
        sender.state().open_links += 1;
        sender
    }

    /// Removes a sender whose last link is closed and that has no running calls. The outcomes of
    /// its calls stay in `arrivals`, which is bounded. Returns whether calls are left that have no
    /// open link.
    pub(super) fn disconnected(&self, sender: &Sender) -> bool {
        sender.state().open_links -= 1;
        let calls_left = self.mark_without_link(sender);
        self.forget_if_gone(sender);
        calls_left
    }

    /// Marks the calls of a sender that have no open link; returns whether there are any.
    pub(super) fn mark_without_link(&self, sender: &Sender) -> bool {
        let state = sender.state();
        let without_link = state.calls.values().filter(|call| call.has_no_link());
        let now = Instant::now();
        let marked = without_link.inspect(|call| call.awaited.sender_left(now));
        marked.count() > 0
    }

    /// Registers a call that arrived on this connection. Returns `None` for a call that arrived
    /// before.
    ///
    /// The arrival is recorded and the call registered under one lock. A query in between would be
    /// told that the call runs, and its connection would not get the answer.
    pub(super) fn begin_call(
        &self,
        sender: &Sender,
        call: &Call,
        received_on: &Connection,
    ) -> Option<Awaited> {
        let mut state = sender.state();
        if self
            .arrivals()
            .record_arrival(&sender.identity, call.call_id)
            != Arrival::New
        {
            return None;
        }
        let awaited = Awaited::default();
        let open_call = OpenCall {
            request_id: call.request_id.clone(),
            arrived: Instant::now(),
            awaited: awaited.clone(),
            reply_to: vec![received_on.clone()],
        };
        state.calls.insert(call.call_id, open_call);
        Some(awaited)
    }

    /// Returns the state of a call that its sender queries over this connection, on which the
    /// sender waits from now on.
    ///
    /// A query on a lost connection may be read after the one on the next connection, so the
    /// answer goes to all open ones.
    pub(super) fn resolve(
        &self,
        sender: &Sender,
        call_id: CallId,
        queried_on: &Connection,
    ) -> Resolution {
        let mut state = sender.state();
        if let Some(call) = state.calls.get_mut(&call_id) {
            call.reply_to.retain(|connection| !connection.is_closed());
            call.reply_to.push(queried_on.clone());
            call.awaited.sender_returned();
        }
        self.arrivals().resolve(&sender.identity, call_id)
    }

    /// Keeps an answer for later queries, removes its call, and returns the connections on which
    /// the sender waits.
    pub(super) fn finish(&self, sender: &Sender, answer: &Answer) -> Vec<Connection> {
        let kept = Some(Arc::new(answer.clone()));
        let mut state = sender.state();
        self.arrivals()
            .finish(&sender.identity, answer.call_id, kept);
        let ended = state.calls.remove(&answer.call_id);
        let is_gone = state.is_gone();
        drop(state);
        if is_gone {
            self.forget_if_gone(sender);
        }
        ended.map_or_else(Vec::new, |call| call.reply_to)
    }

    /// Cancels a call. One that has not arrived yet is fenced, so that its frame is dropped when it
    /// does: it may be held up on a link that is lost, and the cancellation came over the next one.
    /// Its caller left at `left_at`.
    pub(super) fn cancel(&self, sender: &Sender, call_id: CallId, left_at: Instant) -> Cancelled {
        let state = sender.state();
        if let Some(call) = state.calls.get(&call_id) {
            return Cancelled::Open(call.cancel(Some(left_at)));
        }
        Cancelled::NotOpen(self.arrivals().resolve(&sender.identity, call_id))
    }

    fn forget_if_gone(&self, sender: &Sender) {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        // A newer link may have created a newer entry of the same identity.
        let is_listed = senders
            .get(&sender.identity)
            .is_some_and(|listed| std::ptr::eq(Arc::as_ptr(listed), sender));
        if is_listed && sender.state().is_gone() {
            senders.remove(&sender.identity);
        }
    }

    fn arrivals(&self) -> MutexGuard<'_, Arrivals> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SenderState {
    fn is_gone(&self) -> bool {
        self.open_links == 0 && self.calls.is_empty()
    }
}

impl Sender {
    fn new(identity: NodeIncarnation) -> Arc<Self> {
        Arc::new(Self {
            identity,
            state: Mutex::default(),
        })
    }

    /// Cancels the calls for which this sender has not returned within the time.
    pub(super) fn cancel_unresolved(&self, limit: Duration) -> Vec<(CallId, CancelledCall)> {
        let state = self.state();
        let is_unresolved = |call: &OpenCall| {
            let away_since = call.awaited.away_since();
            away_since.is_some_and(|since| since.elapsed() >= limit)
        };
        let unresolved = state.calls.iter().filter(|(_, call)| is_unresolved(call));
        unresolved
            .map(|(call_id, call)| (*call_id, call.cancel(None)))
            .collect()
    }

    fn state(&self) -> MutexGuard<'_, SenderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
