//! A TCP relay on loopback whose connections can be cut and refused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Result;

/// Passes bytes between its own address and a target.
pub struct Relay {
    /// Address to connect to.
    pub address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
    accepted: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on `address` (port 0 for a free one) in front of `target`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn spawn(address: SocketAddr, target: SocketAddr) -> Result<Relay> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let open = Arc::new(watch::Sender::new(true));
        let accepted = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, open.clone(), accepted.clone()));
        Ok(Relay {
            address,
            open,
            accepted,
            task,
        })
    }

    /// Cuts every connection; new ones are closed as soon as they are accepted.
    pub fn cut(&self) {
        self.open.send_replace(false);
    }

    /// Lets new connections through again.
    pub fn restore(&self) {
        self.open.send_replace(true);
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

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    open: Arc<watch::Sender<bool>>,
    accepted: Arc<AtomicU64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        accepted.fetch_add(1, Ordering::Relaxed);
        let open = open.subscribe();
        if *open.borrow() {
            tokio::spawn(pass(near, target, open));
        }
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr, mut open: watch::Receiver<bool>) {
    let copy = async {
        let mut far = TcpStream::connect(target).await?;
        tokio::io::copy_bidirectional(&mut near, &mut far).await
    };
    tokio::select! {
        _ = copy => {}
        _ = open.wait_for(|open| !open) => {}
    }
}
