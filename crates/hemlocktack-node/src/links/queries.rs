//! Questions between nodes that are no calls: status, spans, configuration, drain.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use hemlocktack_protocol::{Incarnation, frame};
use tokio::sync::oneshot;

use super::connection::Connection;
use super::outgoing::{Links, Peer};

type Waiting = HashMap<u64, oneshot::Sender<frame::Body>>;

/// Questions that wait for their answer, by query id.
#[derive(Clone, Default)]
pub(crate) struct PendingQueries {
    waiting: Arc<Mutex<Waiting>>,
}

impl PendingQueries {
    /// Hands an answer to whoever asked; one that nobody waits for is dropped.
    pub(super) fn settle(&self, body: frame::Body) {
        let Some(query_id) = query_id(&body) else {
            return;
        };
        let asker = self
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&query_id);
        if let Some(asker) = asker {
            let _ = asker.send(body);
        }
    }

    fn register(&self, query_id: u64) -> oneshot::Receiver<frame::Body> {
        let (asker, answer) = oneshot::channel();
        self.waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(query_id, asker);
        answer
    }

    fn forget(&self, query_id: u64) {
        self.waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&query_id);
    }
}

impl Links {
    /// Asks one node; `question` gets the query id to put into its message.
    pub(crate) async fn query(
        &self,
        peer: &Peer,
        deadline: Instant,
        question: impl FnOnce(u64) -> frame::Body,
    ) -> Option<frame::Body> {
        let link = self.link(peer);
        let connection = self.connect(&link, deadline).await?;
        self.query_over(&connection, deadline, question).await
    }

    /// Asks one start of a node and no other.
    pub(crate) async fn query_incarnation(
        &self,
        peer: &Peer,
        incarnation: Incarnation,
        deadline: Instant,
        question: impl FnOnce(u64) -> frame::Body,
    ) -> Option<frame::Body> {
        let link = self.link(peer);
        let connection = self.connect(&link, deadline).await?;
        if connection.peer_incarnation != incarnation {
            return None;
        }
        self.query_over(&connection, deadline, question).await
    }

    async fn query_over(
        &self,
        connection: &Connection,
        deadline: Instant,
        question: impl FnOnce(u64) -> frame::Body,
    ) -> Option<frame::Body> {
        let query_id = self.next_query_id.fetch_add(1, Ordering::Relaxed);
        let answer = self.queries.register(query_id);
        if !connection.send(question(query_id)).await {
            self.queries.forget(query_id);
            return None;
        }
        let answer = tokio::time::timeout_at(deadline.into(), answer).await;
        self.queries.forget(query_id);
        answer.ok()?.ok()
    }
}

fn query_id(body: &frame::Body) -> Option<u64> {
    match body {
        frame::Body::Status(status) => Some(status.query_id),
        frame::Body::Spans(spans) => Some(spans.query_id),
        frame::Body::DrainOrderAccepted(accepted) => Some(accepted.query_id),
        frame::Body::Configuration(document) => Some(document.query_id),
        frame::Body::HandoverAccepted(accepted) => Some(accepted.query_id),
        _ => None,
    }
}
