//! Encoding of datagrams: the message, followed by a MAC of fixed length.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use hemlocktack_protocol::{Gossip, gossip};
use prost::Message;

use super::settings::NODE_ID_LIMIT_BYTES;

type Result<T> = std::result::Result<T, DatagramError>;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// Shorter than a MAC.
    #[display("datagram is too short")]
    TooShort,
    /// The datagram was not signed with a valid fleet key.
    #[display("datagram has a wrong MAC")]
    WrongMac,
    /// The message cannot be decoded.
    #[display("datagram cannot be decoded")]
    Undecodable,
    /// A node id is longer than any valid one.
    #[display("datagram has an id over {NODE_ID_LIMIT_BYTES} bytes")]
    OverlongId,
}

/// Encodes a message and appends its MAC.
pub fn seal_datagram(gossip: &Gossip, mac: impl FnOnce(&[u8]) -> Bytes) -> Bytes {
    let mut datagram = BytesMut::from(gossip.encode_to_vec().as_slice());
    let mac = mac(&datagram);
    datagram.extend_from_slice(&mac);
    datagram.freeze()
}

/// Verifies the MAC and then decodes the message.
///
/// # Errors
/// The reason why the datagram is dropped.
pub fn open_datagram(
    mut datagram: Bytes,
    mac_bytes: usize,
    is_valid_mac: impl FnOnce(&[u8], &[u8]) -> bool,
) -> Result<Gossip> {
    let Some(length) = datagram.len().checked_sub(mac_bytes) else {
        return Err(DatagramError::TooShort);
    };
    let mac = datagram.split_off(length);
    if !is_valid_mac(&datagram, &mac) {
        return Err(DatagramError::WrongMac);
    }
    let gossip = Gossip::decode(datagram).map_err(|_| DatagramError::Undecodable)?;
    if has_overlong_id(&gossip) {
        return Err(DatagramError::OverlongId);
    }
    Ok(gossip)
}

/// Returns whether a node id in the message is longer than any valid one.
///
/// A reply repeats such an id and would exceed the datagram limit: it would be fragmented by the
/// network and lost entirely whenever one fragment is lost.
fn has_overlong_id(gossip: &Gossip) -> bool {
    let in_body: [&str; 2] = match &gossip.body {
        Some(gossip::Body::Probe(probe)) => [&probe.on_behalf_of, ""],
        Some(gossip::Body::Ack(ack)) => [&ack.of_node_id, ""],
        Some(gossip::Body::IndirectProbe(probe)) => [&probe.target_node_id, ""],
        Some(gossip::Body::SyncPull(pull)) => [&pull.after_node_id, ""],
        Some(gossip::Body::SyncPage(page)) => [&page.after_node_id, &page.last_node_id],
        None => ["", ""],
    };
    let of_members = gossip.members.iter().map(|member| member.node_id.as_str());
    let mut all = of_members
        .chain(in_body)
        .chain([gossip.from_node_id.as_str()]);
    all.any(|id| id.len() > NODE_ID_LIMIT_BYTES)
}
