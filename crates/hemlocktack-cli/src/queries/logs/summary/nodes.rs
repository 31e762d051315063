//! Which nodes are unlike the others.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::output::Table;

/// A node is shown if it counts more than so many times what its like do on average.
const TIMES_THE_MEAN: f64 = 2.0;
/// Nodes that are shown of a fleet of any size.
pub(super) const SHOWN_MOST: usize = 12;

/// What one node logged.
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
    /// All that was not as wanted.
    fn sum(&self) -> u64 {
        self.refused_requests + self.ended_sends + self.refused_calls + self.late_answers
    }
}

/// Those with most to tell first.
pub(super) fn by_number(counts: BTreeMap<String, NodeCount>) -> Vec<NodeCount> {
    let named = counts
        .into_iter()
        .map(|(node, count)| NodeCount { node, ..count });
    let mut nodes: Vec<NodeCount> = named.collect();
    nodes.sort_by_key(|node| std::cmp::Reverse(node.sum()));
    nodes
}

/// Nodes that count far more than the mean.
pub(super) fn standing_out(nodes: &[NodeCount]) -> Vec<&NodeCount> {
    let total: u64 = nodes.iter().map(NodeCount::sum).sum();
    let mean = total as f64 / nodes.len().max(1) as f64;
    let far_above = |node: &&NodeCount| node.sum() as f64 > mean * TIMES_THE_MEAN;
    nodes.iter().filter(far_above).collect()
}

/// Rows of these nodes, `most` of them, and how many others there are.
pub(super) fn text(nodes: &[&NodeCount], most: usize, like_others: usize) -> String {
    let heading = [
        "node",
        "refused",
        "sends ended",
        "calls refused",
        "late",
        "most waiting",
    ];
    let mut table = Table::new(&heading);
    for node in nodes.iter().take(most) {
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
    let cut_off = nodes.len().saturating_sub(most);
    if cut_off > 0 {
        text += &format!("{cut_off} more count more than twice the mean\n");
    }
    if like_others > 0 {
        text += &format!("{like_others} nodes count less than twice the mean; --nodes shows all\n");
    }
    text
}
