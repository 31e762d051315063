//! Load that an upstream reports of itself.

use crate::Statement;
use crate::notice::absent_or_malformed;

/// Largest figure that is read. No upstream has a million slots, and a larger number is an error
/// of its sender.
const MAX_FIGURE: u32 = 1_000_000;
const MAX_FIGURE_DIGITS: usize = 7;

/// An upstream's report of its load. A report is only a hint: it may be late or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the upstream is running.
    pub running: u32,
    /// Requests that wait inside the upstream.
    pub waiting: u32,
    /// Requests that the upstream runs concurrently; `None` if it reports zero.
    pub slots: Option<u32>,
    /// How long work currently takes on the upstream's machine, in per cent of the usual time.
    pub slowness_percent: Option<u32>,
}

/// Reads a load report from all values of its header: the requests running, those waiting, the
/// slots and, optionally, the slowness in per cent, separated by commas.
///
/// Each figure is read by its position, and further ones are ignored: taking the slowness for the
/// slots would set a wrong limit. If any of the four is malformed, so is the report.
pub fn read_load_report<'a>(values: impl Iterator<Item = &'a [u8]>) -> Statement<LoadReport> {
    let values: Vec<&[u8]> = values.collect();
    let report = match values.as_slice() {
        [value] => parse_load_report(value),
        _ => None,
    };
    report.map_or_else(|| absent_or_malformed(&values), Statement::Said)
}

fn parse_load_report(value: &[u8]) -> Option<LoadReport> {
    let mut figures = std::str::from_utf8(value).ok()?.split(',');
    let running = parse_figure(figures.next()?)?;
    let waiting = parse_figure(figures.next()?)?;
    let slots = parse_figure(figures.next()?)?;
    let slowness_percent = match figures.next() {
        Some(figure) => Some(parse_figure(figure).filter(|percent| *percent > 0)?),
        None => None,
    };
    Some(LoadReport {
        running,
        waiting,
        slots: Some(slots).filter(|slots| *slots > 0),
        slowness_percent,
    })
}

/// Parses an unsigned decimal number. A sign is refused, which the standard parser would accept.
fn parse_figure(figure: &str) -> Option<u32> {
    let figure = figure.trim();
    let is_decimal = figure.bytes().all(|byte| byte.is_ascii_digit());
    if !is_decimal || figure.len() > MAX_FIGURE_DIGITS {
        return None;
    }
    figure.parse().ok().filter(|figure| *figure <= MAX_FIGURE)
}
