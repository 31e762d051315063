//! TCP relay on loopback that disturbs connections as a test selects: it delays all or random pieces,
//! holds bytes in one direction or both, closes or refuses connections, or silences them for good.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::RngExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Result;

/// What the relay does with bytes and connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards bytes immediately.
    #[default]
    Open,
    /// Forwards bytes after this delay.
    Delayed(Duration),
    /// Delays a random share of the pieces sent to the target, as a lossy path does by retransmission:
    /// data on newer connections overtakes them.
    RandomDelay {
        /// Percentage of pieces that are delayed.
        percent: u32,
        /// Delay of such a piece.
        by: Duration,
    },
    /// Holds bytes in these directions until the mode changes.
    Held(HeldDirection),
    /// Closes all connections, and new ones as soon as they are accepted.
    Refused,
}

/// Directions in which bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldDirection {
    /// From the connecting side to the target.
    TowardsTarget,
    /// From the target to the connecting side.
    TowardsCaller,
    /// Both directions.
    BothWays,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    TowardsTarget,
    TowardsCaller,
}

impl RelayMode {
    fn holds(self, direction: Direction) -> bool {
        match self {
            RelayMode::Held(HeldDirection::BothWays) => true,
            RelayMode::Held(HeldDirection::TowardsTarget) => direction == Direction::TowardsTarget,
            RelayMode::Held(HeldDirection::TowardsCaller) => direction == Direction::TowardsCaller,
            RelayMode::Open
            | RelayMode::Delayed(_)
            | RelayMode::RandomDelay { .. }
            | RelayMode::Refused => false,
        }
    }

    /// Returns the delay of one piece.
    fn delay(self, direction: Direction) -> Duration {
        match self {
            RelayMode::Delayed(time) => time,
            RelayMode::RandomDelay { percent, by } => {
                let is_late = rand::rng().random_range(0..100) < percent;
                match is_late && direction == Direction::TowardsTarget {
                    true => by,
                    false => Duration::ZERO,
                }
            }
            RelayMode::Open | RelayMode::Held(_) | RelayMode::Refused => Duration::ZERO,
        }
    }
}

/// Forwards connections from its own address to a target.
pub struct Relay {
    /// Address to connect to.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<RelayMode>>,
    existing: Arc<watch::Sender<ExistingConnections>>,
    accepted: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

/// Faults of connections that existed when the fault was set. Connections are numbered in the order in
/// which they are accepted; those below these numbers are closed or silenced.
#[derive(Clone, Copy, Default)]
struct ExistingConnections {
    closed_below: u64,
    silenced_below: u64,
}

impl Relay {
    /// Listens on `address` (port 0 for a free one) in front of `target`.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub async fn spawn(address: SocketAddr, target: SocketAddr) -> Result<Relay> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(RelayMode::Open));
        let existing = Arc::new(watch::Sender::new(ExistingConnections::default()));
        let accepted = Arc::new(AtomicU64::new(0));
        let acceptor = Acceptor {
            target,
            mode: mode.clone(),
            existing: existing.clone(),
            accepted: accepted.clone(),
        };
        Ok(Relay {
            address,
            mode,
            existing,
            accepted,
            task: tokio::spawn(acceptor.run(listener)),
        })
    }

    /// Sets the mode of existing and new connections.
    pub fn set(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }

    /// Closes all connections, and new ones as soon as they are accepted.
    pub fn cut(&self) {
        self.set(RelayMode::Refused);
    }

    /// Forwards new connections again.
    pub fn restore(&self) {
        self.set(RelayMode::Open);
    }

    /// Closes the existing connections; new ones are forwarded.
    pub fn cut_existing(&self) {
        let next = self.accepted_count();
        self.existing
            .send_modify(|existing| existing.closed_below = next);
    }

    /// Keeps the existing connections open without forwarding another byte; new ones are forwarded.
    pub fn silence_existing(&self) {
        let next = self.accepted_count();
        self.existing
            .send_modify(|existing| existing.silenced_below = next);
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_count(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
        self.cut();
    }
}

struct Acceptor {
    target: SocketAddr,
    mode: Arc<watch::Sender<RelayMode>>,
    existing: Arc<watch::Sender<ExistingConnections>>,
    accepted: Arc<AtomicU64>,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            let number = self.accepted.fetch_add(1, Ordering::Relaxed);
            let connection = Connection {
                number,
                mode: self.mode.subscribe(),
                existing: self.existing.subscribe(),
            };
            if *self.mode.borrow() != RelayMode::Refused {
                tokio::spawn(forward(client, self.target, connection));
            }
        }
    }
}

/// State of one connection, with the relay's current settings.
#[derive(Clone)]
struct Connection {
    number: u64,
    mode: watch::Receiver<RelayMode>,
    existing: watch::Receiver<ExistingConnections>,
}

async fn forward(client: TcpStream, target: SocketAddr, connection: Connection) {
    let closed = connection.clone().closed();
    tokio::select! {
        () = copy_both_ways(client, target, connection) => {}
        () = closed => {}
    }
}

async fn copy_both_ways(client: TcpStream, target: SocketAddr, connection: Connection) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Without `TCP_NODELAY` small messages would wait for the acknowledgement of earlier ones.
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy(
            client_read,
            server_write,
            Direction::TowardsTarget,
            connection.clone()
        ),
        copy(
            server_read,
            client_write,
            Direction::TowardsCaller,
            connection
        ),
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut connection: Connection,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut buffer).await;
        connection.wait_to_forward(direction).await;
        let Ok(length @ 1..) = read else {
            // The end of the stream is forwarded like data, once the mode permits it.
            let _ = to.shutdown().await;
            return;
        };
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

impl Connection {
    /// Completes when the relay closes the connection.
    async fn closed(mut self) {
        let number = self.number;
        let refused = self.mode.wait_for(|mode| *mode == RelayMode::Refused);
        let cut = self
            .existing
            .wait_for(|existing| number < existing.closed_below);
        tokio::select! {
            _ = refused => {}
            _ = cut => {}
        }
    }

    /// Waits until bytes in this direction may be forwarded.
    async fn wait_to_forward(&mut self, direction: Direction) {
        let is_silent = self.number < self.existing.borrow().silenced_below;
        if is_silent {
            return std::future::pending().await;
        }
        let opened = self.mode.wait_for(|mode| !mode.holds(direction));
        let mode = opened.await.map_or(RelayMode::Open, |mode| *mode);
        let delay = mode.delay(direction);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}
