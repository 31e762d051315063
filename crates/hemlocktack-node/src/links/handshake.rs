//! Handshake of a link: each end proves that it holds a fleet key.
//!
//! Without it, any process that reaches the link port could send calls or answers. Both nonces
//! are fresh and both node names are covered by the MAC, so a recorded handshake can neither be
//! replayed nor reflected.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures::{SinkExt, StreamExt};
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::keys::{FleetKeys, MacPurpose};
use hemlocktack_protocol::{BootTime, Challenge, Frame, Hello, NodeId, Proof, frame};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{Framed, FramedParts};

use super::connection::{Connection, PeerFeatures};
use super::{FrameCodec, codec};
use crate::freshness::boot_time;
use crate::memory::MemoryGauge;

/// Result of a handshake.
pub(crate) type Result<T> = std::result::Result<T, Error>;

const NONCE_BYTES: usize = 16;
/// Longest handshake; a peer that takes longer only occupies a socket.
pub(super) const OPENING_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a link was not opened.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Error {
    #[display("{_0}")]
    Frame(codec::Error),
    #[display("the peer closed the link before its proof")]
    Closed,
    #[display("the peer sent an unexpected frame during the handshake")]
    Unexpected,
    #[display("the peer did not authenticate in time")]
    Timeout,
    #[display("another node answers at the address: {}", _0.node_id)]
    #[from(ignore)]
    #[error(ignore)]
    OtherNode(NodeIncarnation),
    #[display("the peer does not hold a fleet key")]
    #[from(ignore)]
    Refused,
}

/// A link whose peer has authenticated.
pub(crate) struct OpenLink {
    pub(crate) peer: NodeIncarnation,
    peer_features: PeerFeatures,
    /// When the challenge was sent or received.
    opened: BootTime,
    memory: MemoryGauge,
    framed: Framed<TcpStream, FrameCodec>,
}

/// Receiving half of an open link.
pub(super) type Reader = Framed<OwnedReadHalf, FrameCodec>;

impl OpenLink {
    /// Starts the sending side; returns it with the receiving half, for use by separate tasks.
    pub(super) fn start(self) -> (Reader, Connection) {
        let incarnation = self.peer.incarnation;
        let (peer_features, opened) = (self.peer_features, self.opened);
        let memory = self.memory.clone();
        let (reader, writer) = self.split();
        let last_received = reader.codec().last_received().clone();
        let connection = Connection::start(
            incarnation,
            writer,
            opened,
            last_received,
            peer_features,
            &memory,
        );
        (reader, connection)
    }

    /// Splits the link into its two halves.
    ///
    /// The first call often arrives in one segment with the proof. A reader that only gets those
    /// bytes added to its buffer would decode them when more bytes arrive, and the first call over
    /// a link would end `unknown` after its whole timeout. A reader made with `from_parts` decodes
    /// buffered bytes first.
    pub(super) fn split(self) -> (Reader, OwnedWriteHalf) {
        let parts = self.framed.into_parts();
        let (read, write) = parts.io.into_split();
        let mut read_parts = FramedParts::new::<Frame>(read, FrameCodec::new(&self.memory));
        read_parts.read_buf = parts.read_buf;
        let reader = Framed::from_parts(read_parts);
        (reader, write)
    }
}

