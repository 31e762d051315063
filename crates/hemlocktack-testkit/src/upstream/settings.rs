//! Settings of an upstream, and the faults that a test can switch on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Settings that stay the same while the stand-in runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 selects a free one.
    pub address: SocketAddr,
    /// Name of its service, included in each answer.
    pub service: String,
    /// Control address of its node; with `None` it is not announced.
    pub node_control: Option<SocketAddr>,
    /// Caller address of its node; required for child calls.
    pub node_callers: Option<SocketAddr>,
    /// Number of calls that run concurrently; further calls wait inside the upstream.
    pub slots: u32,
    /// Number of connections that it announces.
    pub connections: u32,
    /// Child calls made one after another for each call.
    pub child_calls: Vec<ChildCall>,
    /// Effect of a crash.
    pub crash: Crash,
    /// Initial switches.
    pub switches: Switches,
}

impl Settings {
    /// Returns the settings of a small upstream of this service on a free loopback port.
    pub fn new(service: &str) -> Settings {
        Settings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            service: service.to_owned(),
            node_control: None,
            node_callers: None,
            slots: 16,
            connections: 64,
            child_calls: Vec::new(),
            crash: Crash::CutConnections,
            switches: Switches::default(),
        }
    }
}

/// A call that the upstream makes through its node for each call that it runs.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{method} {path}")]
pub struct ChildCall {
    /// HTTP method.
    pub method: reqwest::Method,
    /// Service and path, such as `diaries/slots`.
    pub path: String,
}

impl std::str::FromStr for ChildCall {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<ChildCall, Self::Err> {
        let (method, path) = text.split_once(' ').unwrap_or(("GET", text));
        let method = method.parse().map_err(|_| "not an HTTP method")?;
        Ok(ChildCall {
            method,
            path: path.trim_start_matches('/').to_owned(),
        })
    }
}

/// Effect of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Cuts every connection and refuses new ones until `restart`.
    CutConnections,
    /// Ends the process.
    Exit,
}

/// Fault of a call.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The call starts and crashes the whole upstream.
    Crash,
    /// The call runs; the connection is closed before any byte of the answer is sent.
    NoAnswer,
    /// The call runs; the connection is closed before the declared end of the answer.
    ShortBody,
    /// The call runs; only the first bytes of the answer are sent, and the connection stays open.
    StalledBody,
    /// The call does not start: 503 and `hemlocktack-outcome: not-run`.
    Shed,
    /// The call runs and is answered as with `Shed`, as by an upstream that forwards the refusal of a
    /// child call.
    ShedAfterRun,
    /// The call runs and is answered with 500.
    Error,
}

/// Settings that can be changed while the upstream runs; the default is a healthy upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Time that a call runs.
    pub service_time_ms: u64,
    /// Duration of the cold start, during which the service time is four times as long.
    pub cold_ms: u64,
    /// Sheds a call if this many are already running or waiting.
    pub shed_above: Option<u64>,
    /// Reported instead of the actual number of calls in flight.
    pub reported_in_flight: Option<u64>,
    /// Fault of calls whose request does not select one itself.
    pub fault: Option<Fault>,
    /// Limits `fault` to requests with one of these markers; empty means all requests.
    pub fault_markers: Vec<String>,
    /// Whether it renews its announcement.
    pub announce: bool,
}

impl Default for Switches {
    fn default() -> Switches {
        Switches {
            service_time_ms: 5,
            cold_ms: 0,
            shed_above: None,
            reported_in_flight: None,
            fault: None,
            fault_markers: Vec::new(),
            announce: true,
        }
    }
}
