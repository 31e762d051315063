//! Parses the JSON lines of nodes' logs.

use std::io::BufRead;
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One line of a node's log.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LogLine {
    /// Wall clock of the node that wrote it, as in the line.
    pub(crate) at: String,
    /// Milliseconds since the Unix epoch.
    pub(crate) at_ms: f64,
    /// Last word before the line's JSON object, or else the file name without its extension.
    pub(crate) source: String,
    /// Number of the log event.
    pub(crate) number: u64,
    pub(crate) message: String,
    /// All other fields of the line.
    pub(crate) fields: Map<String, Value>,
}

#[derive(Deserialize)]
struct RawLogLine {
    timestamp: String,
    number: u64,
    #[serde(default)]
    message: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Log level; it is not one of the event's own fields.
const LEVEL_FIELD: &str = "level";

impl LogLine {
    /// Returns a field's value as text, without JSON quotes.
    pub(crate) fn field(&self, name: &str) -> Option<String> {
        self.fields.get(name).map(text_of)
    }

    /// Formats all fields as `name=value` pairs, sorted by name.
    pub(crate) fn fields_text(&self) -> String {
        let pairs = self.fields.iter();
        let pairs = pairs.map(|(name, value)| format!("{name}={}", text_of(value)));
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// Passes each event of one log to `handle`, line by line, because a log may be larger than the
/// memory. Lines that are not events (a stack trace, the output of another program in the same file)
/// are skipped.
pub(crate) fn for_each(
    mut log: impl BufRead,
    path: &str,
    mut handle: impl FnMut(LogLine),
) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    while log.read_until(b'\n', &mut bytes)? > 0 {
        if let Some(line) = parse(&String::from_utf8_lossy(&bytes), path) {
            handle(line);
        }
        bytes.clear();
    }
    Ok(())
}

fn parse(line: &str, path: &str) -> Option<LogLine> {
    let begin = line.find('{')?;
    let mut raw: RawLogLine = serde_json::from_str(&line[begin..]).ok()?;
    raw.fields.remove(LEVEL_FIELD);
    let at_ms = milliseconds(&raw.timestamp)?;
    Some(LogLine {
        at: raw.timestamp,
        at_ms,
        source: source(&line[..begin], path),
        number: raw.number,
        message: raw.message,
        fields: raw.fields,
    })
}

/// Returns the name of the machine that wrote the line. Log collectors put it before the JSON object,
/// after their own timestamp.
fn source(before: &str, path: &str) -> String {
    let name = before.split_whitespace().last();
    let file = || Path::new(path).file_stem().and_then(|stem| stem.to_str());
    name.or_else(file).unwrap_or_default().to_owned()
}

fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Parses a timestamp such as `2026-12-02T23:59:01.234567Z`, the only format that nodes write.
fn milliseconds(timestamp: &str) -> Option<f64> {
    let (date, time) = timestamp.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.splitn(3, ':');
    let hours: f64 = time.next()?.parse().ok()?;
    let minutes: f64 = time.next()?.parse().ok()?;
    let seconds: f64 = time.next()?.parse().ok()?;
    let second_of_day = (hours * 60.0 + minutes) * 60.0 + seconds;
    let days = days_since_epoch(year, month, day) as f64;
    Some((days * 86_400.0 + second_of_day) * 1_000.0)
}

/// Returns the days since 1970-01-01 in the Gregorian calendar. Years are counted from March, so that
/// the leap day is the last day of its year.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let months_since_march = (month + 9) % 12;
    let day_of_year = (153 * months_since_march + 2) / 5 + day - 1;
    let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    const DAYS_BEFORE_1970: i64 = 719_468;
    year * 365 + leap_days + day_of_year - DAYS_BEFORE_1970
}
