//! The configuration document as plain data types.

use serde::Serialize;

use crate::accounts::ClientAccount;
use crate::bounds::{
    ANSWER_LIMIT_BYTES, BODY_LIMIT_BYTES, Bound, DRAIN_LIMIT_MS, KEPT_ANSWERS_BYTES,
    QUARANTINE_CRASHES, QUARANTINE_MS, QUEUE_LIMIT_CALLS, RETRY_SHARE_PERCENT,
    TRACE_SAMPLE_PER_MILLION,
};
use crate::routes::{self, ClientLimits, Route};

/// A complete configuration, as the operators declare it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Document {
    /// Limits that hold for every node.
    pub limits: Limits,
    /// Request classes, most important first: the last one is shed first.
    pub classes: Vec<Class>,
    /// Kinds of caller; the first one is the default for callers that name none.
    pub caller_kinds: Vec<CallerKind>,
    /// Services of the call graph.
    pub services: Vec<Service>,
    /// Client accounts. If there are none, requests need no key.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub client_accounts: Vec<ClientAccount>,
    /// Routes, for deployments whose callers name no service. They come from the
    /// deployment's own configuration format; the TOML format has none.
    #[serde(skip)]
    pub routes: Vec<Route>,
    /// Limits on callers' requests, if the deployment configures them.
    #[serde(skip)]
    pub client_limits: ClientLimits,
}

/// Limits that hold for every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// How long a draining node waits for the calls in flight.
    pub drain_limit_ms: u64,
    /// Memory per node for stored answers to requests that run at most once.
    pub kept_answers_bytes: u64,
    /// Number of requests per million that are traced.
    pub trace_sample_per_million: u32,
    /// Retries to one service, as a percentage of first attempts.
    pub retry_share_percent: u32,
    /// Number of upstream crashes after which a request is quarantined.
    pub quarantine_crashes: u32,
    /// How long a request stays quarantined.
    pub quarantine_ms: u64,
}

/// A class of equally important requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Class {
    /// Name by which request rules refer to the class.
    pub name: String,
}

/// A kind of caller: how long it waits and how much it may retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerKind {
    /// Value of the caller's `hemlocktack-caller-kind` header.
    pub name: String,
    /// How long such a caller waits for an answer.
    pub patience_ms: u64,
    /// Number of retries that one of its requests may use in the whole call chain.
    pub retry_allowance: u32,
}

/// A service, its limits and its request rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Name of the service: the first segment of the path that callers use.
    pub name: String,
    /// Largest request body accepted.
    pub body_limit_bytes: usize,
    /// Largest answer forwarded.
    pub answer_limit_bytes: usize,
    /// Maximum number of calls queued at one node for its upstream.
    pub queue_limit_calls: usize,
    /// Rules for its requests; the first match applies. A request that matches none belongs to
    /// the last class and is not idempotent.
    pub requests: Vec<RequestRule>,
    /// Health check path of its upstreams; `None` for the default path.
    #[serde(skip)]
    pub health_path: Option<String>,
    /// Number of connections that one of its upstreams accepts, if the operators limit them.
    #[serde(skip)]
    pub connection_limit: Option<u32>,
}

/// Properties of the requests that match a method and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestRule {
    /// HTTP method; `*` for any.
    pub method: String,
    /// Prefix of the path below the service; `/` matches every path.
    pub path_prefix: String,
    /// Name of the class that the requests belong to.
    pub class: String,
    /// Whether such a request may run more than once.
    pub idempotent: bool,
}

/// Value of [`RequestRule::method`] that matches every method.
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

/// Returns the default of a field, or its minimum if the field is required.
fn default_of(bound: Bound) -> u64 {
    bound.default.unwrap_or(bound.min)
}

impl Document {
    /// Returns the position of a class in the list of classes.
    pub fn class_rank(&self, class: &str) -> Option<usize> {
        self.classes
            .iter()
            .position(|candidate| candidate.name == class)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the route of a request: the one for its host with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        routes::find(&self.routes, host, path)
    }

    /// Returns the caller kind with this name, or the first one for callers that name none.
    pub fn caller_kind(&self, name: Option<&str>) -> Option<&CallerKind> {
        let Some(name) = name else {
            return self.caller_kinds.first();
        };
        self.caller_kinds.iter().find(|kind| kind.name == name)
    }
}

impl Service {
    /// Creates a service with default limits and no rules.
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

    /// Returns the first rule that matches the method and the path below the service.
    pub fn rule(&self, method: &str, path: &str) -> Option<&RequestRule> {
        self.requests.iter().find(|rule| rule.matches(method, path))
    }
}

impl RequestRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method == ANY_METHOD || self.method.eq_ignore_ascii_case(method);
        method_matches && path.starts_with(&self.path_prefix)
    }

    /// Returns whether this rule matches every request that `other` matches.
    pub(crate) fn covers(&self, other: &RequestRule) -> bool {
        let method_covers =
            self.method == ANY_METHOD || self.method.eq_ignore_ascii_case(&other.method);
        let has_prefix = !self.path_prefix.is_empty();
        method_covers && has_prefix && other.path_prefix.starts_with(&self.path_prefix)
    }
}
