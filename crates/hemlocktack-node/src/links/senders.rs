//! Those who send calls here, and what became of their calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::calls::{Arrival, ArrivalLimits, Arrivals, Resolution};
use hemlocktack_protocol::{Answer, CallId};
use tokio_util::sync::CancellationToken;

use super::connection::Connection;

/// What this node remembers of those who send it calls.
///
/// It outlives connections: an answer goes to the connection that its call came over
/// and to those that it was asked about over.
pub(crate) struct Senders {
    arrivals: Mutex<Arrivals>,
    senders: Mutex<HashMap<NodeIncarnation, Arc<Sender>>>,
}

/// One start of a node that has a link here, or several.
pub(super) struct Sender {
    pub(super) identity: NodeIncarnation,
    state: Mutex<SenderState>,
}

#[derive(Default)]
struct SenderState {
    open_links: usize,
    calls: HashMap<CallId, OpenCall>,
}

/// A call that has no answer yet.
struct OpenCall {
    cancelled: CancellationToken,
    /// Where its sender waits for the answer: the connection that it came over, and
    /// those that it was asked for over.
    reply_to: Vec<Connection>,
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

    /// Forgets a sender whose last link closed with no call of it running. What
    /// became of its calls stays known in `arrivals`, which is bounded.
    pub(super) fn disconnected(&self, sender: &Sender) {
        sender.state().open_links -= 1;
        self.forget_if_gone(sender);
    }

    /// Lists a call that came over this connection; what it returns is cancelled when
    /// nobody waits for the call any more. `None` for a call that came before.
    ///
    /// Noted and listed in one step, as a question that came between the two would be
    /// told that the call runs, and its connection would not hear of the answer.
    pub(super) fn begin_call(
        &self,
        sender: &Sender,
        call_id: CallId,
        came_over: &Connection,
    ) -> Option<CancellationToken> {
        let mut state = sender.state();
        if self.arrivals().record_arrival(&sender.identity, call_id) != Arrival::New {
            return None;
        }
        let cancelled = CancellationToken::new();
        let call = OpenCall {
            cancelled: cancelled.clone(),
            reply_to: vec![came_over.clone()],
        };
        state.calls.insert(call_id, call);
        Some(cancelled)
    }

    /// What became of a call that its sender asks about over this connection, where it
    /// waits from now on.
    ///
    /// A question may lie on a lost connection and be read after the one over the
    /// next, so the answer goes to all that are open.
    pub(super) fn resolve(
        &self,
        sender: &Sender,
        call_id: CallId,
        asked_over: &Connection,
    ) -> Resolution {
        let mut state = sender.state();
        if let Some(call) = state.calls.get_mut(&call_id) {
            call.reply_to.retain(|connection| !connection.is_closed());
            call.reply_to.push(asked_over.clone());
        }
        self.arrivals().resolve(&sender.identity, call_id)
    }

    /// Keeps an answer for questions, takes its call off the list, and says where its
    /// sender waits.
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

    fn forget_if_gone(&self, sender: &Sender) {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        // A newer link may have brought a newer entry of the same identity.
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

    fn state(&self) -> MutexGuard<'_, SenderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn cancel(&self, call_id: CallId) {
        if let Some(call) = self.state().calls.get(&call_id) {
            call.cancelled.cancel();
        }
    }
}
