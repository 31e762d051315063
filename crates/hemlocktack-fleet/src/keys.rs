//! The fleet's shared keys and the MACs made with them.
//!
//! Tickets, link handshakes and gossip datagrams all prove knowledge of the
//! fleet key. Two keys may be valid at once, so that operators can change the
//! key without a stop: first every node accepts the new one, then every node
//! signs with it, then the old one is dropped.

use std::fmt;

use derive_more::{Display, Error};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of a MAC in bytes.
pub const MAC_LENGTH_BYTES: usize = 32;
/// Shorter keys are refused: they could be guessed from one captured MAC.
pub const KEY_MIN_LENGTH_BYTES: usize = 16;

/// HMAC-SHA-256 of a message.
pub type FleetMac = [u8; MAC_LENGTH_BYTES];
/// Result of the functions of this module.
pub type Result<T> = std::result::Result<T, KeyError>;

/// Why a key is not taken.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyError {
    /// Fewer bytes than [`KEY_MIN_LENGTH_BYTES`].
    #[display("the fleet key is shorter than {KEY_MIN_LENGTH_BYTES} bytes")]
    TooShort,
}

/// What a MAC is made for.
///
/// It goes into the MAC, because a MAC that could be replayed for another
/// purpose would let a captured handshake proof pass as a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MacPurpose {
    /// A ticket's fields.
    Ticket,
    /// The nonce of a ticket that is derived from a parent call.
    ChildNonce,
    /// The acceptor's proof in a link handshake.
    LinkAcceptor,
    /// The dialler's proof in a link handshake.
    LinkDialler,
    /// A gossip datagram.
    Gossip,
    /// A call's context as the upstream passes it on.
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

/// One or two keys: signs with the first, accepts either.
#[derive(Clone)]
pub struct FleetKeys {
    signing: Hmac<Sha256>,
    also_accepted: Option<Hmac<Sha256>>,
}

impl FleetKeys {
    /// Takes the key to sign with and, while keys are changed, a second one to accept.
    ///
    /// # Errors
    /// [`KeyError::TooShort`] for either key.
    pub fn new(signing: &[u8], also_accepted: Option<&[u8]>) -> Result<FleetKeys> {
        let signing = keyed_mac(signing)?;
        let also_accepted = also_accepted.map(keyed_mac).transpose()?;
        Ok(FleetKeys {
            signing,
            also_accepted,
        })
    }

    /// MAC of a message that consists of `parts`.
    ///
    /// Each part goes in with its length: `["ab", "c"]` and `["a", "bc"]` differ.
    pub fn sign(&self, purpose: MacPurpose, parts: &[&[u8]]) -> FleetMac {
        absorb(&self.signing, purpose, parts)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Whether `mac` is this message's under any valid key.
    ///
    /// A prefix of at least 16 bytes is accepted as a truncated MAC. The
    /// comparison takes the same time wherever the first difference is.
    pub fn verify(&self, purpose: MacPurpose, parts: &[&[u8]], mac: &[u8]) -> bool {
        if mac.len() < KEY_MIN_LENGTH_BYTES {
            return false;
        }
        let keys = std::iter::once(&self.signing).chain(&self.also_accepted);
        keys.fold(false, |valid, key| {
            valid
                | absorb(key, purpose, parts)
                    .verify_truncated_left(mac)
                    .is_ok()
        })
    }
}

impl fmt::Debug for FleetKeys {
    // A key in a log or a panic message would be a key given away.
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

fn absorb(key: &Hmac<Sha256>, purpose: MacPurpose, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = key.clone();
    absorb_part(&mut mac, purpose.label());
    for part in parts {
        absorb_part(&mut mac, part);
    }
    mac
}

fn absorb_part(mac: &mut Hmac<Sha256>, part: &[u8]) {
    mac.update(&(part.len() as u64).to_be_bytes());
    mac.update(part);
}
