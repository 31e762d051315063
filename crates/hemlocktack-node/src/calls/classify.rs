//! What the operators' configuration and the chain above say of a call.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_config::{Document, RequestRule, Service};
use hemlocktack_decide::{RetryAllowance, WorkKind};
use hemlocktack_protocol::{Call, ClassRank, Fingerprint, Generation, Reason, stable_hash};

use super::{RunningCall, SendRecord};
use crate::callers::CallerRequest;
use crate::node::Node;

/// Calls above one another in one chain. Ten is the deepest graph we know of;
/// a loop in a graph ends here instead of at the deadline.
const DEPTH_LIMIT: u32 = 16;

/// A call with all that decides about it.
pub(crate) struct ClassifiedCall {
    pub(crate) call: Call,
    pub(crate) idempotent: bool,
    pub(crate) class_rank: ClassRank,
    pub(crate) kind: WorkKind,
    pub(crate) deadline: Instant,
    /// Until when an answer to the root request is worth most to its caller.
    pub(crate) objective: Option<Instant>,
    /// Retries of this request; shared with the calls beside it in a chain.
    pub(crate) allowance: Arc<RetryAllowance>,
    /// Upstreams that the call may be handed to, where its route says so; those
    /// whose nodes refuse it before do not count. Else the allowance alone bounds
    /// them.
    pub(crate) max_upstreams: Option<usize>,
    /// Of the configuration that all this was read from.
    pub(crate) generation: Generation,
    pub(crate) parent: Option<Arc<RunningCall>>,
    /// As the caller sent it; see `Idempotency-Key`.
    pub(crate) idempotency_key: Option<String>,
    pub(crate) sends: SendRecord,
}

/// Looks a request up in the configuration and, for a deeper call, its parent.
pub(crate) fn classify(
    node: &Node,
    request: CallerRequest,
    now: Instant,
) -> Result<ClassifiedCall, Reason> {
    let Some(in_force) = node.active_configuration() else {
        return Err(Reason::Starting);
    };
    let Some(service) = in_force.document.service(&request.service) else {
        return Err(Reason::UnknownService);
    };
    let parent = request
        .context
        .as_deref()
        .map(|header| node.contexts.find(header))
        .transpose()?;
    let rule = service.rule(request.method, &request.path);
    let class_rank = class_rank(&in_force.document, rule, parent.as_deref());
    // What no rule declares idempotent is not repeated.
    let idempotent = rule.is_some_and(|rule| rule.idempotent);
    let kind = work_kind(service, rule);
    node.services.register_work_kind(kind, &service.name);
    let patience = patience(&in_force.document, &request, parent.as_deref(), now)?;
    let allowance = match &parent {
        Some(parent) => parent.allowance.clone(),
        None => Arc::new(RetryAllowance::new(root_allowance(
            &in_force.document,
            &request,
        ))),
    };
    let call = Call {
        service: request.service.to_string(),
        fingerprint: fingerprint(
            &request.service,
            request.method,
            &request.path,
            &request.body,
        ),
        method: request.method.to_owned(),
        path: request.path,
        headers: request.headers,
        body: request.body,
        class_rank: class_rank.into(),
        depth: parent.as_ref().map_or(0, |parent| parent.depth + 1),
        is_repeat: parent.as_ref().is_some_and(|parent| parent.is_repeat),
        root_request_id: parent
            .as_ref()
            .map_or_else(rand::random, |parent| parent.root_request_id),
        work_spent_us: parent
            .as_ref()
            .map_or(0, |parent| parent.work_spent_us(now)),
        traceparent: request.traceparent.unwrap_or_default(),
        ..Call::default()
    };
    if call.depth > DEPTH_LIMIT {
        return Err(Reason::MalformedContext);
    }
    let deadline = now + patience;
    let idempotency_key = request.idempotency_key;
    Ok(ClassifiedCall {
        call,
        idempotent,
        class_rank,
        kind,
        deadline,
        objective: parent.as_ref().and_then(|parent| parent.objective),
        allowance,
        max_upstreams: None,
        generation: in_force.generation,
        parent,
        idempotency_key,
        sends: SendRecord::default(),
    })
}

/// A deeper call keeps the class of its root: what matters is the caller's
/// request, not which hop of it is being worked on.
fn class_rank(
    document: &Document,
    rule: Option<&RequestRule>,
    parent: Option<&RunningCall>,
) -> ClassRank {
    if let Some(parent) = parent {
        return parent.class_rank;
    }
    let last = document.classes.len().saturating_sub(1);
    let rank = rule
        .and_then(|rule| document.class_rank(&rule.class))
        .unwrap_or(last);
    ClassRank::try_from(rank).unwrap_or(ClassRank::MAX)
}

fn patience(
    document: &Document,
    request: &CallerRequest,
    parent: Option<&RunningCall>,
    now: Instant,
) -> Result<Duration, Reason> {
    let most = match parent {
        Some(parent) => parent.deadline.saturating_duration_since(now),
        None => {
            let kind = document
                .caller_kind(request.caller_kind.as_deref())
                .ok_or(Reason::MalformedRequest)?;
            Duration::from_millis(kind.patience_ms)
        }
    };
    Ok(request.timeout.map_or(most, |timeout| timeout.min(most)))
}

fn root_allowance(document: &Document, request: &CallerRequest) -> u32 {
    document
        .caller_kind(request.caller_kind.as_deref())
        .map_or(0, |kind| kind.retry_allowance)
}

/// Kind of work of a call that reached the upstream side.
pub(crate) fn work_kind_of(node: &Node, call: &Call) -> WorkKind {
    if call.work_kind != 0 {
        return call.work_kind;
    }
    let in_force = node.active_configuration();
    let service = in_force
        .as_ref()
        .and_then(|in_force| in_force.document.service(&call.service));
    service.map_or(0, |service| {
        work_kind(service, service.rule(&call.method, &call.path))
    })
}

/// Calls that match the same rule are taken to be about equal work. Every node
/// must come to the same number.
fn work_kind(service: &Service, rule: Option<&RequestRule>) -> WorkKind {
    let (method, path_prefix) = rule.map_or(("", ""), |rule| {
        (rule.method.as_str(), rule.path_prefix.as_str())
    });
    stable_hash(&[
        service.name.as_bytes(),
        method.as_bytes(),
        path_prefix.as_bytes(),
    ])
}

/// Equal requests have equal fingerprints on every node.
pub(crate) fn fingerprint(service: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    stable_hash(&[service.as_bytes(), method.as_bytes(), path.as_bytes(), body])
}
