//! A listener whose connections outlive a planned stop's beginning.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlocktack_telemetry::{Event, log_event};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;

use super::connection;
use super::tracked_body::TrackedBody;
use crate::node::Node;

/// Pause after a failed accept: out of file descriptors, say, asking again at
/// once would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Answers that are ready leave within this time, also where the drain has taken
/// all of its own.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// Serves until the close.
///
/// A caller that closes its connection is noticed while its request waits: the
/// library drops the handler then, and with it all that the request still has
/// under way.
pub(super) async fn serve<H, F>(node: Arc<Node>, listener: TcpListener, handle: H)
where
    H: Fn(Arc<Node>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<TrackedBody>> + Send + 'static,
{
    // Waited for as connections are: none begins when none is left.
    let _waited_for = node.connections.token();
    loop {
        let accepted = tokio::select! {
            biased;
            () = node.signals.closing.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = connection::serve(node.clone(), stream, handle);
        node.connections.spawn(connection);
    }
}

/// Takes no request any more and waits for the answers of those that were read.
///
/// Failure: a caller goes on using its connection while the node stops. Its
/// request is read and passed on in the moment in which nothing else is in
/// flight, and the process ends under it: the caller gets no answer, and its
/// booking may have been made. From here on a connection is closed between two
/// requests or after an answer, so that the end of the process cuts none. Where the
/// drain's limit comes before an answer, the caller is told what is known by then.
pub(crate) async fn close(node: &Node) {
    node.signals.closing.cancel();
    node.connections.close();
    if connections_end_within(node, node.drain_time_left()).await {
        return;
    }
    let in_flight = node.counters.in_flight();
    log_event!(Event::DrainLimitReached, in_flight);
    node.signals.drain_limit_reached.cancel();
    connections_end_within(node, LAST_ANSWERS_TIME).await;
}

async fn connections_end_within(node: &Node, limit: Duration) -> bool {
    let ended = tokio::time::timeout(limit, node.connections.wait());
    ended.await.is_ok()
}

/// A short answer of the node itself.
pub(super) fn plain(response: Response<Bytes>) -> Response<TrackedBody> {
    response.map(|body| TrackedBody::new(Full::new(body), None))
}
