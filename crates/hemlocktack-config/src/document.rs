//! The document as plain data.

use serde::{Deserialize, Serialize};

/// One configuration: everything that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Most important first: the last one is shed first.
    #[serde(default)]
    pub classes: Vec<Class>,
    /// Kinds of caller; the first one stands for callers that name none.
    #[serde(default)]
    pub caller_kinds: Vec<CallerKind>,
    /// Services of the call graph.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// Requests that matter equally.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name that request rules refer to.
    pub name: String,
}

/// How patient a kind of caller is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerKind {
    /// Value of the caller's `hemlocktack-caller-kind` header.
    pub name: String,
    /// How long such a caller waits for an answer.
    pub patience_ms: u64,
    /// Retries that one of its requests may use in the whole call chain.
    pub retry_allowance: u32,
}

/// One service and what may be asked of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// First part of the path that callers use.
    pub name: String,
    /// Largest request body taken.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: usize,
    /// Largest answer passed on.
    #[serde(default = "default_answer_limit_bytes")]
    pub answer_limit_bytes: usize,
    /// First match decides. What no rule matches is of the last class and may not be repeated.
    #[serde(default)]
    pub requests: Vec<RequestRule>,
}

/// What holds for the requests that it matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
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

fn default_body_limit_bytes() -> usize {
    1 << 20
}

fn default_answer_limit_bytes() -> usize {
    4 << 20
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

    /// The caller kind of that name, or the first one for callers that name none.
    pub fn caller_kind(&self, name: Option<&str>) -> Option<&CallerKind> {
        let Some(name) = name else {
            return self.caller_kinds.first();
        };
        self.caller_kinds.iter().find(|kind| kind.name == name)
    }
}

impl Service {
    /// First rule that matches the method and the path below the service.
    pub fn rule(&self, method: &str, path: &str) -> Option<&RequestRule> {
        self.requests.iter().find(|rule| rule.matches(method, path))
    }
}

impl RequestRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method == "*" || self.method.eq_ignore_ascii_case(method);
        method_matches && path.starts_with(&self.path_prefix)
    }
}
