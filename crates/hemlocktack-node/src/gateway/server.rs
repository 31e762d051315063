//! A listener whose connections outlive a planned stop's beginning.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        tokio::spawn(serve_connection(node.clone(), stream, handle));
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
    // The connection ends with an error if its caller goes or sends what is no
    // request: there is nobody to tell.
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// A short answer of the node itself.
pub(super) fn plain(response: Response<Bytes>) -> Response<LeavingBody> {
    response.map(|body| LeavingBody::new(Full::new(body), None))
}
