//! What the operators' routes say of a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_config::{Document, Route};
use hemlocktack_decide::RetryAllowance;
use hemlocktack_interface::IncomingRequest;
use hemlocktack_protocol::{Call, ClassRank, Generation, Reason, stable_hash};

use crate::calls::{ClassifiedCall, RunningCall, SendRecord, fingerprint};
use crate::node::Node;

/// Time that a caller is taken to wait where neither it nor its route says.
const PATIENCE_UNSAID: Duration = Duration::from_secs(30);

/// Retries of all calls below a request for each that it may make itself. Each
/// hop gives half of them away with a call, rounded up. Today's services call
/// each other three hops deep, and there a request makes four calls one after
/// the other: where every other one is turned away, it needs five retries or
/// six, a quarter of these. The share of each edge keeps all of them together
/// small.
const CHAIN_RETRIES_A_RETRY: u32 = 24;

/// What a request's head and the configuration come to.
pub(super) struct Routed {
    pub(super) route: String,
    pub(super) service: String,
    pub(super) body_limit_bytes: usize,
    pub(super) deadline: Instant,
    objective: Option<Instant>,
    has_returned: bool,
    idempotent: bool,
    class_rank: ClassRank,
    attempts: u32,
    generation: Generation,
    parent: Option<Arc<RunningCall>>,
    /// An upstream made it for a request, known here or not.
    pub(super) is_deeper: bool,
}

/// Finds the route of a request and draws the service that gets it.
pub(super) fn find_route(
    node: &Node,
    entered: &IncomingRequest,
    path: &str,
    now: Instant,
) -> Result<Routed, Reason> {
    let Some(in_force) = node.active_configuration() else {
        return Err(Reason::Starting);
    };
    let document = &in_force.document;
    let route = document
        .route(&entered.host, path)
        .ok_or(Reason::UnknownService)?;
    let target = route
        .pick_target(rand::random())
        .ok_or(Reason::UnknownService)?;
    let parent_id = entered.parent_request_id.as_deref();
    let waited = match (parent_id, entered.time_left) {
        (None, Some(time_left)) => node
            .services
            .estimate_time_waited(route_id(route), time_left),
        _ => Duration::ZERO,
    };
    let parent = parent_id.and_then(|parent| node.contexts.find_by_request(parent));
    Ok(Routed {
        route: route.name.clone(),
        service: target.service.clone(),
        body_limit_bytes: document.client_limits.body_limit_bytes,
        deadline: now + patience(entered, route),
        objective: match parent_id {
            Some(_) => parent.as_ref().and_then(|parent| parent.objective),
            None => route
                .target_latency_ms
                .map(|target| now + objective_left(target, waited)),
        },
        has_returned: !waited.is_zero(),
        idempotent: route.idempotent,
        class_rank: class_rank(document, route),
        attempts: route.attempts,
        generation: in_force.generation,
        parent,
        is_deeper: parent_id.is_some(),
    })
}

fn route_id(route: &Route) -> u64 {
    stable_hash(&[route.name.as_bytes()])
}

/// What is left of the objective of a caller that has waited before; one that
/// has none left may still be answered while nobody waits.
fn objective_left(target_ms: u64, waited: Duration) -> Duration {
    const LEAST: Duration = Duration::from_millis(1);
    let whole = Duration::from_millis(target_ms);
    whole.saturating_sub(waited).max(LEAST)
}

/// The caller's patience and the operators' limit, whichever is shorter.
fn patience(entered: &IncomingRequest, route: &Route) -> Duration {
    let timeout = route.timeout_ms.map(Duration::from_millis);
    let both = entered.time_left.into_iter().chain(timeout);
    both.min().unwrap_or(PATIENCE_UNSAID)
}

/// Routes without a rank come after all that have one.
fn class_rank(document: &Document, route: &Route) -> ClassRank {
    let last = document.classes.len().saturating_sub(1);
    let rank = route
        .priority
        .map_or(last, |rank| usize::try_from(rank).unwrap_or(last));
    ClassRank::try_from(rank.min(last)).unwrap_or(ClassRank::MAX)
}

/// Work that is told of a deeper call whose parent is not known here, because
/// this node has started since: more than none, as the hops above have worked.
const WORK_UNKNOWN_US: u64 = 1;

/// Each retry of its own may reach one more upstream.
fn allowance_of_root(attempts: u32) -> RetryAllowance {
    let retries = attempts.saturating_sub(1);
    RetryAllowance::with_entry_share(retries, retries * CHAIN_RETRIES_A_RETRY)
}

/// Failure: a node starts again while its upstream works on. Symptom: each deeper
/// call is granted what a root is, and one request is repeated beyond its allowance
/// over its chain. Its caller's connection went with the node, so no answer is lost
/// to anybody if its calls are sent once.
fn allowance_of_orphan() -> RetryAllowance {
    RetryAllowance::new(0)
}

impl Routed {
    /// The call that goes through the fleet. A deeper call is of its root's
    /// class, and draws on the root's retries.
    pub(super) fn classify(self, node: &Node, call: Call, now: Instant) -> ClassifiedCall {
        let kind = stable_hash(&[self.service.as_bytes(), self.route.as_bytes()]);
        node.services.register_work_kind(kind, &self.service);
        let fingerprint = fingerprint(&self.service, &call.method, &call.path, &call.body);
        let parent = self.parent;
        let class_rank = parent
            .as_ref()
            .map_or(self.class_rank, |parent| parent.class_rank);
        let work_unknown_us = if self.is_deeper { WORK_UNKNOWN_US } else { 0 };
        let allowance = match &parent {
            Some(parent) => parent.allowance.clone(),
            None if self.is_deeper => Arc::new(allowance_of_orphan()),
            None => Arc::new(allowance_of_root(self.attempts)),
        };
        ClassifiedCall {
            call: Call {
                service: self.service,
                fingerprint,
                class_rank: class_rank.into(),
                depth: parent.as_ref().map_or(0, |parent| parent.depth + 1),
                is_repeat: parent.as_ref().is_some_and(|parent| parent.is_repeat),
                root_request_id: parent
                    .as_ref()
                    .map_or_else(rand::random, |parent| parent.root_request_id),
                work_spent_us: parent.as_ref().map_or(work_unknown_us, |parent| {
                    parent.work_spent_us(now).max(WORK_UNKNOWN_US)
                }),
                work_kind: kind,
                has_returned: self.has_returned,
                ..call
            },
            idempotent: self.idempotent,
            class_rank,
            kind,
            deadline: self.deadline,
            objective: self.objective,
            allowance,
            max_upstreams: usize::try_from(self.attempts).ok(),
            generation: self.generation,
            parent,
            idempotency_key: None,
            sends: SendRecord::default(),
        }
    }
}
