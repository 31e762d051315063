//! Times as people and other systems write them.

use std::time::Duration;

/// Reads a number with its unit, `ms` or `s`: `1500ms`, `2.5s`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit_s) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    Duration::try_from_secs_f64(number * unit_s).ok()
}
