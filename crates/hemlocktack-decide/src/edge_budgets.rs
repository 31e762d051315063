//! The retry budgets of one node: one edge per called service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_protocol::ServiceName;

use crate::edge_budget::EdgeRetryBudget;
use crate::retry::{MAX_MIN_RETRIES, RetryPolicy};

/// Default of [`FleetRetryLimits::min_retries`]: about the number of calls in flight to a
/// service when half of its nodes are lost at once.
const DEFAULT_MIN_RETRIES: u32 = 136;

/// How long an edge is kept after the last node of its service has left: longer than the windows
/// over which retries are counted.
const EDGE_RETENTION: Duration = Duration::from_secs(20);

/// Operators' limits on the retries of calls to a service in any ten seconds, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetRetryLimits {
    /// Retries per thousand first attempts.
    pub share_per_mille: u32,
    /// Retries allowed regardless of the share, however few first attempts there are.
    pub min_retries: u32,
}

impl Default for FleetRetryLimits {
    fn default() -> Self {
        FleetRetryLimits {
            share_per_mille: RetryPolicy::default().share_per_mille,
            min_retries: DEFAULT_MIN_RETRIES,
        }
    }
}

impl FleetRetryLimits {
    /// Returns one node's part of `min_retries`.
    ///
    /// If each node made a fixed number of retries whatever its share, the total would grow with
    /// the fleet (136 with seventeen nodes, 4,480 with 560), and a small service would get all
    /// of them. Dividing the total into whole parts bounds the sum without coordination between
    /// nodes.
    fn node_min_retries(&self, position: NodePosition) -> u32 {
        let nodes = u32::try_from(position.count.max(1)).unwrap_or(u32::MAX);
        let rest = self.min_retries % nodes;
        let gets_one_more = u32::try_from(position.index).is_ok_and(|index| index < rest);
        let part = self.min_retries / nodes + u32::from(gets_one_more);
        part.min(MAX_MIN_RETRIES)
    }
}

/// Position of a node among those that may make retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodePosition {
    /// Index in an order that all nodes agree on.
    pub index: usize,
    /// Number of nodes in that order.
    pub count: usize,
}

impl NodePosition {
    /// Position of a node that knows no other nodes.
    pub const ONLY_NODE: NodePosition = NodePosition { index: 0, count: 1 };
}

/// Budgets of the edges to the services that a node knows or has recently known.
///
/// If an edge were removed together with the last node of its service, a service whose nodes are
/// all lost and return seconds later would meet a new edge with an unused budget while it is
/// starting. An edge is therefore kept until none of its retries counts any more.
#[derive(Debug)]
pub struct EdgeRetryBudgets {
    limits: FleetRetryLimits,
    position: NodePosition,
    edges: HashMap<ServiceName, Edge>,
}

#[derive(Debug)]
struct Edge {
    budget: Arc<EdgeRetryBudget>,
    /// Since when its service has had no nodes; `None` while it has some.
    absent_since: Option<Instant>,
}

impl EdgeRetryBudgets {
    /// Creates an empty set of edges.
    pub fn new(limits: FleetRetryLimits, position: NodePosition) -> Self {
        EdgeRetryBudgets {
            limits,
            position,
            edges: HashMap::new(),
        }
    }

    /// Sets the operators' limits for every edge.
    pub fn set_limits(&mut self, limits: FleetRetryLimits) {
        self.limits = limits;
        self.set_policies();
    }

    /// Sets the position of this node among the others.
    pub fn set_position(&mut self, position: NodePosition) {
        self.position = position;
        self.set_policies();
    }

    /// Updates which services currently have nodes.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Instant) {
        self.edges.retain(|service, edge| {
            if is_known(service) {
                edge.absent_since = None;
                return true;
            }
            let absent_since = *edge.absent_since.get_or_insert(now);
            now.saturating_duration_since(absent_since) < EDGE_RETENTION
        });
    }

    /// Returns the edge to a service, creating it if necessary.
    pub fn edge(&mut self, service: &ServiceName, now: Instant) -> Arc<EdgeRetryBudget> {
        let policy = self.policy();
        let fresh = || Edge {
            budget: Arc::new(EdgeRetryBudget::new(policy, now)),
            absent_since: None,
        };
        let edge = self.edges.entry(service.clone()).or_insert_with(fresh);
        edge.budget.clone()
    }

    fn set_policies(&self) {
        let policy = self.policy();
        for edge in self.edges.values() {
            edge.budget.set_share_per_mille(policy.share_per_mille);
            edge.budget.set_min_retries(policy.min_retries);
        }
    }

    fn policy(&self) -> RetryPolicy {
        RetryPolicy {
            share_per_mille: self.limits.share_per_mille,
            min_retries: self.limits.node_min_retries(self.position),
        }
    }
}
