//! Age of a call when its receiver reads it.

use std::time::Duration;

/// Time after which a baseline is replaced by the fastest call since, so that two clocks that
/// drift apart make no call look old.
const BASELINE_WINDOW: Duration = Duration::from_secs(10);
/// Calls in a window that are enough to find one without delay among them.
const BASELINE_CALLS: u32 = 16;

/// Estimates how long calls of one link have been on their way, queued, or unread by a receiver
/// that stood still.
///
/// Both ends count from the opening handshake: the sender from the moment at which it read the
/// receiver's challenge, the receiver from the moment at which it sent it. The difference of the
/// two clocks at a call is then its own delay and one round trip at least. The fastest call of the
/// last window is taken to have had no delay; until there is one, no difference counts as normal.
#[derive(Clone, Debug, Default)]
pub struct CallAges {
    baseline: Duration,
    fastest: Option<Duration>,
    calls_in_window: u32,
    window_began: Duration,
}

impl CallAges {
    /// Returns the age of a call that was queued and read at these times of the two clocks.
    pub fn age(&mut self, queued_at: Duration, read_at: Duration) -> Duration {
        let is_over = read_at.saturating_sub(self.window_began) >= BASELINE_WINDOW;
        if is_over && self.calls_in_window >= BASELINE_CALLS {
            self.begin_window(read_at);
        }
        self.calls_in_window += 1;
        let difference = read_at.saturating_sub(queued_at);
        let fastest = self
            .fastest
            .map_or(difference, |fastest| fastest.min(difference));
        self.fastest = Some(fastest);
        self.baseline = self.baseline.min(fastest);
        difference - self.baseline
    }

    fn begin_window(&mut self, read_at: Duration) {
        self.window_began = read_at;
        self.calls_in_window = 0;
        if let Some(fastest) = self.fastest.take() {
            self.baseline = fastest;
        }
    }
}
