//! Classifies a request by the configured routes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_config::{ClientAccount, Route};
use hemlocktack_decide::{RetryAllowance, draw_root_request_id, has_returned_on_time};
use hemlocktack_interface::{Credential, IncomingRequest};
use hemlocktack_protocol::{Call, ClassRank, Generation, Reason, stable_hash};

use crate::accounts;
use crate::calls::{ClassifiedCall, DEFAULT_TIMEOUT, RunningCall, fingerprint};
use crate::node::{ActiveConfiguration, Node};

/// Retries that all child calls of a request may make together, per retry of the request
/// itself. Each hop grants half of its allowance, rounded up, to a child call. Services
/// currently call each other up to three hops deep, and there a request makes four calls in
/// sequence. If every second call is refused, that takes five or six retries, a quarter of
/// this number. The retry budget of each edge keeps the total small.
const CHAIN_RETRIES_PER_RETRY: u32 = 24;

/// A request with its route and the service picked for it.
pub(super) struct RoutedRequest {
    pub(super) route: String,
    pub(super) service: String,
    pub(super) body_limit_bytes: usize,
    pub(super) deadline: Instant,
    pub(super) objective: Option<Instant>,
    /// How long the caller has waited since its first attempt, as far as it says so. Zero without
    /// a latency objective, and for a child call.
    waited: Duration,
    has_returned: bool,
    pub(super) idempotent: bool,
    class_rank: ClassRank,
    /// Rank among the requests of its account, which share a quota.
    pub(super) rank_in_account: ClassRank,
    attempts: u32,
    generation: Generation,
    parent: Option<Arc<RunningCall>>,
    /// Client account that the request is made for.
    pub(super) account: Option<Arc<ClientAccount>>,
    /// Whether the caller's key must not reach the upstream.
    pub(super) drops_key: bool,
    /// Whether an upstream made the request for a parent call, which may be unknown here.
    pub(super) is_child_call: bool,
}

/// Finds the route of a request and picks one of the route's services.
pub(super) fn find_route(
    node: &Node,
    request: &IncomingRequest,
    path: &str,
    now: Instant,
) -> Result<RoutedRequest, Reason> {
    let Some(active) = node.active_configuration() else {
        return Err(Reason::Starting);
    };
    let document = &active.document;
    let route = document
        .route(&request.host, path)
        .ok_or(Reason::UnknownService)?;
    let origin = find_origin(node, &active, request)?;
    let account = match origin {
        Origin::Upstream { .. } => None,
        Origin::Caller => accounts::identify(node, &active, route, request.credential)?,
    };
    let target = route
        .pick_target(rand::random())
        .ok_or(Reason::UnknownService)?;
    let waited = match (&origin, request.time_left) {
        (Origin::Caller, Some(time_left)) => node
            .services
            .estimate_time_waited(route_id(route), time_left),
        _ => Duration::ZERO,
    };
    Ok(RoutedRequest {
        route: route.name.clone(),
        service: target.service.clone(),
        body_limit_bytes: document.client_limits.body_limit_bytes,
        deadline: now + timeout(request, route),
        objective: match &origin {
            Origin::Upstream { parent } => parent.as_ref().and_then(|parent| parent.objective),
            Origin::Caller => route
                .target_latency_ms
                .map(|target| now + objective_left(target, waited)),
        },
        waited: route.target_latency_ms.map_or(Duration::ZERO, |_| waited),
        has_returned: !waited.is_zero(),
        idempotent: route.idempotent,
        class_rank: active.ranks.rank(route, account.as_deref()),
        rank_in_account: active.ranks.rank_in_account(route),
        attempts: route.attempts,
        generation: active.generation,
        drops_key: !active.accounts.is_empty(),
        account,
        is_child_call: matches!(origin, Origin::Upstream { .. }),
        parent: match origin {
            Origin::Upstream { parent } => parent,
            Origin::Caller => None,
        },
    })
}

/// Returns whether the route of a request is declared idempotent.
pub(super) fn has_idempotent_route(node: &Node, request: &IncomingRequest, path: &str) -> bool {
    let Some(active) = node.active_configuration() else {
        return false;
    };
    let route = active.document.route(&request.host, path);
    route.is_some_and(|route| route.idempotent)
}

/// Who made a request.
enum Origin {
    Caller,
    /// This node's upstream, for a request that is running here, or was before a restart.
    Upstream {
        parent: Option<Arc<RunningCall>>,
    },
}