/// Performs the handshake as the dialling end, which expects the node `wanted`.
///
/// If a node is gone and another one has taken its address, calls to the first would reach the
/// second, which cannot run them. The peer sends its name under its MAC before this end sends its
/// proof, so a link to the wrong node is never opened.
pub(crate) async fn dial(
    stream: TcpStream,
    own: &NodeIncarnation,
    wanted: &NodeId,
    keys: &FleetKeys,
    memory: &MemoryGauge,
) -> Result<OpenLink> {
    let mut framed = Framed::new(stream, FrameCodec::new(memory));
    let hello = Hello {
        node_id: own.node_id.to_string(),
        incarnation: own.incarnation,
        nonce: fresh_nonce(),
        takes_body_parts: true,
    };
    send(&mut framed, frame::Body::Hello(hello.clone())).await?;
    let frame::Body::Challenge(challenge) = receive(&mut framed).await? else {
        return Err(Error::Unexpected);
    };
    let opened = boot_time();
    if !is_valid_mac(
        keys,
        MacPurpose::LinkAcceptor,
        &hello,
        &challenge,
        &challenge.mac,
    ) {
        return Err(Error::Refused);
    }
    let peer = NodeIncarnation {
        node_id: challenge.node_id.as_str().into(),
        incarnation: challenge.incarnation,
    };
    if peer.node_id != *wanted {
        return Err(Error::OtherNode(peer));
    }
    let mac = sign(keys, MacPurpose::LinkDialler, &hello, &challenge);
    send(&mut framed, frame::Body::Proof(Proof { mac })).await?;
    Ok(OpenLink {
        peer,
        peer_features: PeerFeatures {
            answers_echo: challenge.answers_echo,
            takes_parts: challenge.takes_body_parts,
        },
        opened,
        memory: memory.clone(),
        framed,
    })
}

/// Performs the handshake as the accepting end.
pub(crate) async fn accept(
    stream: TcpStream,
    own: &NodeIncarnation,
    keys: &FleetKeys,
    memory: &MemoryGauge,
) -> Result<OpenLink> {
    let mut framed = Framed::new(stream, FrameCodec::new(memory));
    let frame::Body::Hello(hello) = receive(&mut framed).await? else {
        return Err(Error::Unexpected);
    };
    let mut challenge = Challenge {
        node_id: own.node_id.to_string(),
        incarnation: own.incarnation,
        nonce: fresh_nonce(),
        mac: Bytes::new(),
        answers_echo: true,
        takes_body_parts: true,
    };
    challenge.mac = sign(keys, MacPurpose::LinkAcceptor, &hello, &challenge);
    let opened = boot_time();
    send(&mut framed, frame::Body::Challenge(challenge.clone())).await?;
    let frame::Body::Proof(proof) = receive(&mut framed).await? else {
        return Err(Error::Unexpected);
    };
    if !is_valid_mac(
        keys,
        MacPurpose::LinkDialler,
        &hello,
        &challenge,
        &proof.mac,
    ) {
        return Err(Error::Refused);
    }
    let peer = NodeIncarnation {
        node_id: hello.node_id.as_str().into(),
        incarnation: hello.incarnation,
    };
    Ok(OpenLink {
        peer,
        peer_features: PeerFeatures {
            // Only the end that sends calls monitors the link by echo requests.
            answers_echo: false,
            takes_parts: hello.takes_body_parts,
        },
        opened,
        memory: memory.clone(),
        framed,
    })
}

fn fresh_nonce() -> Bytes {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    Bytes::copy_from_slice(&nonce)
}

/// Passes the parts that the MAC covers, which is everything that both ends know.
fn with_transcript<T>(
    hello: &Hello,
    challenge: &Challenge,
    use_parts: impl FnOnce(&[&[u8]]) -> T,
) -> T {
    use_parts(&[
        hello.node_id.as_bytes(),
        &hello.incarnation.to_be_bytes(),
        &hello.nonce,
        challenge.node_id.as_bytes(),
        &challenge.incarnation.to_be_bytes(),
        &challenge.nonce,
    ])
}

fn sign(keys: &FleetKeys, purpose: MacPurpose, hello: &Hello, challenge: &Challenge) -> Bytes {
    let mac = with_transcript(hello, challenge, |parts| keys.sign(purpose, parts));
    Bytes::copy_from_slice(&mac)
}

fn is_valid_mac(
    keys: &FleetKeys,
    purpose: MacPurpose,
    hello: &Hello,
    challenge: &Challenge,
    mac: &[u8],
) -> bool {
    with_transcript(hello, challenge, |parts| keys.verify(purpose, parts, mac))
}

async fn send(framed: &mut Framed<TcpStream, FrameCodec>, body: frame::Body) -> Result<()> {
    framed.send(Frame { body: Some(body) }).await?;
    Ok(())
}

async fn receive(framed: &mut Framed<TcpStream, FrameCodec>) -> Result<frame::Body> {
    let Some(frame) = framed.next().await else {
        return Err(Error::Closed);
    };
    frame?.body.ok_or(Error::Unexpected)
}
