//! The retry budgets of one node, an edge for each service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_protocol::ServiceName;

use crate::edge_budget::EdgeRetryBudget;
use crate::retry::{LEAST_RETRIES_MAX, RetryPolicy};

/// [`FleetRetryLimits::min_retries`] where operators say nothing: about the calls that
/// a service has under way when half of its nodes are lost at once.
const BESIDE_SHARE_DEFAULT: u32 = 136;

/// How long an edge outlives the last node of its service: longer than the windows
/// over which retries are counted.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Retries that operators allow of a service's calls in any ten seconds, all nodes
/// together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetRetryLimits {
    /// Per thousand first tries.
    pub share_per_mille: u32,
    /// Beside the share, however few first tries there are.
    pub min_retries: u32,
}

impl Default for FleetRetryLimits {
    fn default() -> Self {
        FleetRetryLimits {
            share_per_mille: RetryPolicy::default().share_per_mille,
            min_retries: BESIDE_SHARE_DEFAULT,
        }
    }
}

impl FleetRetryLimits {
    /// One node's part of the retries beside the share.
    ///
    /// Load: many nodes, each with a few calls to a service whose answers are lost.
    /// Harm: retries that each node makes whatever its share add up with the size of
    /// the fleet (136 at seventeen nodes, 4,480 at 560), and a small service gets
    /// them all. Whole parts that add up to what is allowed need nobody to count.
    fn beside_share_of(&self, place: NodePosition) -> u32 {
        let nodes = u32::try_from(place.count.max(1)).unwrap_or(u32::MAX);
        let rest = self.min_retries % nodes;
        let gets_one_more = u32::try_from(place.index).is_ok_and(|index| index < rest);
        let part = self.min_retries / nodes + u32::from(gets_one_more);
        part.min(LEAST_RETRIES_MAX)
    }
}

/// One node among those that may make retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodePosition {
    /// Its number in an order that all nodes agree on.
    pub index: usize,
    /// Nodes in that order.
    pub count: usize,
}

impl NodePosition {
    /// Of a node that knows no other.
    pub const ONLY_NODE: NodePosition = NodePosition { index: 0, count: 1 };
}

/// Edges to the services that a node knows, or has just known.
///
/// Load: all nodes of a service are lost and come back seconds later. Harm: an edge
/// that went with them would begin anew, with its retries unspent, while the service
/// starts. So it stays until none of its retries counts any more.
#[derive(Debug)]
pub struct EdgeRetryBudgets {
    allowed: FleetRetryLimits,
    place: NodePosition,
    edges: HashMap<ServiceName, Edge>,
}

#[derive(Debug)]
struct Edge {
    budget: Arc<EdgeRetryBudget>,
    /// Since when its service has had no node; `None` while it has some.
    absent_since: Option<Instant>,
}

impl EdgeRetryBudgets {
    /// No edge yet.
    pub fn new(allowed: FleetRetryLimits, place: NodePosition) -> Self {
        EdgeRetryBudgets {
            allowed,
            place,
            edges: HashMap::new(),
        }
    }

    /// Takes in what operators allow, for every edge.
    pub fn set_limits(&mut self, allowed: FleetRetryLimits) {
        self.allowed = allowed;
        self.set_policies();
    }

    /// Takes in where this node stands among the others.
    pub fn set_position(&mut self, place: NodePosition) {
        self.place = place;
        self.set_policies();
    }

    /// Takes in which services have nodes now.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Instant) {
        self.edges.retain(|service, edge| {
            if is_known(service) {
                edge.absent_since = None;
                return true;
            }
            let absent_since = *edge.absent_since.get_or_insert(now);
            now.saturating_duration_since(absent_since) < FORGOTTEN_AFTER
        });
    }

    /// The edge to a service.
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
            edge.budget.set_least_retries(policy.least_retries);
        }
    }

    fn policy(&self) -> RetryPolicy {
        RetryPolicy {
            share_per_mille: self.allowed.share_per_mille,
            least_retries: self.allowed.beside_share_of(self.place),
        }
    }
}
