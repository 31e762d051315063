//! One connection of a caller. Hyper serves it while requests arrive; while it is
//! idle, only the bare socket is kept.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::FutureExt;
use hemlocktack_interface::Interface;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use http_body_util::{Either, Empty};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::{Builder, Parts};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::caller_socket::{Activity, CallerSocket};
use super::look_ahead::{EarlyEnd, EarlyRequest, LookAhead};
use super::request_log::log_unsent;
use super::tracked_body::TrackedBody;
use crate::node::Node;
use crate::sockets;

/// A connection without a request for this long releases its buffers. Connections of
/// upstreams, which make child calls in quick succession, keep theirs.
const IDLE_AFTER: Duration = Duration::from_millis(500);
/// How long a caller may leave a response unread while bodies wait for memory.
const MAX_UNREAD: Duration = Duration::from_secs(2);
const UNREAD_RECHECK: Duration = Duration::from_millis(500);
/// Buffer space beyond the configured header limit, for the request line and for
/// bytes that hyper reads ahead.
const READ_AHEAD_BYTES: usize = 8 << 10;
/// Long enough that the runtime polls all sockets before a timer of this length fires.
const FINAL_POLL_TIMEOUT: Duration = Duration::from_millis(1);

/// Body of a request; that of an early request is empty.
pub(super) type RequestBody = Either<Incoming, Empty<Bytes>>;

/// Extension of a response that names its request, for the log.
#[derive(Clone)]
pub(super) struct RequestId(pub(super) String);

/// Logs a response that has not been written as a whole when its connection ends.
struct UnsentGuard<'a> {
    node: &'a Node,
    activity: &'a Activity,
}

impl Drop for UnsentGuard<'_> {
    fn drop(&mut self) {
        if let Some(request_id) = self.activity.take_unsent_response() {
            log_unsent(self.node, &request_id);
        }
    }
}

/// The caller has left without waiting for its response, which ends its connection.
#[derive(Debug, Display, Error)]
#[display("the caller has left")]
struct CallerLeft;

/// Why hyper stops serving a connection.
enum ServeEnd {
    Ended(hyper::Result<()>),
    Closing,
    Idle,
    /// Its caller reads no response, whose memory others wait for.
    Unread,
}

