//! UDP relay on loopback that drops datagrams in the directions that a test selects.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Result;

/// Directions in which datagrams are lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Loss {
    /// None.
    #[default]
    None,
    /// From the senders to the target.
    TowardsTarget,
    /// From the target back to the senders.
    TowardsSender,
    /// Both directions.
    Both,
}

/// Forwards datagrams to a target, and the target's replies to the sender.
pub struct DatagramRelay {
    /// Address that senders use.
    pub address: SocketAddr,
    loss: Arc<watch::Sender<Loss>>,
    task: JoinHandle<()>,
}

/// Larger than any datagram on loopback.
const BUFFER_BYTES: usize = 64 << 10;

impl DatagramRelay {
    /// Receives on `address` in front of `target`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn spawn(address: SocketAddr, target: SocketAddr) -> Result<DatagramRelay> {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let address = socket.local_addr()?;
        let loss = Arc::new(watch::Sender::new(Loss::None));
        let task = tokio::spawn(forward(socket, target, loss.clone()));
        Ok(DatagramRelay {
            address,
            loss,
            task,
        })
    }

    /// Sets which datagrams are lost.
    pub fn set(&self, loss: Loss) {
        self.loss.send_replace(loss);
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards datagrams. Each sender has its own socket to the target, so that a reply can be assigned to
/// its sender.
async fn forward(socket: Arc<UdpSocket>, target: SocketAddr, loss: Arc<watch::Sender<Loss>>) {
    let mut sockets: HashMap<SocketAddr, SenderSocket> = HashMap::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if matches!(*loss.borrow(), Loss::TowardsTarget | Loss::Both) {
            continue;
        }
        let socket_to_target = match sockets.entry(from) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(free) => {
                let opened = SenderSocket::open(socket.clone(), from, target, loss.clone());
                let Ok(socket_to_target) = opened.await else {
                    continue;
                };
                free.insert(socket_to_target)
            }
        };
        // A datagram that cannot be sent is lost, as on a real network.
        let _ = socket_to_target.to_target.send(&buffer[..length]).await;
    }
}

struct SenderSocket {
    to_target: Arc<UdpSocket>,
    replies: JoinHandle<()>,
}

impl SenderSocket {
    async fn open(
        socket: Arc<UdpSocket>,
        sender: SocketAddr,
        target: SocketAddr,
        loss: Arc<watch::Sender<Loss>>,
    ) -> Result<SenderSocket> {
        let to_target = Arc::new(UdpSocket::bind(SocketAddr::new(target.ip(), 0)).await?);
        to_target.connect(target).await?;
        let replies = tokio::spawn(reply(to_target.clone(), socket, sender, loss));
        Ok(SenderSocket { to_target, replies })
    }
}

impl Drop for SenderSocket {
    fn drop(&mut self) {
        self.replies.abort();
    }
}

async fn reply(
    to_target: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
    loss: Arc<watch::Sender<Loss>>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        // An error means that the target is not listening at the moment.
        let Ok(length) = to_target.recv(&mut buffer).await else {
            continue;
        };
        if !matches!(*loss.borrow(), Loss::TowardsSender | Loss::Both) {
            let _ = socket.send_to(&buffer[..length], sender).await;
        }
    }
}
