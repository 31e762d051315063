//! Cancellations of calls that were sent to other nodes, until their receivers confirm them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::future::join_all;
use hemlocktack_fleet::calls::Cancellations;
use hemlocktack_protocol::{CallId, CancelCall, frame, whole_micros};
use hemlocktack_telemetry::{Event, log_event};
use tokio::sync::Notify;

use super::connection::Connection;
use super::dial::{DIAL_TIMEOUT, Link};
use super::outgoing::{Links, REDIAL_PAUSE};
use crate::node::Node;

/// Unconfirmed cancellations of one link, which outlive its connections.
#[derive(Clone)]
pub(super) struct LinkCancellations {
    unconfirmed: Arc<Mutex<Cancellations>>,
    /// Some were not sent, or the connection that they were sent over was lost.
    has_unsent: Arc<AtomicBool>,
    /// Wakes the task that opens links for cancellations.
    waiting: Arc<Notify>,
}

impl LinkCancellations {
    pub(super) fn new(waiting: Arc<Notify>) -> Self {
        Self {
            unconfirmed: Arc::default(),
            has_unsent: Arc::default(),
            waiting,
        }
    }

    /// Cancels a call that was sent over this connection and that nobody waits for any longer.
    /// Returns whether no byte of it was written, so that it never arrives.
    pub(super) fn cancel(
        &self,
        call_id: CallId,
        connection: &Connection,
        deadline: Instant,
    ) -> bool {
        if connection.remove_unsent(call_id) {
            return true;
        }
        let receiver = connection.peer_incarnation;
        self.lock().add(call_id, receiver, Instant::now(), deadline);
        if send(connection, call_id, Duration::ZERO) {
            return false;
        }
        log_event!(
            Event::CancelledWithoutLink,
            call_id,
            peer_incarnation = receiver
        );
        self.want_link();
        false
    }

    /// Sends all of them over a new connection, before any call.
    pub(super) fn send_over(&self, connection: &Connection) {
        self.has_unsent.store(false, Ordering::Release);
        let unconfirmed = self
            .lock()
            .to_send(connection.peer_incarnation, Instant::now());
        for (call_id, left_ago) in unconfirmed {
            send(connection, call_id, left_ago);
        }
    }

    pub(super) fn confirm(&self, call_id: CallId) {
        self.lock().confirm(call_id);
    }

    /// What was sent over a lost link may not have arrived.
    pub(super) fn link_lost(&self) {
        if !self.is_empty() {
            self.want_link();
        }
    }

    fn want_link(&self) {
        self.has_unsent.store(true, Ordering::Release);
        self.waiting.notify_one();
    }

    fn has_unsent(&self) -> bool {
        self.has_unsent.load(Ordering::Acquire) && !self.is_empty()
    }

    fn is_empty(&self) -> bool {
        self.lock().is_empty(Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, Cancellations> {
        self.unconfirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn send(connection: &Connection, call_id: CallId, left_ago: Duration) -> bool {
    connection.send_urgent(frame::Body::Cancel(CancelCall {
        call_id,
        left_ago_us: whole_micros(left_ago),
        queued_at_us: whole_micros(connection.age()),
    }))
}

/// Sends this node's cancellations whose connection was lost, for the lifetime of the process.
pub(crate) async fn send_cancellations(node: Arc<Node>) {
    node.links.send_cancellations().await;
}

impl Links {
    /// Sends cancellations whose connection was lost, over a new one if there is none.
    pub(super) async fn send_cancellations(&self) {
        loop {
            self.cancellations_waiting.notified().await;
            loop {
                let links = self.with_unsent_cancellations();
                if links.is_empty() {
                    break;
                }
                let sending = links.iter().map(|link| self.send_unsent(link));
                join_all(sending).await;
                tokio::time::sleep(REDIAL_PAUSE).await;
            }
        }
    }

    fn with_unsent_cancellations(&self) -> Vec<Arc<Link>> {
        let links = self.links.load();
        let links = links.values();
        links
            .filter(|link| link.cancellations.has_unsent())
            .cloned()
            .collect()
    }

    /// Opens the link, which sends its cancellations; sends them if it has been opened meanwhile.
    async fn send_unsent(&self, link: &Link) {
        let deadline = Instant::now() + DIAL_TIMEOUT;
        let Some(connection) = self.connect(link, deadline).await else {
            return;
        };
        if link.cancellations.has_unsent() {
            link.cancellations.send_over(&connection);
        }
    }
}
