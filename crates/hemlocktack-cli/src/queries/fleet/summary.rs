//! Sums over the nodes of a service.

use std::collections::{BTreeMap, BTreeSet};

use hemlocktack_protocol::{NodeState, NodeStatus, Reason, UpstreamState};

/// What the nodes of one service say together.
#[derive(Default)]
pub(super) struct ServiceSummary {
    ready_count: usize,
    node_count: usize,
    draining_count: usize,
    demand_count: u64,
    admitted_count: u64,
    refusals: BTreeMap<&'static str, u64>,
    in_flight: u64,
    limit: u64,
    queued: u64,
    most_shed: u32,
    quarantined: BTreeSet<u64>,
}

impl ServiceSummary {
    pub(super) fn new(nodes: &[&NodeStatus]) -> Self {
        let mut summary = ServiceSummary::default();
        for node in nodes {
            summary.add(node);
        }
        summary
    }

    fn add(&mut self, node: &NodeStatus) {
        let is_draining =
            node.state() == NodeState::Draining || node.upstream() == UpstreamState::Draining;
        self.node_count += 1;
        self.ready_count += usize::from(node.state() == NodeState::Ready);
        self.draining_count += usize::from(is_draining);
        self.demand_count += node.demand_count;
        self.admitted_count += node.admitted_count;
        for refusal in &node.refusals {
            let reason = <&'static str>::from(Reason::try_from(refusal.reason).unwrap_or_default());
            *self.refusals.entry(reason).or_default() += refusal.count;
        }
        if let Some(load) = &node.load {
            self.in_flight += u64::from(load.in_flight);
            self.limit += u64::from(load.limit);
            self.queued += u64::from(load.queued);
            self.most_shed = self.most_shed.max(load.shed_level);
        }
        self.quarantined.extend(&node.quarantined_fingerprints);
    }

    pub(super) fn row(&self, service: &str) -> Vec<String> {
        let name = match service {
            "" => "(entry only)",
            service => service,
        };
        vec![
            name.to_owned(),
            format!("{}/{}", self.ready_count, self.node_count),
            self.demand_count.to_string(),
            self.admitted_count.to_string(),
            self.refusals.values().sum::<u64>().to_string(),
            self.in_flight.to_string(),
            self.limit.to_string(),
            self.queued.to_string(),
            shed_text(self.most_shed),
            self.draining_count.to_string(),
            self.quarantined.len().to_string(),
        ]
    }

    /// One line with the reasons, most frequent first; empty without refusals.
    pub(super) fn refusals_text(&self, service: &str) -> String {
        if self.refusals.is_empty() {
            return String::new();
        }
        let mut reasons = self.refusals.iter().collect::<Vec<_>>();
        reasons.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let reasons = reasons
            .into_iter()
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect::<Vec<_>>();
        format!("{service} refused: {}\n", reasons.join(", "))
    }
}

/// Where shedding cuts, from the packed form of `LoadHint.shed_level`: ranks
/// before the named one are admitted whole, of this one the given share.
fn shed_text(packed: u32) -> String {
    const RANKS: u32 = 8;
    const SHARE_BITS: u32 = 16;
    if packed == 0 {
        return "-".to_owned();
    }
    let cut = (RANKS << SHARE_BITS).saturating_sub(packed);
    let rank = cut >> SHARE_BITS;
    let share = f64::from(cut & 0xffff) / f64::from(1_u32 << SHARE_BITS);
    format!("rank {rank} to {:.0} %", share * 100.0)
}

/// Which generations are in force on how many nodes, newest first.
pub(super) fn generations_text(nodes: &[NodeStatus]) -> String {
    let mut counts = BTreeMap::<u64, usize>::new();
    for node in nodes {
        *counts.entry(node.generation_in_force).or_default() += 1;
    }
    let parts = counts
        .iter()
        .rev()
        .map(|(generation, count)| format!("{generation} on {count} of {} nodes", nodes.len()))
        .collect::<Vec<_>>();
    match parts.is_empty() {
        true => "no node answered\n".to_owned(),
        false => format!("generation in force: {}\n", parts.join(", ")),
    }
}
