//! Memory that the node holds for bodies and for frames, by what it is held for.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use strum::{EnumCount, EnumIter, IntoStaticStr};

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum HeldFor {
    /// Request bodies that callers send here.
    CallerBodies,
    /// Answers of this node's upstream.
    Answers,
    /// Frames of other nodes, as far as they have arrived.
    ReceivedFrames,
    /// Frames that are not yet written to their links.
    UnsentFrames,
}

/// Bytes held by this process.
#[derive(Clone, Default)]
pub(crate) struct HeldMemory {
    bytes: Arc<[AtomicU64; HeldFor::COUNT]>,
}

/// Counts bytes as held until it is dropped.
pub(crate) struct HeldBytes {
    memory: HeldMemory,
    held_for: HeldFor,
    bytes: usize,
}

/// A buffer that counts as held until the last reference to it is dropped.
struct TrackedBuffer {
    buffer: Bytes,
    _held: HeldBytes,
}

impl HeldMemory {
    /// Returns the bytes held for this.
    pub(crate) fn bytes(&self, held_for: HeldFor) -> u64 {
        self.bytes[held_for as usize].load(Ordering::Relaxed)
    }

    /// Returns a count of no bytes yet.
    pub(crate) fn hold(&self, held_for: HeldFor) -> HeldBytes {
        HeldBytes {
            memory: self.clone(),
            held_for,
            bytes: 0,
        }
    }

    /// Returns the same bytes, counted until the last reference to them is dropped.
    pub(crate) fn track(&self, held_for: HeldFor, buffer: Bytes) -> Bytes {
        if buffer.is_empty() {
            return buffer;
        }
        let mut held = self.hold(held_for);
        held.set(buffer.len());
        Bytes::from_owner(TrackedBuffer {
            buffer,
            _held: held,
        })
    }
}

impl HeldBytes {
    /// Sets the number of bytes that are held.
    pub(crate) fn set(&mut self, bytes: usize) {
        let total = &self.memory.bytes[self.held_for as usize];
        match bytes.checked_sub(self.bytes) {
            Some(more) => total.fetch_add(more as u64, Ordering::Relaxed),
            None => total.fetch_sub((self.bytes - bytes) as u64, Ordering::Relaxed),
        };
        self.bytes = bytes;
    }

    pub(crate) fn add(&mut self, bytes: usize) {
        self.set(self.bytes + bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl AsRef<[u8]> for TrackedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
