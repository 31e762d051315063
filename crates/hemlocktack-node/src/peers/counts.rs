//! Gossip traffic in bytes, by direction and kind of datagram.

use std::sync::atomic::{AtomicU64, Ordering};

use hemlocktack_protocol::{Gossip, gossip};
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// IPv4 and UDP headers of each datagram.
const HEADER_BYTES: u64 = 28;

/// Kind of a gossip datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum GossipKind {
    Probe,
    Ack,
    IndirectProbe,
    SyncPull,
    SyncPage,
    /// Changes that are sent at once, outside the regular rounds.
    News,
}

impl GossipKind {
    pub(crate) fn of(gossip: &Gossip) -> Self {
        match gossip.body {
            Some(gossip::Body::Probe(_)) => GossipKind::Probe,
            Some(gossip::Body::Ack(_)) => GossipKind::Ack,
            Some(gossip::Body::IndirectProbe(_)) => GossipKind::IndirectProbe,
            Some(gossip::Body::SyncPull(_)) => GossipKind::SyncPull,
            Some(gossip::Body::SyncPage(_)) => GossipKind::SyncPage,
            None => GossipKind::News,
        }
    }
}

/// Direction of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Direction {
    Sent,
    Received,
}

/// Bytes on the wire, including IP and UDP headers.
#[derive(Debug, Default)]
pub(crate) struct GossipCounts {
    bytes: [[AtomicU64; GossipKind::COUNT]; Direction::COUNT],
}

impl GossipCounts {
    pub(crate) fn count(&self, direction: Direction, kind: GossipKind, length: usize) {
        let bytes = length as u64 + HEADER_BYTES;
        self.bytes[direction as usize][kind as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn bytes(&self, direction: Direction, kind: GossipKind) -> u64 {
        self.bytes[direction as usize][kind as usize].load(Ordering::Relaxed)
    }

    /// Iterates over all pairs of direction and kind.
    pub(crate) fn all_pairs() -> impl Iterator<Item = (Direction, GossipKind)> {
        Direction::iter()
            .flat_map(|direction| GossipKind::iter().map(move |kind| (direction, kind)))
    }
}
