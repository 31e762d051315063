//! A TCP relay on loopback that a test disturbs: connections through it are
//! delayed, all or by chance, held up one way or both, cut, refused, or silenced
//! for good.

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

/// What becomes of bytes on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayMode {
    /// They go through at once.
    #[default]
    Open,
    /// They go through so much later.
    Delayed(Duration),
    /// Towards the target, so many pieces of a hundred go through so much later, as
    /// those that a path loses: what newer connections carry overtakes them.
    RandomDelay {
        /// Pieces of a hundred.
        percent: u32,
        /// How much later.
        by: Duration,
    },
    /// They wait, in these directions, until the passage changes.
    Held(HeldDirection),
    /// Connections are cut, and new ones closed as soon as they are accepted.
    Refused,
}

/// Directions in which bytes wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldDirection {
    /// From who connected to the target.
    TowardsTarget,
    /// From the target back.
    TowardsCaller,
    /// Neither side hears of the other.
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

    /// How much later a piece goes through.
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

/// Passes bytes between its own address and a target.
pub struct Relay {
    /// Address to connect to.
    pub address: SocketAddr,
    passage: Arc<watch::Sender<RelayMode>>,
    /// Connections opened before this number end or stay silent.
    present: Arc<watch::Sender<Present>>,
    accepted: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

/// What has been done to connections that were there at the time.
#[derive(Clone, Copy, Default)]
struct Present {
    cut_before: u64,
    silent_before: u64,
}

impl Relay {
    /// Listens on `address` (port 0 for a free one) in front of `target`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn spawn(address: SocketAddr, target: SocketAddr) -> Result<Relay> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let passage = Arc::new(watch::Sender::new(RelayMode::Open));
        let present = Arc::new(watch::Sender::new(Present::default()));
        let accepted = Arc::new(AtomicU64::new(0));
        let accepting = Accepting {
            target,
            passage: passage.clone(),
            present: present.clone(),
            accepted: accepted.clone(),
        };
        Ok(Relay {
            address,
            passage,
            present,
            accepted,
            task: tokio::spawn(accepting.run(listener)),
        })
    }

    /// Changes what becomes of bytes, on present and on new connections.
    pub fn set(&self, passage: RelayMode) {
        self.passage.send_replace(passage);
    }

    /// Cuts every connection; new ones are closed as soon as they are accepted.
    pub fn cut(&self) {
        self.set(RelayMode::Refused);
    }

    /// Lets new connections through again.
    pub fn restore(&self) {
        self.set(RelayMode::Open);
    }

    /// Ends the present connections; new ones go through.
    pub fn cut_existing(&self) {
        let next = self.accepted_count();
        self.present
            .send_modify(|present| present.cut_before = next);
    }

    /// The present connections stay open and never carry another byte; new
    /// ones go through.
    pub fn silence_existing(&self) {
        let next = self.accepted_count();
        self.present
            .send_modify(|present| present.silent_before = next);
    }

    /// Connections accepted so far.
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

struct Accepting {
    target: SocketAddr,
    passage: Arc<watch::Sender<RelayMode>>,
    present: Arc<watch::Sender<Present>>,
    accepted: Arc<AtomicU64>,
}

impl Accepting {
    async fn run(self, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            let number = self.accepted.fetch_add(1, Ordering::Relaxed);
            let passing = Passing {
                number,
                passage: self.passage.subscribe(),
                present: self.present.subscribe(),
            };
            if *self.passage.borrow() != RelayMode::Refused {
                tokio::spawn(pass(near, self.target, passing));
            }
        }
    }
}

/// One connection's view of what is done to it.
#[derive(Clone)]
struct Passing {
    number: u64,
    passage: watch::Receiver<RelayMode>,
    present: watch::Receiver<Present>,
}

async fn pass(near: TcpStream, target: SocketAddr, passing: Passing) {
    let ended = passing.clone().ended();
    tokio::select! {
        () = copy_both_ways(near, target, passing) => {}
        () = ended => {}
    }
}

async fn copy_both_ways(near: TcpStream, target: SocketAddr, passing: Passing) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Small messages would wait for each other's acknowledgement.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(
            near_read,
            far_write,
            Direction::TowardsTarget,
            passing.clone()
        ),
        copy(far_read, near_write, Direction::TowardsCaller, passing),
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut passing: Passing,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = from.read(&mut buffer).await;
        passing.let_through(direction).await;
        let Ok(length @ 1..) = read else {
            // The other side learns of the end when the passage lets it.
            let _ = to.shutdown().await;
            return;
        };
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

impl Passing {
    /// Ends when the connection is cut.
    async fn ended(mut self) {
        let number = self.number;
        let refused = self
            .passage
            .wait_for(|passage| *passage == RelayMode::Refused);
        let cut = self.present.wait_for(|present| number < present.cut_before);
        tokio::select! {
            _ = refused => {}
            _ = cut => {}
        }
    }

    /// Waits until bytes of this direction may go on.
    async fn let_through(&mut self, direction: Direction) {
        let is_silent = self.number < self.present.borrow().silent_before;
        if is_silent {
            return std::future::pending().await;
        }
        let opened = self.passage.wait_for(|passage| !passage.holds(direction));
        let passage = opened.await.map_or(RelayMode::Open, |passage| *passage);
        let delay = passage.delay(direction);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}
