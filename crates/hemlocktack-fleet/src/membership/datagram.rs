//! Datagrams as bytes: the message, then a MAC of fixed length.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use hemlocktack_protocol::Gossip;
use prost::Message;

type Result<T> = std::result::Result<T, DatagramError>;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// Shorter than a MAC.
    #[display("datagram is too short")]
    TooShort,
    /// The sender did not prove the fleet key.
    #[display("datagram has a wrong MAC")]
    WrongMac,
    /// Not a gossip message.
    #[display("datagram cannot be decoded")]
    Undecodable,
}

/// Encodes a message and puts its MAC behind it.
pub fn seal_datagram(gossip: &Gossip, mac: impl FnOnce(&[u8]) -> Bytes) -> Bytes {
    let mut datagram = BytesMut::from(gossip.encode_to_vec().as_slice());
    let mac = mac(&datagram);
    datagram.extend_from_slice(&mac);
    datagram.freeze()
}

/// Checks the MAC, and only then decodes the message.
///
/// # Errors
/// What the bytes are not: a datagram with a right MAC and a message behind it.
pub fn open_datagram(
    mut datagram: Bytes,
    mac_bytes: usize,
    is_right: impl FnOnce(&[u8], &[u8]) -> bool,
) -> Result<Gossip> {
    let Some(length) = datagram.len().checked_sub(mac_bytes) else {
        return Err(DatagramError::TooShort);
    };
    let mac = datagram.split_off(length);
    if !is_right(&datagram, &mac) {
        return Err(DatagramError::WrongMac);
    }
    Gossip::decode(datagram).map_err(|_| DatagramError::Undecodable)
}
