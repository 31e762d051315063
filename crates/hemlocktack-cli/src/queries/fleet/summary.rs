//! Sums of the nodes' status by service.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use hemlocktack_decide::{MAX_CLASSES, ShedLevel};
use hemlocktack_protocol::{EntryCount, NodeState, NodeStatus, Outcome, Reason, UpstreamState};

/// Sums over all nodes for one service.
#[derive(Default)]
pub(super) struct ServiceSummary {
    ready_count: usize,
    node_count: usize,
    draining_count: usize,
    answered_count: u64,
    not_run: Reasons,
    unknown: Reasons,
    admitted_count: u64,
    refused: Reasons,
    in_flight: u64,
    limit: u64,
    queued: u64,
    highest_shed_level: u32,
    quarantined: BTreeSet<u64>,
    slots: u64,
    slow_nodes: Vec<SlowNode>,
}

/// A node whose upstream reports a slowness that is not the usual one.
struct SlowNode {
    slowness_percent: u32,
    node_id: String,
}

/// Slow upstreams that are named for each service, the slowest first.
const MAX_SLOW_NODES: usize = 5;
/// Slowness from which an upstream is named.
const SLOW_FROM_PERCENT: u32 = 130;

/// Counts by reason.
#[derive(Default)]
struct Reasons(BTreeMap<&'static str, u64>);

impl ServiceSummary {
    /// Adds the status of a node of the service.
    pub(super) fn add_node(&mut self, node: &NodeStatus) {
        let is_draining =
            node.state() == NodeState::Draining || node.upstream() == UpstreamState::Draining;
        self.node_count += 1;
        self.ready_count += usize::from(node.state() == NodeState::Ready);
        self.draining_count += usize::from(is_draining);
        self.admitted_count += node.admitted_count;
        for refusal in &node.refusals {
            self.refused.add(refusal.reason(), refusal.count);
        }
        if let Some(load) = &node.load {
            self.in_flight += u64::from(load.in_flight);
            self.limit += u64::from(load.limit);
            self.queued += u64::from(load.queued);
            self.highest_shed_level = self.highest_shed_level.max(load.shed_level);
        }
        self.quarantined.extend(&node.quarantined_fingerprints);
        self.slots += u64::from(node.upstream_slots);
        if node.upstream_slowness_percent >= SLOW_FROM_PERCENT {
            self.slow_nodes.push(SlowNode {
                slowness_percent: node.upstream_slowness_percent,
                node_id: node.node_id.clone(),
            });
        }
    }

    /// Adds calls to the service that entered at some node.
    pub(super) fn add_entry(&mut self, entry: &EntryCount) {
        match entry.outcome() {
            Outcome::Answered => self.answered_count += entry.count,
            Outcome::NotRun => self.not_run.add(entry.reason(), entry.count),
            Outcome::Unknown | Outcome::Unspecified => {
                self.unknown.add(entry.reason(), entry.count);
            }
        }
    }

    pub(super) fn row(&self, service: &str) -> Vec<String> {
        let not_run = self.not_run.total();
        let unknown = self.unknown.total();
        vec![
            service_name(service).to_owned(),
            format!("{}/{}", self.ready_count, self.node_count),
            (self.answered_count + not_run + unknown).to_string(),
            self.answered_count.to_string(),
            not_run.to_string(),
            unknown.to_string(),
            self.admitted_count.to_string(),
            self.in_flight.to_string(),
            self.limit.to_string(),
            self.queued.to_string(),
            shed_text(self.highest_shed_level),
            self.draining_count.to_string(),
            self.quarantined.len().to_string(),
        ]
    }

    /// Formats one line for each kind of outcome that has counts.
    pub(super) fn reasons_text(&self, service: &str) -> String {
        let kinds = [
            ("not run", &self.not_run),
            ("unknown", &self.unknown),
            ("refused beside the upstream", &self.refused),
        ];
        let service = service_name(service);
        let mut text = String::new();
        for (kind, reasons) in kinds {
            if reasons.total() > 0 {
                text += &format!("{service} {kind}: {}\n", reasons.to_text());
            }
        }
        text += &self.slots_text(service);
        text
    }

    /// Formats the slots and the slow upstreams; nothing where no node reports slots.
    fn slots_text(&self, service: &str) -> String {
        if self.slots == 0 {
            return String::new();
        }
        let mut slow = self.slow_nodes.iter().collect::<Vec<_>>();
        slow.sort_by_key(|node| (Reverse(node.slowness_percent), &node.node_id));
        let named = slow.iter().take(MAX_SLOW_NODES);
        let named = named.map(|node| format!("{} {} %", node.node_id, node.slowness_percent));
        let named = named.collect::<Vec<_>>().join(", ");
        let slow = match slow.len() {
            0 => String::new(),
            count => format!("; {count} slow: {named}"),
        };
        format!("{service} slots: {}{slow}\n", self.slots)
    }
}

impl Reasons {
    fn add(&mut self, reason: Reason, count: u64) {
        *self.0.entry(reason.into()).or_default() += count;
    }

    fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// Formats the reasons, most frequent first.
    fn to_text(&self) -> String {
        let mut reasons = self.0.iter().collect::<Vec<_>>();
        reasons.sort_by_key(|(_, count)| Reverse(**count));
        let reasons = reasons
            .into_iter()
            .map(|(reason, count)| format!("{reason} {count}"));
        reasons.collect::<Vec<_>>().join(", ")
    }
}

/// Returns the name to show; calls to services that no configuration declares are counted together.
fn service_name(service: &str) -> &str {
    match service {
        "" => "(undeclared)",
        service => service,
    }
}

/// Formats the shed level: ranks before the named one are admitted in full, the named rank with the
/// given share, and later ranks not at all.
fn shed_text(packed: u32) -> String {
    let level = ShedLevel::unpack(packed);
    let cut = (0..MAX_CLASSES).find(|rank| level.share_of(*rank) < 1.0);
    match cut {
        Some(rank) => format!("rank {rank} to {:.0} %", level.share_of(rank) * 100.0),
        None => "-".to_owned(),
    }
}

/// Formats the number of nodes on which each generation is in force, newest first.
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
