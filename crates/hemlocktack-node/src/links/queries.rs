//! Queries to other nodes, apart from calls: status, spans, configuration, drain, handover.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use hemlocktack_protocol::{Incarnation, frame};
use tokio::sync::oneshot;

use super::connection::Connection;
use super::outgoing::{Links, Peer};

type Waiting = HashMap<u64, oneshot::Sender<frame::Body>>;

/// Queries that wait for their answer, by query id.
#[derive(Clone, Default)]
pub(crate) struct PendingQueries {
    waiting: Arc<Mutex<Waiting>>,
}

impl PendingQueries {
    /// Delivers an answer to the query that waits for it; drops it if none does.
    pub(super) fn deliver(&self, body: frame::Body) {
        let Some(query_id) = query_id(&body) else {
            return;
        };
        let reply_sender = self
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&query_id);
        if let Some(reply_sender) = reply_sender {
            let _ = reply_sender.send(body);
        }
    }

    fn register(&self, query_id: u64) -> oneshot::Receiver<frame::Body> {
        let (reply_sender, answer) = oneshot::channel();
        self.waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(query_id, reply_sender);
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
    /// Sends a query to a node; `build_query` receives the query id for its message.
    pub(crate) async fn query(
        &self,
        peer: &Peer,
        deadline: Instant,
        build_query: impl FnOnce(u64) -> frame::Body,
    ) -> Option<frame::Body> {
        let link = self.link(peer);
        let connection = self.connect(&link, deadline).await?;
        self.query_over(&connection, deadline, build_query).await
    }

    /// Sends a query to one incarnation of a node; `None` if another one answers.
    pub(crate) async fn query_incarnation(
        &self,
        peer: &Peer,
        incarnation: Incarnation,
        deadline: Instant,
        build_query: impl FnOnce(u64) -> frame::Body,
    ) -> Option<frame::Body> {
        let link = self.link(peer);
        let connection = self.connect(&link, deadline).await?;
        if connection.peer_incarnation != incarnation {
            return None;
        }
        self.query_over(&connection, deadline, build_query).await
    }

    async fn query_over(
        &self,
        connection: &Connection,
        deadline: Instant,
        build_query: impl FnOnce(u64) -> frame::Body,
    ) -> Option<frame::Body> {
        let query_id = self.next_query_id.fetch_add(1, Ordering::Relaxed);
        let answer = self.queries.register(query_id);
        if !connection.send(build_query(query_id)).await {
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
        frame::Body::QuotaGrant(grant) => Some(grant.query_id),
        _ => None,
    }
}
