//! The table of results.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use crate::load::{Kind, Outcome, RequestResult};

/// Renders a line for each class, followed by the reasons of its requests without an answer.
pub(crate) fn render(results: &[RequestResult]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<9}{:>7}{:>16}{:>17}{:>9}{:>18}{:>9}{:>9}",
        "class",
        "sent",
        "answered whole",
        "refused not run",
        "unknown",
        "resends/request",
        "p50 ms",
        "p99 ms"
    );
    for (kind, name) in [(Kind::Booking, "booking"), (Kind::Browse, "browse")] {
        let of_kind: Vec<&RequestResult> = results
            .iter()
            .filter(|result| result.kind == kind)
            .collect();
        let _ = writeln!(text, "{}", line(name, &of_kind));
        for (reason, count) in reasons(&of_kind) {
            let _ = writeln!(text, "{:<9}{count:>7} {reason}", "");
        }
    }
    text
}

fn line(name: &str, results: &[&RequestResult]) -> String {
    let count = |outcome: Outcome| {
        results
            .iter()
            .filter(|result| result.outcome == outcome)
            .count()
    };
    let resends: u32 = results.iter().map(|result| result.resends).sum();
    let resends_per_request = f64::from(resends) / results.len().max(1) as f64;
    let answered = results
        .iter()
        .filter(|result| result.outcome == Outcome::Answered);
    let mut durations: Vec<Duration> = answered.map(|result| result.duration).collect();
    durations.sort_unstable();
    format!(
        "{name:<9}{:>7}{:>16}{:>17}{:>9}{resends_per_request:>18.2}{:>9.1}{:>9.1}",
        results.len(),
        count(Outcome::Answered),
        count(Outcome::Refused),
        count(Outcome::Unknown),
        quantile_ms(&durations, 0.50),
        quantile_ms(&durations, 0.99),
    )
}

fn reasons<'a>(results: &[&'a RequestResult]) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    for result in results
        .iter()
        .filter(|result| result.outcome != Outcome::Answered)
    {
        *counts.entry(result.reason.as_str()).or_default() += 1;
    }
    counts
}

fn quantile_ms(sorted: &[Duration], quantile: f64) -> f64 {
    let index = ((sorted.len() as f64 * quantile) as usize).min(sorted.len().saturating_sub(1));
    sorted
        .get(index)
        .map_or(0.0, |duration| duration.as_secs_f64() * 1000.0)
}