/// Serves a connection until either end closes it.
///
/// Callers open a connection for one request and leave it open. With hyper's buffers
/// and the state of a call, each such connection held 20 KB, and thousands of them
/// exhausted the memory of a small machine. An idle connection is therefore reduced
/// to its socket, which is enough to notice the next request.
pub(super) async fn serve<H, F>(
    node: Arc<Node>,
    stream: TcpStream,
    handle: H,
    pipelining: Option<Interface>,
) where
    H: Fn(Arc<Node>, Request<RequestBody>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<TrackedBody>> + Send + 'static,
{
    if sockets::configure_caller(&stream).is_err() {
        return;
    }
    let mut socket = CallerSocket::new(stream);
    while wait_for_data(&node, &socket).await {
        // Boxed, so that an idle connection does not keep memory for it.
        let requests = Box::pin(serve_requests(&node, socket, handle, pipelining));
        let Some(idle_socket) = requests.await else {
            return;
        };
        socket = idle_socket;
    }
}

/// Returns whether data or the peer's close arrives before the node closes the connection.
async fn wait_for_data(node: &Node, socket: &CallerSocket) -> bool {
    tokio::select! {
        // Closing comes first: a caller whose bytes were never read knows that nothing ran.
        biased;
        () = node.signals.closing.cancelled() => false,
        readable = socket.readable() => readable.is_ok(),
        () = idle_timeout(node) => has_data(socket).await,
    }
}

/// Completes when a connection has been idle for the configured timeout. The timeout is
/// read again when it elapses, because operators may have raised it meanwhile.
async fn idle_timeout(node: &Node) {
    let began = Instant::now();
    let mut allowed = node.client_limits().idle_timeout();
    while let Some(left) = allowed.checked_sub(began.elapsed()) {
        tokio::time::sleep(left).await;
        allowed = node.client_limits().idle_timeout();
    }
}

/// Returns whether data has already arrived.
///
/// After the process was stalled, a timer may fire before the runtime has polled the
/// sockets. By the time a second timer fires, it has.
async fn has_data(socket: &CallerSocket) -> bool {
    let readable = tokio::time::timeout(FINAL_POLL_TIMEOUT, socket.readable()).await;
    matches!(readable, Ok(Ok(())))
}

/// Returns the socket of a connection after hyper's header timeout, if it stays open.
/// The timeout may have elapsed between two requests, or with unread bytes in the socket.
async fn after_header_timeout(socket: CallerSocket) -> Option<CallerSocket> {
    let stays_open = !socket.has_read_ahead() || has_data(&socket).await;
    stays_open.then_some(socket)
}

/// Serves requests until the connection is closed or becomes idle; returns the socket
/// of an idle connection.
async fn serve_requests<H, F>(
    node: &Arc<Node>,
    socket: CallerSocket,
    handle: H,
    pipelining: Option<Interface>,
) -> Option<CallerSocket>
where
    H: Fn(Arc<Node>, Request<RequestBody>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<TrackedBody>> + Send + 'static,
{
    let activity = socket.activity();
    let _unsent = UnsentGuard {
        node,
        activity: &activity,
    };
    let watch = socket.watch();
    let stream = socket.stream();
    let new_look_ahead = |interface| LookAhead::new(node, interface, &socket);
    let look_ahead = pipelining.map(new_look_ahead).map(Arc::new);
    let socket = socket.with_look_ahead(look_ahead.clone());
    // Boxed as well, because hyper reserves memory for the future between two requests.
    let service = service_fn(|request: Request<Incoming>| {
        let open_request = activity.begin_request();
        let (mut head, body) = request.into_parts();
        head.extensions.insert(watch.clone());
        let has_body = !body.is_end_stream();
        let look_ahead = look_ahead.clone();
        let early = look_ahead
            .as_ref()
            .and_then(|look_ahead| look_ahead.begin(&mut head, has_body));
        let request = Request::from_parts(head, Either::Left(body));
        let answering = answer(node.clone(), request, handle, early, look_ahead);
        let (activity, watch) = (activity.clone(), watch.clone());
        async move {
            let mut response = tokio::select! {
                biased;
                response = answering => response?,
                () = watch.left() => return Err(CallerLeft),
            };
            if let Some(RequestId(id)) = response.extensions_mut().remove() {
                activity.response_ready(id);
            }
            drop(open_request);
            Ok(response)
        }
        .boxed()
    });
    let limits = node.client_limits();
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        // Hyper's timeout also covers the time between two requests.
        .header_read_timeout(limits.header_timeout().max(IDLE_AFTER * 2))
        .max_buf_size(limits.header_limit_bytes.saturating_add(READ_AHEAD_BYTES));
    let mut connection = builder.serve_connection(TokioIo::new(socket), service);
    let end = tokio::select! {
        // Data that has arrived is read before the connection counts as idle.
        biased;
        ended = &mut connection => ServeEnd::Ended(ended),
        () = node.signals.closing.cancelled() => ServeEnd::Closing,
        () = activity.idle_for(IDLE_AFTER) => ServeEnd::Idle,
        () = unread_while_others_wait(node, &activity) => ServeEnd::Unread,
        never = run_look_ahead(look_ahead.as_deref(), &stream) => match never {},
    };
    match end {
        ServeEnd::Ended(Err(error)) if error.is_timeout() => {
            let socket = socket_of(connection.into_parts());
            return after_header_timeout(socket).await;
        }
        // An error means that the caller disconnected or sent invalid HTTP; there is
        // nobody to report it to.
        ServeEnd::Ended(_) | ServeEnd::Unread => return None,
        ServeEnd::Closing => {
            tokio::select! {
                biased;
                _ = &mut connection => return None,
                () = end_look_ahead(look_ahead.as_deref()) => {}
            }
            Pin::new(&mut connection).graceful_shutdown();
        }
        ServeEnd::Idle => {
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

/// Completes when the caller has read nothing of its response for [`MAX_UNREAD`] and bodies wait for
/// memory. Otherwise callers that read nothing would keep all of it.
async fn unread_while_others_wait(node: &Node, activity: &Activity) {
    loop {
        activity.unread_for(MAX_UNREAD).await;
        if node.memory.waiting_count() > 0 {
            return;
        }
        tokio::time::sleep(UNREAD_RECHECK).await;
    }
}

/// Runs the look-ahead, if there is one, as long as the connection is served.
async fn run_look_ahead(look_ahead: Option<&LookAhead>, stream: &TcpStream) -> Infallible {
    match look_ahead {
        Some(look_ahead) => look_ahead.run(stream).await,
        None => std::future::pending().await,
    }
}

/// Ends the look-ahead, if there is one, and completes once hyper has read all requests that
/// were started early.
async fn end_look_ahead(look_ahead: Option<&LookAhead>) {
    if let Some(look_ahead) = look_ahead {
        look_ahead.end();
        look_ahead.all_taken().await;
    }
}

/// Answers a request that hyper has read, with its early response if it was started early.
async fn answer<H, F>(
    node: Arc<Node>,
    request: Request<RequestBody>,
    handle: H,
    early: Option<EarlyRequest>,
    look_ahead: Option<Arc<LookAhead>>,
) -> Result<Response<TrackedBody>, CallerLeft>
where
    H: Fn(Arc<Node>, Request<RequestBody>) -> F,
    F: Future<Output = Response<TrackedBody>>,
{
    let early_end = match early {
        Some(early) => Some(early.wait().await),
        None => None,
    };
    let mut response = match early_end {
        Some(EarlyEnd::Answered(response)) => response,
        Some(EarlyEnd::CallerLeft) => return Err(CallerLeft),
        Some(EarlyEnd::Failed) | None => handle(node.clone(), request).await,
    };
    let may_close = || look_ahead.is_none_or(|look_ahead| look_ahead.end_if_none_started());
    // A request that was started early is answered before its connection closes.
    if node.is_stopping() && may_close() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}
