//! Those who send calls here, and what became of their calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::calls::{Arrival, ArrivalLimits, Arrivals, Resolution};
use hemlocktack_protocol::{Answer, CallId, frame};
use tokio_util::sync::CancellationToken;

use super::connection::Connection;

/// What this node remembers of those who send it calls.
///
/// It outlives connections: a call is answered, or asked about, over whichever
/// connection from the same sender is open by then.
pub(crate) struct Senders {
    arrivals: Mutex<Arrivals>,
    senders: Mutex<HashMap<NodeIncarnation, Arc<Sender>>>,
}

/// One start of a node that has a link here.
pub(super) struct Sender {
    pub(super) identity: NodeIncarnation,
    connection: ArcSwapOption<Connection>,
    cancellations: Mutex<HashMap<CallId, CancellationToken>>,
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
    pub(super) fn connected(
        &self,
        identity: &NodeIncarnation,
        connection: Connection,
    ) -> Arc<Sender> {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = senders
            .entry(identity.clone())
            .or_insert_with(|| Sender::new(identity.clone()))
            .clone();
        sender.connection.store(Some(Arc::new(connection)));
        sender
    }

    /// Forgets a sender whose last connection closed with no call of it running.
    /// What became of its calls stays known in `arrivals`, which is bounded.
    pub(super) fn disconnected(&self, sender: &Sender) {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        // A newer link may have brought a newer entry of the same identity.
        let is_listed = senders
            .get(&sender.identity)
            .is_some_and(|listed| std::ptr::eq(Arc::as_ptr(listed), sender));
        if is_listed && sender.is_closed() && sender.is_idle() {
            senders.remove(&sender.identity);
        }
    }

    pub(super) fn arrive(&self, sender: &Sender, call_id: CallId) -> Arrival {
        self.arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .arrive(&sender.identity, call_id)
    }

    pub(super) fn finish(&self, sender: &Sender, answer: &Answer) {
        let kept = Some(Arc::new(answer.clone()));
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.finish(&sender.identity, answer.call_id, kept);
    }

    pub(super) fn resolve(&self, sender: &Sender, call_id: CallId) -> Resolution {
        self.arrivals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .resolve(&sender.identity, call_id)
    }
}

impl Sender {
    pub(super) fn new(identity: NodeIncarnation) -> Arc<Self> {
        Arc::new(Self {
            identity,
            connection: ArcSwapOption::empty(),
            cancellations: Mutex::default(),
        })
    }

    pub(super) fn is_closed(&self) -> bool {
        self.connection
            .load()
            .as_ref()
            .is_none_or(|connection| connection.is_closed())
    }

    pub(super) fn is_idle(&self) -> bool {
        self.cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_empty()
    }

    /// Sends and waits until the frame has left; whether it has.
    ///
    /// Failure: a node stops while a large answer waits for a sender that reads
    /// slowly; the sender would get a part of it and a closed link.
    pub(super) async fn send_out(&self, body: frame::Body) -> bool {
        let Some(connection) = self.connection.load_full() else {
            return false;
        };
        connection.send(body).await && connection.flushed().await
    }
}

impl Sender {
    pub(super) fn register_cancellation(&self, call_id: CallId) -> CancellationToken {
        let token = CancellationToken::new();
        self.cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(call_id, token.clone());
        token
    }

    pub(super) fn forget_cancellation(&self, call_id: CallId) {
        self.cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&call_id);
    }

    pub(super) fn cancel(&self, call_id: CallId) {
        let token = self
            .cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&call_id)
            .cloned();
        if let Some(token) = token {
            token.cancel();
        }
    }
}
