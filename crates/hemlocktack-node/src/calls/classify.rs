//! Classification of a caller's request by the configuration and by its parent call.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_config::{Document, RequestRule, Service};
use hemlocktack_decide::{RetryAllowance, WorkKind};
use hemlocktack_protocol::{Call, ClassRank, Fingerprint, Generation, Reason, stable_hash};

use super::{CallerWatch, RunningCall, SendRecord};
use crate::callers::CallerRequest;
use crate::node::Node;

/// Timeout of a request if neither its caller nor the configuration sets one.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest allowed chain of nested calls. The deepest known call graph has ten levels; the limit
/// ends a loop in a call graph before its deadline does.
const MAX_CALL_DEPTH: u32 = 16;

/// A call with everything that decides how it is handled.
pub(crate) struct ClassifiedCall {
    pub(crate) call: Call,
    pub(crate) idempotent: bool,
    pub(crate) class_rank: ClassRank,
    pub(crate) kind: WorkKind,
    pub(crate) deadline: Instant,
    /// Target time for the answer to the root request (its latency objective).
    pub(crate) objective: Option<Instant>,
    /// Retries of this request, shared with the other child calls of its parent.
    pub(crate) allowance: Arc<RetryAllowance>,
    /// Upstreams that the call may be forwarded to, if its route sets a limit. Upstreams whose
    /// nodes refuse the call before that do not count. Without a limit, only the retry
    /// allowance bounds them.
    pub(crate) max_upstreams: Option<usize>,
    /// Generation of the configuration that was used.
    pub(crate) generation: Generation,
    pub(crate) parent: Option<Arc<RunningCall>>,
    /// Value of the caller's `Idempotency-Key` header.
    pub(crate) idempotency_key: Option<String>,
    pub(crate) sends: Arc<SendRecord>,
    /// Connection of the caller, if it can be watched.
    pub(crate) caller: Option<CallerWatch>,
}

impl ClassifiedCall {
    /// Whether the caller has closed its connection.
    pub(crate) fn has_caller_left(&self) -> bool {
        self.caller.as_ref().is_some_and(CallerWatch::has_left)
    }
}

/// Classifies a request by its rule in the configuration and, for a child call, by its parent.
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
    // A request that no rule declares idempotent is never repeated.
    let idempotent = rule.is_some_and(|rule| rule.idempotent);
    let kind = work_kind(service, rule);
    node.services.register_work_kind(kind, &service.name);
    let call_timeout = call_timeout(&in_force.document, &request, parent.as_deref(), now)?;
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
        has_siblings: parent
            .as_ref()
            .is_some_and(|parent| node.has_sibling_calls(parent)),
        traceparent: request.traceparent.unwrap_or_default(),
        ..Call::default()
    };
    if call.depth > MAX_CALL_DEPTH {
        return Err(Reason::MalformedContext);
    }
    let deadline = now + call_timeout;
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
        sends: Arc::default(),
        caller: None,
    })
}

/// Returns the priority class of a call. A child call keeps the class of its root request,
/// since the caller's request counts and not the hop that is running.
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

fn call_timeout(
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

/// Returns the kind of work of a call that reached the upstream side.
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

/// Returns the kind of work of a rule: calls that match the same rule are assumed to cost about
/// the same. Every node must compute the same number.
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

/// Returns the fingerprint of a request, which is the same on every node.
pub(crate) fn fingerprint(service: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    stable_hash(&[service.as_bytes(), method.as_bytes(), path.as_bytes(), body])
}

/// Returns the rank of a call's class. One that is out of range is the last.
pub(crate) fn class_rank_of(call: &Call) -> ClassRank {
    ClassRank::try_from(call.class_rank).unwrap_or(ClassRank::MAX)
}
