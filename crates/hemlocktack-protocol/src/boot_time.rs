//! Points in time on a clock that also counts while the machine is suspended.

use std::time::Duration;

use crate::whole_micros;

/// Time since the machine was started, including the time for which it was suspended.
///
/// `Instant` stands still while a machine is suspended. A time limit that other nodes rely on, such
/// as a lease, must not be longer for a machine that was suspended meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootTime(Duration);

impl BootTime {
    /// Creates the point at this time after the machine's start.
    pub const fn new(since_boot: Duration) -> BootTime {
        BootTime(since_boot)
    }

    /// Creates the point from whole microseconds after the machine's start.
    pub const fn from_micros(since_boot_us: u64) -> BootTime {
        BootTime(Duration::from_micros(since_boot_us))
    }

    /// Returns whole microseconds after the machine's start.
    pub fn as_micros(self) -> u64 {
        whole_micros(self.0)
    }

    /// Returns the time from `earlier` to this point; zero if `earlier` is later.
    pub fn saturating_since(self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point this much later.
    #[must_use]
    pub fn plus(self, duration: Duration) -> BootTime {
        BootTime(self.0.saturating_add(duration))
    }

    /// Returns the point this much earlier; the machine's start if that is later.
    #[must_use]
    pub fn minus(self, duration: Duration) -> BootTime {
        BootTime(self.0.saturating_sub(duration))
    }
}
