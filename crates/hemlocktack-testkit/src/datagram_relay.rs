//! A UDP relay on loopback that a test disturbs.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Result;

/// Which datagrams are lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Loss {
    /// None.
    #[default]
    None,
    /// Those on their way to the target.
    TowardsTarget,
    /// The target's replies.
    TowardsSender,
    /// All.
    Both,
}

/// Passes datagrams to a target and its replies back to whoever sent them.
pub struct DatagramRelay {
    /// Address to send to.
    pub address: SocketAddr,
    loss: Arc<watch::Sender<Loss>>,
    task: JoinHandle<()>,
}

/// Larger than any datagram of loopback.
const BUFFER_BYTES: usize = 64 << 10;

impl DatagramRelay {
    /// Receives on `address` in front of `target`.
    ///
    /// # Errors
    /// The address cannot be received on.
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

    /// Changes which datagrams are lost.
    pub fn set(&self, loss: Loss) {
        self.loss.send_replace(loss);
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Each sender gets a socket of its own towards the target, so that replies can
/// be told apart.
async fn forward(socket: Arc<UdpSocket>, target: SocketAddr, loss: Arc<watch::Sender<Loss>>) {
    let mut ways: HashMap<SocketAddr, Way> = HashMap::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if matches!(*loss.borrow(), Loss::TowardsTarget | Loss::Both) {
            continue;
        }
        let way = match ways.entry(from) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(free) => {
                let opened = Way::open(socket.clone(), from, target, loss.clone());
                let Ok(way) = opened.await else { continue };
                free.insert(way)
            }
        };
        // Lost where it cannot be sent, as datagrams are.
        let _ = way.towards.send(&buffer[..length]).await;
    }
}

struct Way {
    towards: Arc<UdpSocket>,
    replies: JoinHandle<()>,
}

impl Way {
    async fn open(
        socket: Arc<UdpSocket>,
        sender: SocketAddr,
        target: SocketAddr,
        loss: Arc<watch::Sender<Loss>>,
    ) -> Result<Way> {
        let towards = Arc::new(UdpSocket::bind(SocketAddr::new(target.ip(), 0)).await?);
        towards.connect(target).await?;
        let replies = tokio::spawn(reply(towards.clone(), socket, sender, loss));
        Ok(Way { towards, replies })
    }
}

impl Drop for Way {
    fn drop(&mut self) {
        self.replies.abort();
    }
}

async fn reply(
    towards: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
    loss: Arc<watch::Sender<Loss>>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        // An error says that the target does not listen, now.
        let Ok(length) = towards.recv(&mut buffer).await else {
            continue;
        };
        if !matches!(*loss.borrow(), Loss::TowardsSender | Loss::Both) {
            let _ = socket.send_to(&buffer[..length], sender).await;
        }
    }
}
