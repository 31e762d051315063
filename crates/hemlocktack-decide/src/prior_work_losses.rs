//! Notices that calls with prior work are lost for lack of capacity.

use std::time::{Duration, Instant};

/// Length of the periods in which calls and losses are counted. Some calls of a request are made
/// within it, and the order of the queue does not change more often.
const PERIOD: Duration = Duration::from_millis(500);
/// One lost call in this many counts as overload: of requests with eight calls here, one in seven
/// then fails after some of them have run.
const CALLS_PER_LOSS: u32 = 50;
/// The overload counts as over once fewer than one call in this many is lost: while the calls of
/// one request win or lose together, fewer are lost.
const CALLS_PER_LOSS_AFTERWARDS: u32 = 400;

/// Counts of the calls with prior work that were offered, and of those refused for lack of time or
/// room.
#[derive(Debug)]
pub(crate) struct PriorWorkLosses {
    period_began: Instant,
    offered: u32,
    lost: u32,
    is_losing: bool,
}

impl PriorWorkLosses {
    pub(crate) fn new(now: Instant) -> Self {
        PriorWorkLosses {
            period_began: now,
            offered: 0,
            lost: 0,
            is_losing: false,
        }
    }

    pub(crate) fn record_offer(&mut self, now: Instant) {
        if now.saturating_duration_since(self.period_began) >= PERIOD {
            let calls_per_loss = match self.is_losing {
                true => CALLS_PER_LOSS_AFTERWARDS,
                false => CALLS_PER_LOSS,
            };
            self.is_losing = self.lost > 0 && self.lost * calls_per_loss >= self.offered;
            self.period_began = now;
            self.offered = 0;
            self.lost = 0;
        }
        self.offered += 1;
    }

    pub(crate) fn record_loss(&mut self) {
        self.lost += 1;
    }

    /// Returns whether calls were lost in the last complete period.
    pub(crate) fn is_losing(&self) -> bool {
        self.is_losing
    }
}
