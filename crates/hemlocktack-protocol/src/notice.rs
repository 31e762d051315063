//! What an upstream says about itself in the headers of its answers.

use crate::LoadReport;

/// Longest rate limit that is read, in characters.
const MAX_RATE_LIMIT_CHARS: usize = 20;
/// Characters of a malformed value that are kept for the log.
const MAX_LOGGED_CHARS: usize = 64;
const LEAVING: &[u8] = b"1";

/// What an answer says in one of its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Statement<T> {
    /// The answer does not have the header.
    #[default]
    Absent,
    /// The value of the header.
    Said(T),
    /// The header cannot be read. Contains its value, shortened, for the log.
    Malformed(String),
}

/// What one answer says about its upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerNotice {
    /// Calls per second that the upstream accepts from all nodes together; positive and finite.
    pub rate_limit_per_s: Statement<f64>,
    /// The upstream is leaving and wants no new calls.
    pub leaving: Statement<()>,
    /// Load of the upstream.
    pub load: Statement<LoadReport>,
}

/// Reads a rate limit from all values of its header: one positive decimal number.
///
/// Two values contradict each other, and a sign, an exponent or a name such as `inf` is no decimal
/// number. A limit of zero would never be lifted, because no answer could say so.
pub fn read_rate_limit<'a>(values: impl Iterator<Item = &'a [u8]>) -> Statement<f64> {
    let values: Vec<&[u8]> = values.collect();
    let [value] = values.as_slice() else {
        return absent_or_malformed(&values);
    };
    match parse_rate_limit(value) {
        Some(per_s) => Statement::Said(per_s),
        None => absent_or_malformed(&values),
    }
}

/// Reads a departure from all values of its header.
pub fn read_departure<'a>(values: impl Iterator<Item = &'a [u8]>) -> Statement<()> {
    let values: Vec<&[u8]> = values.collect();
    let is_leaving = !values.is_empty() && values.iter().all(|value| value.trim_ascii() == LEAVING);
    match is_leaving {
        true => Statement::Said(()),
        false => absent_or_malformed(&values),
    }
}

fn parse_rate_limit(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = |character: char| character.is_ascii_digit() || character == '.';
    if text.len() > MAX_RATE_LIMIT_CHARS || !text.chars().all(is_decimal) {
        return None;
    }
    let per_s: f64 = text.parse().ok()?;
    (per_s > 0.0).then_some(per_s)
}

pub(crate) fn absent_or_malformed<T>(values: &[&[u8]]) -> Statement<T> {
    if values.is_empty() {
        return Statement::Absent;
    }
    let text = String::from_utf8_lossy(&values.join(&b", "[..])).into_owned();
    Statement::Malformed(text.chars().take(MAX_LOGGED_CHARS).collect())
}