/// Returns who made a request.
///
/// Child calls need no key. Where requests need one, a call counts as a child call only while its
/// parent runs here: otherwise any caller could do without a key by choosing such an id.
fn find_origin(
    node: &Node,
    active: &ActiveConfiguration,
    request: &IncomingRequest,
) -> Result<Origin, Reason> {
    let Some(parent_id) = request.parent_request_id.as_deref() else {
        return Ok(Origin::Caller);
    };
    let parent = node.contexts.find_by_request(parent_id);
    if parent.is_none() && node.contexts.was_cancelled(parent_id) {
        return Err(Reason::Cancelled);
    }
    if parent.is_some() || active.accounts.is_empty() {
        return Ok(Origin::Upstream { parent });
    }
    match request.credential {
        Credential::Missing => Err(Reason::ContextExpired),
        _ => Ok(Origin::Caller),
    }
}

fn route_id(route: &Route) -> u64 {
    stable_hash(&[route.name.as_bytes()])
}

/// Returns the rest of the latency objective for a caller that has already waited. It is
/// never zero: a request whose objective has passed may still be answered while no other
/// request waits.
fn objective_left(target_ms: u64, waited: Duration) -> Duration {
    const MIN_OBJECTIVE: Duration = Duration::from_millis(1);
    let target = Duration::from_millis(target_ms);
    target.saturating_sub(waited).max(MIN_OBJECTIVE)
}

/// Returns the shorter of the caller's remaining time and the route's timeout.
fn timeout(request: &IncomingRequest, route: &Route) -> Duration {
    let route_timeout = route.timeout_ms.map(Duration::from_millis);
    let timeouts = request.time_left.into_iter().chain(route_timeout);
    timeouts.min().unwrap_or(DEFAULT_TIMEOUT)
}

/// Work reported for a child call whose parent is unknown because this node restarted in
/// between. It is not zero, because the calls above it have already done some work.
const UNKNOWN_WORK_US: u64 = 1;

/// Returns the retry allowance of a root request, which may reach one more upstream with
/// each retry of its own.
fn root_allowance(attempts: u32) -> RetryAllowance {
    let retries = attempts.saturating_sub(1);
    RetryAllowance::with_entry_share(retries, retries * CHAIN_RETRIES_PER_RETRY)
}

/// Returns the retry allowance of a child call whose parent is unknown: none.
///
/// If a node restarts while its upstream keeps working, granting each child call the
/// allowance of a root would retry one request beyond its allowance. The caller's
/// connection was lost with the node, so sending these calls only once loses no answer.
fn orphan_allowance() -> RetryAllowance {
    RetryAllowance::new(0)
}

impl RoutedRequest {
    /// Returns whether the caller has waited at least as long as any refusal for lack of capacity
    /// tells it to.
    pub(super) fn has_returned_on_time(&self) -> bool {
        has_returned_on_time(self.waited)
    }

    /// Returns the rank of the request's class; a child call has that of its root request.
    pub(super) fn class_rank(&self) -> ClassRank {
        let parent = self.parent.as_ref();
        parent.map_or(self.class_rank, |parent| parent.class_rank)
    }

    /// Builds the call that is placed in the fleet. A child call inherits the class of its
    /// root request and uses its retry allowance.
    pub(super) fn classify(self, node: &Node, call: Call, now: Instant) -> ClassifiedCall {
        let kind = stable_hash(&[self.service.as_bytes(), self.route.as_bytes()]);
        node.services.register_work_kind(kind, &self.service);
        let class_rank = self.class_rank();
        let fingerprint = fingerprint(&self.service, &call.method, &call.path, &call.body);
        let parent = self.parent;
        let work_without_parent_us = if self.is_child_call {
            UNKNOWN_WORK_US
        } else {
            0
        };
        let allowance = match &parent {
            Some(parent) => parent.allowance.clone(),
            None if self.is_child_call => Arc::new(orphan_allowance()),
            None => Arc::new(root_allowance(self.attempts)),
        };
        ClassifiedCall {
            call: Call {
                service: self.service,
                fingerprint,
                class_rank: class_rank.into(),
                depth: parent.as_ref().map_or(0, |parent| parent.depth + 1),
                is_repeat: parent.as_ref().is_some_and(|parent| parent.is_repeat),
                root_request_id: parent.as_ref().map_or_else(
                    || draw_root_request_id(self.waited, rand::random),
                    |parent| parent.root_request_id,
                ),
                work_spent_us: parent.as_ref().map_or(work_without_parent_us, |parent| {
                    parent.work_spent_us(now).max(UNKNOWN_WORK_US)
                }),
                work_kind: kind,
                has_siblings: parent
                    .as_ref()
                    .is_some_and(|parent| node.has_sibling_calls(parent)),
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
            sends: Arc::default(),
            caller: None,
        }
    }
}
