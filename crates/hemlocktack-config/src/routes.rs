//! Routes by host and path, for deployments whose callers name no service.

use std::time::Duration;

use serde::Serialize;

/// Where requests go that match a host and the beginning of a path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// Name that operators know it by.
    pub name: String,
    /// Host that requests are addressed to, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether such a request may run more than once.
    pub idempotent: bool,
    /// Longest that a request is kept waiting; `None`: as long as its caller waits.
    pub timeout_ms: Option<u64>,
    /// Time within which an answer is worth most to the caller.
    pub target_latency_ms: Option<u64>,
    /// Rank of its requests, 0 is the most important; `None`: below all others.
    pub priority: Option<u32>,
    /// Upstreams that one request may be sent to.
    pub attempts: u32,
    /// Services that share its requests.
    pub targets: Vec<RouteTarget>,
}

/// One service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, against the sum of all weights of the route.
    pub weight: u32,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ClientLimits {
    /// Largest head of a request.
    pub header_limit_bytes: usize,
    /// Largest body of a request.
    pub body_limit_bytes: usize,
    /// Longest that a head may take to arrive.
    pub header_timeout_ms: u64,
    /// Longest that a kept connection may carry no request.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    /// The usual limits of HTTP servers, for as long as no configuration says others.
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
    /// Longest that a head may take to arrive.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Longest that a kept connection may carry no request.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

impl Route {
    /// Whether it takes a request, by the host in lower case and the path
    /// without its query.
    fn takes(&self, host: &str, path: &str) -> bool {
        self.host == host && path.starts_with(&self.path_prefix)
    }

    /// The service that gets a request, by a number drawn evenly from 0 to 1.
    pub fn pick_target(&self, drawn: f64) -> Option<&RouteTarget> {
        let total: f64 = self
            .targets
            .iter()
            .map(|target| f64::from(target.weight))
            .sum();
        let mut left = drawn * total;
        let weighed = self.targets.iter().filter(|target| target.weight > 0);
        let mut last = None;
        for target in weighed {
            last = Some(target);
            left -= f64::from(target.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// The route with the longest prefix that takes the request.
pub(crate) fn find<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    routes
        .iter()
        .filter(|route| route.takes(host, path))
        .max_by_key(|route| route.path_prefix.len())
}
