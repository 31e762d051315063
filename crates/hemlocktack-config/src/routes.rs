//! Routes by host and path, for deployments whose callers name no service.

use std::time::Duration;

use serde::Serialize;

/// Routes requests that match a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// Name that the operators gave the route.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether such a request may run more than once.
    pub idempotent: bool,
    /// Maximum time that a request is kept waiting; `None` for as long as its caller waits.
    pub timeout_ms: Option<u64>,
    /// Latency objective: time within which an answer is worth most to the caller.
    pub target_latency_ms: Option<u64>,
    /// Priority of its requests, 0 is the most important; `None` ranks below all others.
    pub priority: Option<u32>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Whether requests need no key of a client account.
    pub is_public: bool,
    /// Services that its requests are split between.
    pub targets: Vec<RouteTarget>,
}

/// One service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Size and time limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ClientLimits {
    /// Maximum size of a request head.
    pub header_limit_bytes: usize,
    /// Maximum size of a request body.
    pub body_limit_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub header_timeout_ms: u64,
    /// Maximum time that a keep-alive connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    /// Returns usual limits of HTTP servers, used until a configuration sets others.
    fn default() -> Self {
        ClientLimits {
            header_limit_bytes: 16 << 10,
            body_limit_bytes: 64 << 20,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

impl ClientLimits {
    /// Maximum time for a request head to arrive.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Maximum time that a keep-alive connection may be idle.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

impl Route {
    /// Returns whether the route applies to a request with this lower-case host and this path
    /// without query.
    fn matches(&self, host: &str, path: &str) -> bool {
        self.host == host && path.starts_with(&self.path_prefix)
    }

    /// Picks the service of a request by weight; `random` is uniform in 0..1.
    pub fn pick_target(&self, random: f64) -> Option<&RouteTarget> {
        let total: f64 = self
            .targets
            .iter()
            .map(|target| f64::from(target.weight))
            .sum();
        let mut left = random * total;
        let candidates = self.targets.iter().filter(|target| target.weight > 0);
        let mut last = None;
        for target in candidates {
            last = Some(target);
            left -= f64::from(target.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// Returns the matching route with the longest prefix.
pub(crate) fn find<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    routes
        .iter()
        .filter(|route| route.matches(host, path))
        .max_by_key(|route| route.path_prefix.len())
}
