//! Opening of a link: each end proves that it holds a fleet key.
//!
//! Failure: a process outside the fleet that reaches the link port could send
//! calls or answers. Both nonces are fresh and both names are under the MAC, so
//! a recorded opening cannot be played again or turned round.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures::{SinkExt, StreamExt};
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::keys::{FleetKeys, MacPurpose};
use hemlocktack_protocol::{Challenge, Frame, Hello, NodeId, Proof, frame};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{Framed, FramedParts};

use super::{FrameCodec, codec};

/// Result of opening a link.
pub(crate) type Result<T> = std::result::Result<T, Error>;

const NONCE_BYTES: usize = 16;
/// An opening that takes longer holds a socket for nobody.
pub(super) const OPENING_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a link was not opened.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Error {
    #[display("{_0}")]
    Frame(codec::Error),
    #[display("the peer closed the link before its proof")]
    Closed,
    #[display("the peer sent something else than the opening asks for")]
    Unexpected,
    #[display("the peer did not prove itself in time")]
    Timeout,
    #[display("another node answers at the address: {}", _0.node_id)]
    #[from(ignore)]
    #[error(ignore)]
    OtherNode(NodeIncarnation),
    #[display("the peer does not hold a fleet key")]
    #[from(ignore)]
    Refused,
}

/// A link whose other end has proved itself.
pub(crate) struct OpenLink {
    pub(crate) peer: NodeIncarnation,
    /// The far end answers echo requests.
    pub(crate) answers_echo: bool,
    framed: Framed<TcpStream, FrameCodec>,
}

/// Receiving half of an open link.
pub(super) type Reader = Framed<OwnedReadHalf, FrameCodec>;

impl OpenLink {
    /// Both halves, to be used by tasks of their own.
    ///
    /// Failure: the first call often comes in one segment with the proof, and
    /// a reader that is merely given those bytes looks at them only when more
    /// come. Symptom: the first call over a link ends `unknown` after its whole
    /// patience. A reader made from the parts decodes what is there first.
    pub(super) fn split(self) -> (Reader, OwnedWriteHalf) {
        let parts = self.framed.into_parts();
        let (read, write) = parts.io.into_split();
        let mut read_parts = FramedParts::new::<Frame>(read, FrameCodec::new());
        read_parts.read_buf = parts.read_buf;
        let reader = Framed::from_parts(read_parts);
        (reader, write)
    }
}

/// The dialling end, which wants this node and no other.
///
/// Failure: a node is gone and another one has its address. Symptom: calls to the first
/// reach the second, which cannot run them. The far end names itself under its MAC
/// before this end sends its proof, so a wrong node never holds an open link.
pub(crate) async fn dial(
    stream: TcpStream,
    own: &NodeIncarnation,
    wanted: &NodeId,
    keys: &FleetKeys,
) -> Result<OpenLink> {
    let mut framed = Framed::new(stream, FrameCodec::new());
    let hello = Hello {
        node_id: own.node_id.to_string(),
        incarnation: own.incarnation,
        nonce: fresh_nonce(),
    };
    send(&mut framed, frame::Body::Hello(hello.clone())).await?;
    let frame::Body::Challenge(challenge) = receive(&mut framed).await? else {
        return Err(Error::Unexpected);
    };
    if !is_proved(
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
        answers_echo: challenge.answers_echo,
        framed,
    })
}

/// The accepting end.
pub(crate) async fn accept(
    stream: TcpStream,
    own: &NodeIncarnation,
    keys: &FleetKeys,
) -> Result<OpenLink> {
    let mut framed = Framed::new(stream, FrameCodec::new());
    let frame::Body::Hello(hello) = receive(&mut framed).await? else {
        return Err(Error::Unexpected);
    };
    let mut challenge = Challenge {
        node_id: own.node_id.to_string(),
        incarnation: own.incarnation,
        nonce: fresh_nonce(),
        mac: Bytes::new(),
        answers_echo: true,
    };
    challenge.mac = sign(keys, MacPurpose::LinkAcceptor, &hello, &challenge);
    send(&mut framed, frame::Body::Challenge(challenge.clone())).await?;
    let frame::Body::Proof(proof) = receive(&mut framed).await? else {
        return Err(Error::Unexpected);
    };
    if !is_proved(
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
        // Only the end that sends calls asks.
        answers_echo: false,
        framed,
    })
}

fn fresh_nonce() -> Bytes {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    Bytes::copy_from_slice(&nonce)
}

/// The MAC covers everything that both ends know.
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

fn is_proved(
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
