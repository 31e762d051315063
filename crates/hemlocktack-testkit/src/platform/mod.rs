//! Stand-in for the platform's object API (docs/interfaces/platform.md).

mod counts;
mod routes;
mod store;
mod switches;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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
    /// Value of the header that names the era; none is sent if it is `None`.
    era: Mutex<Option<String>>,
}

impl Shared {
    fn era(&self) -> MutexGuard<'_, Option<String>> {
        self.era.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Contents of a stand-in at one moment.
pub struct Copy(store::Objects);

/// Starts a stand-in; port 0 selects a free one.
///
/// # Errors
/// Fails if the address cannot be listened on.
pub async fn spawn(address: SocketAddr) -> Result<Platform> {
    let shared = Arc::new(Shared {
        store: store::Store::default(),
        switches: watch::Sender::new(Switches::default()),
        counts: counts::Counters::default(),
        era: Mutex::default(),
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

    /// Sets the value of the header that names the era; `None` for no header.
    pub fn set_era(&self, era: Option<&str>) {
        *self.shared.era() = era.map(str::to_owned);
    }

    /// Returns a copy of all objects.
    pub fn copy(&self) -> Copy {
        Copy(self.shared.store.copy())
    }

    /// Replaces all objects and the revision by those of the copy, and names another era; watches
    /// that are waiting keep waiting, for revisions as they are given out again.
    pub fn return_from(&self, copy: &Copy, era: &str) {
        self.set_era(Some(era));
        self.shared.store.restore(&copy.0);
    }

    /// Returns the calls received so far, by kind.
    pub fn counts(&self) -> Counts {
        self.shared.counts.read()
    }
}
