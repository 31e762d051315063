//! What an upstream is started with, and the faults a test can switch on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Fixed for the stand-in's life.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Listens here; port 0 takes a free one.
    pub address: SocketAddr,
    /// Name of its service, part of each answer.
    pub service: String,
    /// Control address of the node beside it; `None` announces nothing.
    pub node_control: Option<SocketAddr>,
    /// Caller address of that node; needed for deeper calls.
    pub node_callers: Option<SocketAddr>,
    /// Calls that run at once; more wait inside the upstream.
    pub slots: u32,
    /// Connections that it announces.
    pub connections: u32,
    /// Made one after another for each call.
    pub child_calls: Vec<ChildCall>,
    /// What a crash does.
    pub crash: Crash,
    /// Switches at the start.
    pub switches: Switches,
}

impl Settings {
    /// A small upstream of that service on a free loopback port.
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

/// A call that the upstream makes through its node for each of its calls.
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

/// What a crash does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Cuts every connection and refuses new ones until `restart`.
    CutConnections,
    /// Ends the process.
    Exit,
}

/// One way for a call to go wrong.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Starts, then takes the whole upstream down.
    Crash,
    /// Runs; the connection is closed before anything of the answer has left.
    NoAnswer,
    /// Runs; the answer's connection is closed before its declared end.
    ShortBody,
    /// Runs; half of the answer, then nothing more on an open connection.
    StalledBody,
    /// Does not start: 503 and `hemlocktack-outcome: not-run`.
    Shed,
    /// Runs, then claims what `Shed` says, as one does that passes up the
    /// refusal of a deeper call.
    ShedAfterRun,
    /// Runs, and answers 500.
    Error,
}

/// Can be changed while it runs; the default is a healthy upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Time that a call takes.
    pub service_time_ms: u64,
    /// After a start, service time is four times as long for so long.
    pub cold_ms: u64,
    /// Sheds what would make more than this run and wait at once.
    pub shed_above: Option<u64>,
    /// Reported in place of the true number in flight.
    pub reported_in_flight: Option<u64>,
    /// What goes wrong, besides the fault that a request asks for itself.
    pub fault: Option<Fault>,
    /// Only requests with one of these markers; empty: all.
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
