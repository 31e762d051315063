//! Cost of a phase per node, and its slope over the number of nodes.

use std::collections::BTreeMap;

use hemlocktack_testkit::platform::Counts;

use crate::sample::Scrape;

/// Means over all nodes that ran during the whole phase.
pub(crate) struct Cost {
    pub(crate) phase: &'static str,
    pub(crate) nodes: usize,
    /// Value by name: percent of a core, megabytes, bytes per second or calls per second.
    pub(crate) values: BTreeMap<String, f64>,
}

/// Computes the cost of a phase from the scrapes before and after it.
pub(crate) fn cost(
    phase: &'static str,
    before: &[Scrape],
    after: &[Scrape],
    platform: (Counts, Counts),
) -> Cost {
    let mut values = BTreeMap::new();
    let pairs: Vec<_> = before
        .iter()
        .zip(after)
        .filter(|(before, after)| before.process_id == after.process_id)
        .collect();
    let count = pairs.len().max(1) as f64;
    let mut add = |name: &str, value: f64| *values.entry(name.to_owned()).or_insert(0.0) += value;
    let mut seconds = 0.0;
    for (before, after) in pairs {
        seconds = after.at.duration_since(before.at).as_secs_f64();
        add(
            "cpu_percent",
            (after.cpu_s - before.cpu_s) / seconds * 100.0 / count,
        );
        add("resident_mb", after.resident_bytes / 1e6 / count);
        for (name, value) in after.values("hemlocktack_gossip_bytes") {
            let rate = (value - before.value(name)) / seconds / count;
            add(&short_name(name), rate);
            add("gossip_bytes_per_s", rate);
        }
    }
    let (start, end) = platform;
    let rate = |start: u64, end: u64| (end - start) as f64 / seconds;
    add("platform_gets_per_s", rate(start.gets, end.gets));
    add("platform_lists_per_s", rate(start.lists, end.lists));
    add("platform_watches_per_s", rate(start.watches, end.watches));
    add("platform_puts_per_s", rate(start.puts, end.puts));
    Cost {
        phase,
        nodes: after.len(),
        values,
    }
}

/// `hemlocktack_gossip_bytes_total{direction="sent",kind="ack"}` -> `sent-ack`.
fn short_name(metric: &str) -> String {
    let labels: Vec<&str> = metric.split('"').skip(1).step_by(2).collect();
    labels.join("-")
}

/// Least-squares line through the values of one name in one phase.
pub(crate) struct Line {
    pub(crate) at_zero: f64,
    pub(crate) per_node: f64,
}

/// Fits a line; `None` with fewer than two different sizes.
pub(crate) fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let square_sum: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || square_sum == 0.0 {
        return None;
    }
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let per_node = products.sum::<f64>() / square_sum;
    Some(Line {
        at_zero: mean_y - per_node * mean_x,
        per_node,
    })
}
