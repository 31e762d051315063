//! A cut through all requests.

use hemlocktack_protocol::{ClassRank, RootRequestId};

use crate::mix::mix;
use crate::queue::{MAX_CLASSES, class_of};

/// Positions of one class.
pub(super) const CLASS_SPAN: u32 = 1 << 16;
/// Level at which everything is admitted.
const OPEN: u32 = MAX_CLASSES as u32 * CLASS_SPAN;

/// A cut through all requests, ordered by class and then by a stable hash of
/// the root request: those before the cut are admitted.
///
/// Two nodes with the same level give the same request the same verdict, at
/// whatever hop they meet it, so a chain's calls are admitted or refused
/// together and no hop works for a request that the next one drops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShedLevel(pub(super) u32);

impl ShedLevel {
    /// Nothing is shed.
    pub const OPEN: ShedLevel = ShedLevel(OPEN);

    /// Form that goes into [`LoadHint::shed_level`]: 0 is nothing shed; the
    /// high bits count the classes shed whole, from the last, and the low 16
    /// are the share of the next one.
    pub fn pack(self) -> u32 {
        OPEN - self.0
    }

    /// Reverse of [`ShedLevel::pack`].
    pub fn unpack(packed: u32) -> Self {
        ShedLevel(OPEN - packed.min(OPEN))
    }

    /// Whether a request is before the cut.
    pub fn admits(self, rank: ClassRank, root_request_id: RootRequestId) -> bool {
        self.0 == OPEN || position(rank, root_request_id) < self.0
    }

    /// How many of the first `declared` classes are shed: 1.5 is one whole and
    /// half of another.
    pub fn classes_shed(self, declared: usize) -> f64 {
        let shed = (0..declared).map(|class| 1.0 - self.share_of(class));
        // An empty sum of floats is -0.
        shed.sum::<f64>().max(0.0)
    }

    /// Share of a class that is admitted.
    pub fn share_of(self, class: usize) -> f64 {
        let begin = class as u32 * CLASS_SPAN;
        let inside = self.0.saturating_sub(begin).min(CLASS_SPAN);
        f64::from(inside) / f64::from(CLASS_SPAN)
    }

    pub(super) fn at(class: usize, share: f64) -> Self {
        let inside = (share.clamp(0.0, 1.0) * f64::from(CLASS_SPAN)) as u32;
        ShedLevel(class as u32 * CLASS_SPAN + inside)
    }
}

fn position(rank: ClassRank, root_request_id: RootRequestId) -> u32 {
    let place = (mix(root_request_id) >> 48) as u32;
    class_of(rank) as u32 * CLASS_SPAN + place
}
