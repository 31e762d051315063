//! Stand-in for an upstream (docs/interfaces/upstreams.md).

mod announce;
mod child_calls;
mod counts;
mod routes;
mod settings;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};

use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

pub use counts::Counts;
pub use settings::{ChildCall, Crash, Fault, Settings, Switches};

use crate::server::{Server, serve};
use crate::{Relay, Result};

/// A running stand-in, stopped when dropped.
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    announcing: JoinHandle<()>,
    _server: Server,
}

struct Shared {
    settings: Settings,
    switches: watch::Sender<Switches>,
    counters: counts::Counters,
    slots: Semaphore,
    in_flight: AtomicU64,
    draining: AtomicBool,
    crashed: AtomicBool,
    started_at: watch::Sender<Instant>,
    front: Option<Relay>,
    http: reqwest::Client,
}

/// Starts a stand-in that announces itself until it is dropped.
///
/// # Errors
/// Fails if the address cannot be listened on.
pub async fn spawn(settings: Settings) -> Result<Upstream> {
    let shared_cell = Arc::new(std::sync::OnceLock::new());
    let has_relay = settings.crash == Crash::CutConnections;
    let listen = if has_relay {
        SocketAddr::new(settings.address.ip(), 0)
    } else {
        settings.address
    };
    let server = serve(listen, routes::Routes(shared_cell.clone())).await?;
    let front = if has_relay {
        Some(Relay::spawn(settings.address, server.address).await?)
    } else {
        None
    };
    let address = front.as_ref().map_or(server.address, |front| front.address);
    let shared = shared_cell
        .get_or_init(|| Arc::new(Shared::new(settings, front)))
        .clone();
    let announcing = tokio::spawn(announce::renew_announcement(shared.clone(), address));
    Ok(Upstream {
        address,
        shared,
        announcing,
        _server: server,
    })
}

impl Upstream {
    /// Returns the address that it listens on and announces.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all switches.
    pub fn set(&self, switches: Switches) {
        self.shared.switches.send_replace(switches);
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Tells its node that it is draining, and stops renewing its announcement.
    pub async fn drain(&self) {
        announce::drain(&self.shared).await;
    }

    /// Accepts calls again after a crash or a drain; the cold start begins anew.
    pub fn restart(&self) {
        self.shared.restart();
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.announcing.abort();
    }
}

impl Shared {
    fn new(settings: Settings, front: Option<Relay>) -> Shared {
        Shared {
            switches: watch::Sender::new(settings.switches.clone()),
            counters: counts::Counters::default(),
            slots: Semaphore::new(settings.slots as usize),
            in_flight: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
            started_at: watch::Sender::new(Instant::now()),
            front,
            http: reqwest::Client::new(),
            settings,
        }
    }
}
