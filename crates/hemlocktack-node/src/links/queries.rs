//! Queries to other nodes, apart from calls: status, spans, configuration, drain, handover.

use std::sync::atomic::Ordering;
use std::time::Instant;

use hemlocktack_protocol::{Incarnation, frame};
use tokio::sync::oneshot;

use super::connection::Connection;
use super::outgoing::{Links, Peer};
use super::registry::Registry;

/// Queries that wait for their answer, by query id.
pub(crate) type PendingQueries = Registry<oneshot::Sender<frame::Body>>;

/// Delivers an answer to the query that waits for it; drops it if none does.
pub(super) fn deliver(pending: &PendingQueries, body: frame::Body) {
    let Some(query_id) = query_id(&body) else {
        return;
    };
    if let Some(waiting) = pending.remove(query_id) {
        let _ = waiting.send(body);
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
        let (waiting, answer) = oneshot::channel();
        let _registered = self.queries.register(query_id, waiting);
        if !connection.send(build_query(query_id)).await {
            return None;
        }
        let answer = tokio::time::timeout_at(deadline.into(), answer).await;
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
