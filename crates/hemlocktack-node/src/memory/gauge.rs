//! What memory is held for, as a metric.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hemlocktack_decide::BodyOwner;
use strum::{EnumCount, EnumIter, IntoStaticStr};

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum HeldFor {
    /// Request bodies that callers send here.
    CallerBodies,
    /// Request bodies that other nodes forward here.
    PeerBodies,
    /// Bodies of answers.
    Answers,
    /// Frames of other nodes, as far as they have arrived.
    ReceivedFrames,
    /// Frames that are not yet written to their links.
    UnsentFrames,
}

impl From<BodyOwner> for HeldFor {
    fn from(owner: BodyOwner) -> Self {
        match owner {
            BodyOwner::Caller => HeldFor::CallerBodies,
            BodyOwner::Peer => HeldFor::PeerBodies,
            BodyOwner::Answer => HeldFor::Answers,
        }
    }
}

/// Bytes held by this process.
#[derive(Clone, Default)]
pub(crate) struct MemoryGauge {
    bytes: Arc<[AtomicU64; HeldFor::COUNT]>,
}

/// Counts bytes as held until it is dropped.
pub(crate) struct GaugedBytes {
    memory: MemoryGauge,
    held_for: HeldFor,
    bytes: usize,
}

impl MemoryGauge {
    /// Returns the bytes held for this.
    pub(crate) fn bytes(&self, held_for: HeldFor) -> u64 {
        self.bytes[held_for as usize].load(Ordering::Relaxed)
    }

    pub(super) fn add(&self, held_for: HeldFor, bytes: usize) {
        self.bytes[held_for as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn subtract(&self, held_for: HeldFor, bytes: usize) {
        self.bytes[held_for as usize].fetch_sub(bytes as u64, Ordering::Relaxed);
    }

    /// Returns a count of no bytes yet.
    pub(crate) fn hold(&self, held_for: HeldFor) -> GaugedBytes {
        GaugedBytes {
            memory: self.clone(),
            held_for,
            bytes: 0,
        }
    }
}

impl GaugedBytes {
    /// Sets the number of bytes that are held.
    pub(crate) fn set(&mut self, bytes: usize) {
        // Most frames leave the size of their buffer as it was.
        if bytes == self.bytes {
            return;
        }
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.memory.add(self.held_for, more),
            None => self.memory.subtract(self.held_for, self.bytes - bytes),
        }
        self.bytes = bytes;
    }
}

impl Drop for GaugedBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
