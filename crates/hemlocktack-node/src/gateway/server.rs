//! A listener whose connections outlive a planned stop's beginning.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlocktack_telemetry::{Event, log_event};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::leaving::LeavingBody;
use crate::node::Node;

/// Pause after a failed accept: out of file descriptors, say, asking again at
/// once would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Answers that are ready leave within this time, also where the drain has taken
/// all of its own.
const LEAST_CLOSING_TIME: Duration = Duration::from_millis(100);
/// Room for the request line and for what the library reads ahead, above the
/// operators' limit of a head.
const READ_AHEAD_BYTES: usize = 8 << 10;

/// Serves until the process ends.
///
/// A caller that closes its connection is noticed while its request waits: the
/// library drops the handler then, and with it all that the request still has
/// under way.
pub(super) async fn serve<H, F>(node: Arc<Node>, listener: TcpListener, handle: H)
where
    H: Fn(Arc<Node>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<LeavingBody>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.signals.closing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = serve_connection(node.clone(), stream, handle);
        node.connections.spawn(connection);
    }
}

/// Takes no request any more and waits for the answers of those that were read.
///
/// Failure: a caller goes on using its connection while the node stops. Its
/// request is read and passed on in the moment in which nothing else is in
/// flight, and the process ends under it: the caller gets no answer, and its
/// booking may have been made. From here on a connection is closed between two
/// requests or after an answer, so that the end of the process cuts none.
pub(crate) async fn close(node: &Node) {
    node.signals.closing.cancel();
    node.connections.close();
    let limit = node.drain_time_left().max(LEAST_CLOSING_TIME);
    if tokio::time::timeout(limit, node.connections.wait())
        .await
        .is_err()
    {
        let in_flight = node.counters.in_flight();
        log_event!(Event::DrainLimitReached, in_flight);
    }
}

async fn serve_connection<H, F>(node: Arc<Node>, stream: TcpStream, handle: H)
where
    H: Fn(Arc<Node>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<LeavingBody>> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = node.client_limits();
    let service = service_fn(|request| {
        let node = node.clone();
        async move {
            let mut response = handle(node.clone(), request).await;
            if node.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library counts the time between two requests as well, so that
        // this has to be the longer of the two limits.
        .header_read_timeout(limits.longest_silence())
        .max_buf_size(limits.header_limit_bytes + READ_AHEAD_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // It ends with an error if its caller goes or sends what is no request:
    // there is nobody to tell.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = node.signals.closing.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// A short answer of the node itself.
pub(super) fn plain(response: Response<Bytes>) -> Response<LeavingBody> {
    response.map(|body| LeavingBody::new(Full::new(body), None))
}
