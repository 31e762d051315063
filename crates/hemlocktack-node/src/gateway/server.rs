//! HTTP listener that keeps serving open connections while the node drains.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlocktack_interface::Interface;
use hemlocktack_telemetry::{Event, log_event};
use http::{Request, Response};
use http_body_util::Full;
use tokio::net::TcpListener;

use super::connection::{self, RequestBody};
use super::tracked_body::TrackedBody;
use crate::node::Node;

/// Delay after a failed accept. Without it the loop would spin, for example while the
/// process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts and serves connections until the node closes its listeners.
///
/// If a caller disconnects while its request waits, hyper drops the handler, which
/// cancels everything that the request still has in progress.
///
/// With an interface of callers, pipelined requests are started early.
pub(super) async fn serve<H, F>(
    node: Arc<Node>,
    listener: TcpListener,
    handle: H,
    pipelining: Option<Interface>,
) where
    H: Fn(Arc<Node>, Request<RequestBody>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<TrackedBody>> + Send + 'static,
{
    // Makes `close` wait for this loop too, so that no connection starts after the last
    // one has ended.
    let _tracked = node.connections.token();
    loop {
        let accepted = tokio::select! {
            biased;
            () = node.signals.closing.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let connection = connection::serve(node.clone(), stream, handle, pipelining);
        node.connections.spawn(connection);
    }
}

/// Stops accepting requests and waits for the responses to those already read.
///
/// Without this, a request that arrives on a keep-alive connection just as the last call
/// ends would be forwarded and then cut by the exit of the process: the caller gets no
/// answer although its request may have run. From here on, connections are closed only
/// between two requests or after a response. If the drain limit is reached before a
/// response, the caller is told the outcome as far as it is known.
pub(crate) async fn close(node: &Node) {
    node.signals.closing.cancel();
    node.connections.close();
    if connections_end_within(node, node.drain_time_left()).await {
        return;
    }
    let in_flight = node.counters.in_flight();
    log_event!(Event::DrainLimitReached, in_flight);
    node.signals.drain_limit_reached.cancel();
    connections_end_within(node, node.final_responses_time()).await;
}

async fn connections_end_within(node: &Node, limit: Duration) -> bool {
    let ended = tokio::time::timeout(limit, node.connections.wait());
    ended.await.is_ok()
}

/// Wraps a response of the node itself, which does not count as a call in flight.
pub(super) fn untracked(response: Response<Bytes>) -> Response<TrackedBody> {
    response.map(|body| TrackedBody::new(Full::new(body), None))
}
