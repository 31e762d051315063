//! Digests of API keys.

use std::fmt;

use derive_more::{Display, Error};
use serde::{Serialize, Serializer};
use sha2::{Digest, Sha256};

/// Length of a digest in bytes.
const KEY_DIGEST_LENGTH_BYTES: usize = 32;

/// Result of parsing a digest.
pub(crate) type Result<T> = std::result::Result<T, MalformedDigest>;

/// A text that is not the digest of a key. The text itself may be a key and is not repeated.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a SHA-256 digest in hexadecimal digits")]
pub struct MalformedDigest;

/// SHA-256 digest of an API key, which takes the place of the key wherever it is kept.
///
/// Keys are long random texts, so their plain digest can't be reversed by trying out keys.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; KEY_DIGEST_LENGTH_BYTES]);

/// Returns the digest of a key.
pub fn digest_key(key: &[u8]) -> KeyDigest {
    KeyDigest(Sha256::digest(key).into())
}

impl KeyDigest {
    /// Parses 64 hexadecimal digits.
    ///
    /// # Errors
    /// [`MalformedDigest`] for any other text.
    pub fn parse(text: &str) -> Result<KeyDigest> {
        let has_form = text.len() == 2 * KEY_DIGEST_LENGTH_BYTES && text.is_ascii();
        if !has_form {
            return Err(MalformedDigest);
        }
        let mut digest = [0; KEY_DIGEST_LENGTH_BYTES];
        for (position, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * position..2 * position + 2];
            if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
                return Err(MalformedDigest);
            }
            *byte = u8::from_str_radix(digits, 16).map_err(|_| MalformedDigest)?;
        }
        Ok(KeyDigest(digest))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut digits = self.0.iter();
        digits.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({self})")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
