//! Stand-in for the platform's object API (docs/interfaces/platform.md).

mod counts;
mod routes;
mod store;
mod switches;

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

pub use counts::Counts;
pub use switches::Switches;

use crate::Result;
use crate::server::{Server, serve};

/// Size limit of a stored value.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// A running stand-in, stopped when dropped.
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    store: store::Store,
    switches: watch::Sender<Switches>,
    counts: counts::Counters,
}

/// Starts a stand-in; port 0 selects a free one.
///
/// # Errors
/// Fails if the address cannot be listened on.
pub async fn spawn(address: SocketAddr) -> Result<Platform> {
    let shared = Arc::new(Shared {
        store: store::Store::default(),
        switches: watch::Sender::new(Switches::default()),
        counts: counts::Counters::default(),
    });
    let server = serve(address, routes::Routes(shared.clone())).await?;
    Ok(Platform { server, shared })
}

impl Platform {
    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces all switches.
    pub fn set(&self, switches: Switches) {
        self.shared.switches.send_replace(switches);
    }

    /// Returns the calls received so far, by kind.
    pub fn counts(&self) -> Counts {
        self.shared.counts.read()
    }
}
