//! The fleet's shared keys and the MACs made with them.
//!
//! Tickets, link handshakes and gossip datagrams are authenticated with the fleet key. Two keys
//! may be valid at once, so that operators can rotate the key without downtime: first every node
//! accepts the new key, then every node signs with it, then the old key is removed.

use std::fmt;

use derive_more::{Display, Error};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of a MAC in bytes.
pub const MAC_LENGTH_BYTES: usize = 32;
/// Minimum key length. A shorter key could be found by brute force from one captured MAC.
pub const KEY_MIN_LENGTH_BYTES: usize = 16;

/// HMAC-SHA-256 of a message.
pub type FleetMac = [u8; MAC_LENGTH_BYTES];
/// Result of the functions of this module.
pub type Result<T> = std::result::Result<T, KeyError>;

/// Why a key is rejected.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The key is shorter than [`KEY_MIN_LENGTH_BYTES`].
    #[display("the fleet key is shorter than {KEY_MIN_LENGTH_BYTES} bytes")]
    TooShort,
}

/// Purpose of a MAC, which is part of the authenticated data.
///
/// This domain separation prevents a MAC captured in one protocol from being replayed in another,
/// for example a handshake proof as a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MacPurpose {
    /// The fields of a ticket.
    Ticket,
    /// The nonce of a child call's ticket, derived from its parent's.
    ChildNonce,
    /// The acceptor's proof in a link handshake.
    LinkAcceptor,
    /// The dialler's proof in a link handshake.
    LinkDialler,
    /// A gossip datagram.
    Gossip,
    /// The context of a call, which the upstream forwards with its child calls.
    Context,
}

impl MacPurpose {
    fn label(self) -> &'static [u8] {
        match self {
            MacPurpose::Ticket => b"hemlocktack ticket 1",
            MacPurpose::ChildNonce => b"hemlocktack child nonce 1",
            MacPurpose::LinkAcceptor => b"hemlocktack link acceptor 1",
            MacPurpose::LinkDialler => b"hemlocktack link dialler 1",
            MacPurpose::Gossip => b"hemlocktack gossip 1",
            MacPurpose::Context => b"hemlocktack context 1",
        }
    }
}

/// One or two fleet keys: MACs are made with the first and accepted under either.
#[derive(Clone)]
pub struct FleetKeys {
    signing: Hmac<Sha256>,
    also_accepted: Option<Hmac<Sha256>>,
}

impl FleetKeys {
    /// Creates the keys from the signing key and, during a key rotation, a second accepted key.
    ///
    /// # Errors
    /// [`KeyError::TooShort`] if either key is too short.
    pub fn new(signing: &[u8], also_accepted: Option<&[u8]>) -> Result<FleetKeys> {
        let signing = keyed_mac(signing)?;
        let also_accepted = also_accepted.map(keyed_mac).transpose()?;
        Ok(FleetKeys {
            signing,
            also_accepted,
        })
    }

    /// Returns the MAC of a message that consists of `parts`.
    ///
    /// Each part is prefixed with its length, so `["ab", "c"]` and `["a", "bc"]` have different
    /// MACs.
    pub fn sign(&self, purpose: MacPurpose, parts: &[&[u8]]) -> FleetMac {
        mac_of(&self.signing, purpose, parts)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Returns whether `mac` is the MAC of the message under any valid key.
    ///
    /// A prefix of at least 16 bytes is accepted as a truncated MAC. The comparison runs in
    /// constant time.
    pub fn verify(&self, purpose: MacPurpose, parts: &[&[u8]], mac: &[u8]) -> bool {
        if mac.len() < KEY_MIN_LENGTH_BYTES {
            return false;
        }
        let keys = std::iter::once(&self.signing).chain(&self.also_accepted);
        keys.fold(false, |valid, key| {
            valid
                | mac_of(key, purpose, parts)
                    .verify_truncated_left(mac)
                    .is_ok()
        })
    }
}

impl fmt::Debug for FleetKeys {
    // Keeps the keys out of logs and panic messages.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let accepted_count = 1 + usize::from(self.also_accepted.is_some());
        formatter
            .debug_struct("FleetKeys")
            .field("accepted_count", &accepted_count)
            .finish_non_exhaustive()
    }
}

fn keyed_mac(key: &[u8]) -> Result<Hmac<Sha256>> {
    if key.len() < KEY_MIN_LENGTH_BYTES {
        return Err(KeyError::TooShort);
    }
    Hmac::new_from_slice(key).map_err(|_| KeyError::TooShort)
}

fn mac_of(key: &Hmac<Sha256>, purpose: MacPurpose, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = key.clone();
    update_with_part(&mut mac, purpose.label());
    for part in parts {
        update_with_part(&mut mac, part);
    }
    mac
}

fn update_with_part(mac: &mut Hmac<Sha256>, part: &[u8]) {
    mac.update(&(part.len() as u64).to_be_bytes());
    mac.update(part);
}
