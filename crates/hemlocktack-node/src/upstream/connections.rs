//! Connections to the upstream, each used for one request at a time.

#[cfg(test)]
mod tests;

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt;
use http::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::carried_ids::{CarriedIds, IdHash};
use super::head_watch::{HeadWatch, WatchedStream};
use crate::sockets;

/// Longest time for connecting. The upstream runs on this machine and accepts a connection within a
/// millisecond; one that takes longer than this is gone or hangs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest head of an answer, and the most that is read of a body at once.
const MAX_READ_BYTES: usize = 64 << 10;
/// Share of the upstream's keep-alive timeout for which an idle connection is reused. A request
/// that is sent while the upstream closes the connection may or may not have been read.
const REUSE_SHARE: f64 = 0.7;
/// How long an idle connection is reused if the upstream announces no keep-alive timeout.
const DEFAULT_REUSE_TIME: Duration = Duration::from_secs(4);
/// Longest keep-alive timeout that is taken into account.
const MAX_KEEP_ALIVE_S: u64 = 3_600;
/// Longest wait until a connection is free again after its answer. The rest of a request that was
/// answered early has to be sent first.
const MAX_RELEASE_WAIT: Duration = Duration::from_secs(1);

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections to one upstream, with the most recently used last.
#[derive(Default)]
pub(super) struct Connections {
    idle: Arc<Mutex<Vec<IdleConnection>>>,
    id_hasher: RandomState,
}

struct IdleConnection {
    sender: Sender,
    task: AbortHandle,
    address: SocketAddr,
    carried_ids: CarriedIds,
    head_watch: Arc<HeadWatch>,
    opened_at: Instant,
    reuse_until: Instant,
}

/// A connection in use. Dropping it closes it, so that the upstream stops working for a caller that
/// has disconnected.
pub(super) struct LeasedConnection {
    pub(super) sender: Option<Sender>,
    task: AbortHandle,
    address: SocketAddr,
    carried_ids: CarriedIds,
    pub(super) head_watch: Arc<HeadWatch>,
    opened_at: Instant,
    /// No request was sent on this connection before.
    pub(super) is_fresh: bool,
}

impl Connections {
    /// Returns the most recently used connection that has not carried this id, or a new one; `None`
    /// if the upstream accepts none.
    pub(super) async fn lease(
        &self,
        address: SocketAddr,
        request_id: &str,
    ) -> Option<LeasedConnection> {
        let id = self.id_hasher.hash_one(request_id);
        match self.take_idle(address, id) {
            Some(leased) => Some(leased),
            None => self.lease_new(address, request_id).await,
        }
    }

    /// Returns a new connection for this request; `None` if the upstream accepts none.
    pub(super) async fn lease_new(
        &self,
        address: SocketAddr,
        request_id: &str,
    ) -> Option<LeasedConnection> {
        let mut leased = self.dial(address).await?;
        let id = self.id_hasher.hash_one(request_id);
        leased.carried_ids.insert(id);
        Some(leased)
    }

    /// Opens a new connection; `None` if the upstream accepts none.
    pub(super) async fn dial(&self, address: SocketAddr) -> Option<LeasedConnection> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        sockets::configure(&stream).ok()?;
        sockets::limit_received(&stream);
        let head_watch = Arc::<HeadWatch>::default();
        let stream = TokioIo::new(WatchedStream::new(stream, head_watch.clone()));
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_READ_BYTES);
        let (sender, connection) = builder.handshake(stream).await.ok()?;
        // The task ends with an error if the upstream sends unsolicited data. The connection is
        // closed then, and its sender reports that.
        let task = tokio::spawn(connection.map(|_| ()));
        Some(LeasedConnection {
            sender: Some(sender),
            task: task.abort_handle(),
            address,
            carried_ids: CarriedIds::default(),
            head_watch,
            opened_at: Instant::now(),
            is_fresh: true,
        })
    }

    /// Takes the most recently used connection that has not carried this id. If all have, closes
    /// one of them, so that the new connection does not add to their number.
    fn take_idle(&self, address: SocketAddr, id: IdHash) -> Option<LeasedConnection> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        idle.retain(|connection| {
            connection.address == address
                && now < connection.reuse_until
                && !connection.sender.is_closed()
        });
        let has_not_carried = |connection: &IdleConnection| !connection.carried_ids.contains(id);
        let Some(index) = idle.iter().rposition(has_not_carried) else {
            idle.pop();
            return None;
        };
        let mut connection = idle.remove(index);
        connection.carried_ids.insert(id);
        Some(LeasedConnection {
            sender: Some(connection.sender),
            task: connection.task,
            address,
            carried_ids: connection.carried_ids,
            head_watch: connection.head_watch,
            opened_at: connection.opened_at,
            is_fresh: false,
        })
    }

    /// Returns a connection whose answer has been read completely to the idle connections, unless
    /// it may carry no further request.
    pub(super) fn release(&self, mut leased: LeasedConnection, answer: &HeaderMap) {
        let Some(mut sender) = leased.sender.take() else {
            return;
        };
        let carried_ids = std::mem::take(&mut leased.carried_ids);
        if carried_ids.is_full() {
            return;
        }
        let reuse_until = Instant::now() + reuse_time(answer);
        let idle = self.idle.clone();
        let (task, address) = (leased.task.clone(), leased.address);
        let (head_watch, opened_at) = (leased.head_watch.clone(), leased.opened_at);
        let keep = move |sender| {
            lock(&idle).push(IdleConnection {
                sender,
                task,
                address,
                carried_ids,
                head_watch,
                opened_at,
                reuse_until,
            });
        };
        match sender.ready().now_or_never() {
            Some(Ok(())) => keep(sender),
            // Closed by the upstream, whether announced or not.
            Some(Err(_)) => {}
            None => {
                tokio::spawn(async move {
                    let free = tokio::time::timeout(MAX_RELEASE_WAIT, sender.ready()).await;
                    if let Ok(Ok(())) = free {
                        keep(sender);
                    }
                });
            }
        }
    }
}

impl LeasedConnection {
    /// Returns the time since the connection was opened.
    pub(super) fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Returns the number of requests that it had carried before the one that it is leased for.
    pub(super) fn earlier_requests(&self) -> usize {
        self.carried_ids.len().saturating_sub(1)
    }
}

impl Drop for LeasedConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

fn lock(idle: &Mutex<Vec<IdleConnection>>) -> MutexGuard<'_, Vec<IdleConnection>> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns how long an idle connection may be reused.
fn reuse_time(answer: &HeaderMap) -> Duration {
    let said = answer
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let timeout_s = said.and_then(|text| {
        let mut parameters = text.split(',').map(str::trim);
        parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    timeout_s.map_or(DEFAULT_REUSE_TIME, |timeout_s| {
        Duration::from_secs(timeout_s.min(MAX_KEEP_ALIVE_S)).mul_f64(REUSE_SHARE)
    })
}
