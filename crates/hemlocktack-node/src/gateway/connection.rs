//! One connection of a caller: the HTTP library serves it while requests come, and
//! a bare socket is all that stays of it while none does.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::{Builder, Parts};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::caller_socket::CallerSocket;
use super::tracked_body::TrackedBody;
use crate::node::Node;

/// A connection without a request for this long gives its buffers back. Upstreams
/// make one deeper call after another and keep theirs.
const REST_AFTER: Duration = Duration::from_millis(500);
/// Room for the request line and for what the library reads ahead, above the
/// operators' limit of a head.
const READ_AHEAD_BYTES: usize = 8 << 10;
/// No timer of this length ends before the runtime has looked at all sockets.
const LAST_LOOK: Duration = Duration::from_millis(1);

/// What comes next on a connection that the library serves.
enum Next {
    Ended(hyper::Result<()>),
    Close,
    Rest,
}

/// Serves a connection until one end closes it.
///
/// Failure: callers open a connection for one request and leave it open. Symptom:
/// each holds the library's buffers and the room of a whole call, twenty kilobytes,
/// and thousands of them cost a small machine its memory. Hearing of the next
/// request takes the socket alone.
pub(super) async fn serve<H, F>(node: Arc<Node>, stream: TcpStream, handle: H)
where
    H: Fn(Arc<Node>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<TrackedBody>> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut socket = CallerSocket::new(stream);
    while something_comes(&node, &socket).await {
        // In a box, so that a connection at rest keeps no room for it.
        let requests = Box::pin(serve_requests(&node, socket, handle));
        let Some(resting) = requests.await else {
            return;
        };
        socket = resting;
    }
}

/// Whether bytes or the far end's close come before this end closes.
async fn something_comes(node: &Node, socket: &CallerSocket) -> bool {
    tokio::select! {
        // A caller whose bytes were not read knows that nothing ran.
        biased;
        () = node.signals.closing.cancelled() => false,
        readable = socket.readable() => readable.is_ok(),
        () = idle_time_over(node) => comes_now(socket).await,
    }
}

/// Ends when a connection has been at rest for as long as operators allow by then: they
/// may allow more than at the beginning.
async fn idle_time_over(node: &Node) {
    let began = Instant::now();
    let mut allowed = node.client_limits().idle_timeout();
    while let Some(left) = allowed.checked_sub(began.elapsed()) {
        tokio::time::sleep(left).await;
        allowed = node.client_limits().idle_timeout();
    }
}

/// Whether bytes have come by now.
///
/// After a standstill a timer may end before the runtime has looked at the sockets;
/// before the next one ends it has.
async fn comes_now(socket: &CallerSocket) -> bool {
    let readable = tokio::time::timeout(LAST_LOOK, socket.readable()).await;
    matches!(readable, Ok(Ok(())))
}

/// What becomes of a connection whose time for a head is over: it may have run out
/// between two requests, or while bytes lie in the socket.
async fn after_head_timeout(socket: CallerSocket) -> Option<CallerSocket> {
    let goes_on = !socket.has_read_ahead() || comes_now(&socket).await;
    goes_on.then_some(socket)
}

/// Serves requests until the connection is closed, or until none has come for a
/// while: then the socket is given back.
async fn serve_requests<H, F>(
    node: &Arc<Node>,
    socket: CallerSocket,
    handle: H,
) -> Option<CallerSocket>
where
    H: Fn(Arc<Node>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<TrackedBody>> + Send + 'static,
{
    let traffic = socket.traffic();
    // Boxed as well: the library keeps room for it between two requests.
    let service = service_fn(|request| {
        let open_request = traffic.begin_request();
        let answering = answer(node.clone(), request, handle);
        async move {
            let response = answering.await;
            drop(open_request);
            Ok::<_, Infallible>(response)
        }
        .boxed()
    });
    let limits = node.client_limits();
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library counts the time between two requests as well.
        .header_read_timeout(limits.header_timeout().max(REST_AFTER * 2))
        .max_buf_size(limits.header_limit_bytes.saturating_add(READ_AHEAD_BYTES));
    let mut connection = builder.serve_connection(TokioIo::new(socket), service);
    let next = tokio::select! {
        // What has come is read before the connection counts as quiet.
        biased;
        ended = &mut connection => Next::Ended(ended),
        () = node.signals.closing.cancelled() => Next::Close,
        () = traffic.quiet_for(REST_AFTER) => Next::Rest,
    };
    match next {
        Next::Ended(Err(error)) if error.is_timeout() => {
            let socket = socket_of(connection.into_parts());
            return after_head_timeout(socket).await;
        }
        // With an error if its caller goes or sends what is no request: there is
        // nobody to tell.
        Next::Ended(_) => return None,
        Next::Close => Pin::new(&mut connection).graceful_shutdown(),
        Next::Rest => {
            Pin::new(&mut connection).graceful_shutdown();
            let ended = std::future::poll_fn(|context| connection.poll_without_shutdown(context));
            if let Some(Ok(())) = ended.now_or_never() {
                return Some(socket_of(connection.into_parts()));
            }
        }
    }
    let _ = connection.await;
    None
}

fn socket_of<S>(parts: Parts<TokioIo<CallerSocket>, S>) -> CallerSocket {
    parts.io.into_inner().with_read_ahead(parts.read_buf)
}

async fn answer<H, F>(
    node: Arc<Node>,
    request: Request<Incoming>,
    handle: H,
) -> Response<TrackedBody>
where
    H: Fn(Arc<Node>, Request<Incoming>) -> F,
    F: Future<Output = Response<TrackedBody>>,
{
    let mut response = handle(node.clone(), request).await;
    if node.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
