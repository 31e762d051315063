//! Connections to the upstream, each used for one request at a time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt;
use http::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::sockets;

/// The upstream runs on this machine: it takes a connection within a
/// millisecond. One that does not within this time is gone or stands still.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections are used up to this share of the time after which the
/// upstream closes them: a request that meets the close may or may not have
/// been read.
const REUSED_UP_TO: f64 = 0.7;
/// The same where the upstream does not say when it closes them.
const REUSED_FOR_UNSAID: Duration = Duration::from_secs(4);
/// What an upstream says beyond this changes nothing.
const KEPT_MOST_S: u64 = 3_600;
/// Longest wait for a connection to be free again after its answer: the rest
/// of a request that was answered early has to leave first.
const FREED_WITHIN: Duration = Duration::from_secs(1);

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections to one upstream, the latest used last.
#[derive(Default)]
pub(super) struct Connections {
    idle: Arc<Mutex<Vec<Idle>>>,
}

struct Idle {
    sender: Sender,
    task: AbortHandle,
    address: SocketAddr,
    reuse_until: Instant,
}

/// A connection in use. Dropping it closes it, so that the upstream stops the
/// work for a caller that has gone.
pub(super) struct Leased {
    pub(super) sender: Option<Sender>,
    task: AbortHandle,
    address: SocketAddr,
    /// No request was sent on it before.
    pub(super) is_fresh: bool,
}

impl Connections {
    /// The connection that was used last, or a new one; `None` if the upstream
    /// takes none.
    pub(super) async fn lease(&self, address: SocketAddr) -> Option<Leased> {
        match self.take_idle(address) {
            Some(leased) => Some(leased),
            None => self.dial(address).await,
        }
    }

    /// A new connection; `None` if the upstream takes none.
    pub(super) async fn dial(&self, address: SocketAddr) -> Option<Leased> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        sockets::configure(&stream).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        // Ends with an error if the upstream sends what nobody asked for; the
        // connection is closed then, and its sender knows.
        let task = tokio::spawn(connection.map(|_| ()));
        Some(Leased {
            sender: Some(sender),
            task: task.abort_handle(),
            address,
            is_fresh: true,
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Leased> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        idle.retain(|connection| {
            connection.address == address
                && now < connection.reuse_until
                && !connection.sender.is_closed()
        });
        let connection = idle.pop()?;
        Some(Leased {
            sender: Some(connection.sender),
            task: connection.task,
            address,
            is_fresh: false,
        })
    }

    /// Keeps a connection whose answer has been read to its end.
    pub(super) fn give_back(&self, mut leased: Leased, answer: &HeaderMap) {
        let Some(mut sender) = leased.sender.take() else {
            return;
        };
        let reuse_until = Instant::now() + reused_for(answer);
        let idle = self.idle.clone();
        let (task, address) = (leased.task.clone(), leased.address);
        let keep = move |sender| {
            lock(&idle).push(Idle {
                sender,
                task,
                address,
                reuse_until,
            });
        };
        match sender.ready().now_or_never() {
            Some(Ok(())) => keep(sender),
            // Closed by the upstream, as it said or not.
            Some(Err(_)) => {}
            None => {
                tokio::spawn(async move {
                    let free = tokio::time::timeout(FREED_WITHIN, sender.ready()).await;
                    if let Ok(Ok(())) = free {
                        keep(sender);
                    }
                });
            }
        }
    }
}

impl Drop for Leased {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

fn lock(idle: &Mutex<Vec<Idle>>) -> MutexGuard<'_, Vec<Idle>> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How long the connection may lie idle before it is not used again.
fn reused_for(answer: &HeaderMap) -> Duration {
    let said = answer
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let timeout_s = said.and_then(|text| {
        let mut parameters = text.split(',').map(str::trim);
        parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    timeout_s.map_or(REUSED_FOR_UNSAID, |timeout_s| {
        Duration::from_secs(timeout_s.min(KEPT_MOST_S)).mul_f64(REUSED_UP_TO)
    })
}
