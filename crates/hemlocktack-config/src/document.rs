//! The document as plain data.

use serde::Serialize;

use crate::bounds::{
    ANSWER_LIMIT_BYTES, BODY_LIMIT_BYTES, Bound, DRAIN_LIMIT_MS, KEPT_ANSWERS_BYTES,
    QUARANTINE_CRASHES, QUARANTINE_MS, QUEUE_LIMIT_CALLS, RETRY_SHARE_PERCENT,
    TRACE_SAMPLE_PER_MILLION,
};
use crate::routes::{self, ClientLimits, Route};

/// One configuration: everything that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Document {
    /// Limits that hold for every node.
    pub limits: Limits,
    /// Most important first: the last one is shed first.
    pub classes: Vec<Class>,
    /// Kinds of caller; the first one stands for callers that name none.
    pub caller_kinds: Vec<CallerKind>,
    /// Services of the call graph.
    pub services: Vec<Service>,
    /// Routes of deployments whose callers name no service. They come from the
    /// deployment's own configuration; the text of this format has none.
    #[serde(skip)]
    pub routes: Vec<Route>,
    /// What callers may send, where the deployment says so.
    #[serde(skip)]
    pub client_limits: ClientLimits,
}

/// Limits that hold for every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// How long a draining node waits for the calls in flight.
    pub drain_limit_ms: u64,
    /// Memory of a node for answers to requests that ran at most once.
    pub kept_answers_bytes: u64,
    /// Requests of a million that are traced.
    pub trace_sample_per_million: u32,
    /// Retries to one service as a share of first tries.
    pub retry_share_percent: u32,
    /// Crashes of upstreams after which a request is quarantined.
    pub quarantine_crashes: u32,
    /// How long a request stays quarantined.
    pub quarantine_ms: u64,
}

/// Requests that matter equally.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Class {
    /// Name that request rules refer to.
    pub name: String,
}

/// How patient a kind of caller is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerKind {
    /// Value of the caller's `hemlocktack-caller-kind` header.
    pub name: String,
    /// How long such a caller waits for an answer.
    pub patience_ms: u64,
    /// Retries that one of its requests may use in the whole call chain.
    pub retry_allowance: u32,
}

/// One service and what may be asked of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Service {
    /// First part of the path that callers use.
    pub name: String,
    /// Largest request body taken.
    pub body_limit_bytes: usize,
    /// Largest answer passed on.
    pub answer_limit_bytes: usize,
    /// Calls that may wait at one node for its upstream.
    pub queue_limit_calls: usize,
    /// First match decides. What no rule matches is of the last class and may not be repeated.
    pub requests: Vec<RequestRule>,
    /// Where an upstream of it is asked for its health, if not at the usual place.
    #[serde(skip)]
    pub health_path: Option<String>,
    /// Connections that one upstream of it accepts, where the operators say so.
    #[serde(skip)]
    pub connection_limit: Option<u32>,
}

/// What holds for the requests that it matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestRule {
    /// HTTP method; `*` for any.
    pub method: String,
    /// Beginning of the path below the service; `/` for all.
    pub path_prefix: String,
    /// Name of one of the classes.
    pub class: String,
    /// Whether such a request may run more than once.
    pub idempotent: bool,
}

/// Method of a rule that matches every method.
pub const ANY_METHOD: &str = "*";

impl Default for Limits {
    fn default() -> Self {
        Limits {
            drain_limit_ms: default_of(DRAIN_LIMIT_MS),
            kept_answers_bytes: default_of(KEPT_ANSWERS_BYTES),
            trace_sample_per_million: default_of(TRACE_SAMPLE_PER_MILLION) as u32,
            retry_share_percent: default_of(RETRY_SHARE_PERCENT) as u32,
            quarantine_crashes: default_of(QUARANTINE_CRASHES) as u32,
            quarantine_ms: default_of(QUARANTINE_MS),
        }
    }
}

/// Value of a field that the document is silent about, or the least one where
/// it has to say one.
fn default_of(bound: Bound) -> u64 {
    bound.default.unwrap_or(bound.least)
}

impl Document {
    /// Place of a class in the list of classes.
    pub fn class_rank(&self, class: &str) -> Option<usize> {
        self.classes
            .iter()
            .position(|candidate| candidate.name == class)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The route that a request takes: that with the longest prefix among those
    /// of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        routes::find(&self.routes, host, path)
    }

    /// The caller kind of that name, or the first one for callers that name none.
    pub fn caller_kind(&self, name: Option<&str>) -> Option<&CallerKind> {
        let Some(name) = name else {
            return self.caller_kinds.first();
        };
        self.caller_kinds.iter().find(|kind| kind.name == name)
    }
}

impl Service {
    /// A service with default limits and no rules.
    pub fn new(name: impl Into<String>) -> Self {
        Service {
            name: name.into(),
            body_limit_bytes: default_of(BODY_LIMIT_BYTES) as usize,
            answer_limit_bytes: default_of(ANSWER_LIMIT_BYTES) as usize,
            queue_limit_calls: default_of(QUEUE_LIMIT_CALLS) as usize,
            requests: Vec::new(),
            health_path: None,
            connection_limit: None,
        }
    }

    /// First rule that matches the method and the path below the service.
    pub fn rule(&self, method: &str, path: &str) -> Option<&RequestRule> {
        self.requests.iter().find(|rule| rule.matches(method, path))
    }
}

impl RequestRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method == ANY_METHOD || self.method.eq_ignore_ascii_case(method);
        method_matches && path.starts_with(&self.path_prefix)
    }

    /// Whether every request that `other` matches is matched by this rule too.
    pub(crate) fn covers(&self, other: &RequestRule) -> bool {
        let method_covers =
            self.method == ANY_METHOD || self.method.eq_ignore_ascii_case(&other.method);
        let has_prefix = !self.path_prefix.is_empty();
        method_covers && has_prefix && other.path_prefix.starts_with(&self.path_prefix)
    }
}
