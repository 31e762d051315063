//! Threshold that separates admitted from shed requests.

use hemlocktack_protocol::{ClassRank, RootRequestId};

use crate::mix::mix;
use crate::queue::{MAX_CLASSES, class_of};

/// Number of positions per class.
pub(super) const CLASS_SPAN: u32 = 1 << 16;
/// Level at which everything is admitted.
const OPEN: u32 = MAX_CLASSES as u32 * CLASS_SPAN;

/// Threshold over all requests, ordered by class and then by a stable hash of the root request:
/// requests below the threshold are admitted.
///
/// Two nodes with the same level make the same decision for a request at whatever hop they see
/// it. The calls of one chain are therefore admitted or refused together, and no hop works for a
/// request that the next one drops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShedLevel(pub(super) u32);

impl ShedLevel {
    /// Nothing is shed.
    pub const OPEN: ShedLevel = ShedLevel(OPEN);

    /// Encodes the level for [`LoadHint::shed_level`]: 0 means that nothing is shed; the high
    /// bits count the classes that are shed entirely, from the least important, and the low 16
    /// bits are the shed share of the next class.
    pub fn pack(self) -> u32 {
        OPEN - self.0
    }

    /// Decodes the result of [`ShedLevel::pack`].
    pub fn unpack(packed: u32) -> Self {
        ShedLevel(OPEN - packed.min(OPEN))
    }

    /// Returns whether a request is below the threshold.
    pub fn admits(self, rank: ClassRank, root_request_id: RootRequestId) -> bool {
        self.0 == OPEN || position(rank, root_request_id) < self.0
    }

    /// Returns how many of the first `declared` classes are shed: 1.5 means one entire class and
    /// half of another.
    pub fn classes_shed(self, declared: usize) -> f64 {
        let shed = (0..declared).map(|class| 1.0 - self.share_of(class));
        // The sum of an empty iterator of floats is -0.
        shed.sum::<f64>().max(0.0)
    }

    /// Returns the admitted share of a class.
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
