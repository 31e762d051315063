//! The clock that also counts while the machine is suspended.

use std::time::Duration;

use hemlocktack_protocol::BootTime;
use rustix::time::{ClockId, clock_gettime};

/// Returns the current time.
pub(crate) fn boot_time() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    BootTime::new(Duration::new(seconds, nanoseconds))
}
