//! Durations in settings and messages.

use std::time::Duration;

/// Returns whole microseconds, the unit of times in messages between nodes.
pub fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Parses a number with the unit `ms` or `s`, such as `1500ms` or `2.5s`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit_s) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    Duration::try_from_secs_f64(number * unit_s).ok()
}
