//! Selects the nodes whose counts stand out.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::output::Table;

/// A node is an outlier if its count is above this multiple of the mean over all nodes.
const TIMES_THE_MEAN: f64 = 2.0;
/// Maximum number of outliers shown, whatever the size of the fleet.
pub(super) const MAX_OUTLIERS_SHOWN: usize = 12;

/// Counts of one node.
#[derive(Clone, Default, Serialize)]
pub(super) struct NodeCount {
    pub(super) node: String,
    pub(super) refused_requests: u64,
    pub(super) ended_sends: u64,
    pub(super) refused_calls: u64,
    pub(super) late_answers: u64,
    pub(super) most_waiting: u64,
}

impl NodeCount {
    /// Returns the number of refused, repeated and late requests and calls.
    fn sum(&self) -> u64 {
        self.refused_requests + self.ended_sends + self.refused_calls + self.late_answers
    }
}

/// Returns the nodes, those with the highest counts first.
pub(super) fn by_count(counts: BTreeMap<String, NodeCount>) -> Vec<NodeCount> {
    let named = counts
        .into_iter()
        .map(|(node, count)| NodeCount { node, ..count });
    let mut nodes: Vec<NodeCount> = named.collect();
    nodes.sort_by_key(|node| std::cmp::Reverse(node.sum()));
    nodes
}

/// Returns the nodes whose count is far above the mean.
pub(super) fn outliers(nodes: &[NodeCount]) -> Vec<&NodeCount> {
    let total: u64 = nodes.iter().map(NodeCount::sum).sum();
    let mean = total as f64 / nodes.len().max(1) as f64;
    let is_outlier = |node: &&NodeCount| node.sum() as f64 > mean * TIMES_THE_MEAN;
    nodes.iter().filter(is_outlier).collect()
}

/// Formats at most `max_rows` of these nodes, and the numbers of those not shown.
pub(super) fn text(nodes: &[&NodeCount], max_rows: usize, omitted_count: usize) -> String {
    let heading = [
        "node",
        "refused",
        "sends ended",
        "calls refused",
        "late",
        "most waiting",
    ];
    let mut table = Table::new(&heading);
    for node in nodes.iter().take(max_rows) {
        let counts = [
            node.refused_requests,
            node.ended_sends,
            node.refused_calls,
            node.late_answers,
            node.most_waiting,
        ];
        let mut row = vec![node.node.clone()];
        row.extend(counts.map(|count| count.to_string()));
        table.row(row);
    }
    let mut text = match nodes {
        [] => String::new(),
        _ => table.to_text(),
    };
    let outliers_cut = nodes.len().saturating_sub(max_rows);
    if outliers_cut > 0 {
        text += &format!("{outliers_cut} more count more than twice the mean\n");
    }
    if omitted_count > 0 {
        text +=
            &format!("{omitted_count} nodes count less than twice the mean; --nodes shows all\n");
    }
    text
}
