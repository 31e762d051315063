//! Settings from flags, environment variables and a file, with the same names in all three.

mod file;
mod flags;
#[cfg(test)]
pub(crate) mod for_tests;
mod read;
mod sources;

pub(crate) use flags::usage;
pub(crate) use read::LoadedSettings;
pub(crate) use sources::{FileContents, Invocation, RunSettings, read};

use std::net::SocketAddr;
use std::time::Duration;

use hemlocktack_platform::PlatformRates;
use hemlocktack_protocol::{DataCentre, NodeId, ServiceName};

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum LogFormat {
    Text,
    Json,
}

/// Set of wire formats that a node uses with callers, upstreams and the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum InterfaceName {
    /// The native interface of `docs/INTERFACES.md`.
    Own,
    /// The interface of the co-operative's platform.
    Cooperative,
}

/// Settings that are fixed for the lifetime of a node.
#[derive(Clone)]
pub(crate) struct Settings {
    pub(crate) node_id: NodeId,
    pub(crate) service: ServiceName,
    pub(crate) data_centre: DataCentre,
    pub(crate) region: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) control_address: SocketAddr,
    /// The address that other nodes connect to.
    pub(crate) link_address: SocketAddr,
    pub(crate) link_listen_address: SocketAddr,
    /// The address that other nodes send to.
    pub(crate) gossip_address: SocketAddr,
    pub(crate) gossip_listen_address: SocketAddr,
    pub(crate) platform_url: String,
    pub(crate) fleet_key: String,
    /// Still accepted during a key rotation.
    pub(crate) previous_fleet_key: Option<String>,
    pub(crate) log_format: LogFormat,
    pub(crate) otlp_endpoint: Option<String>,
    pub(crate) interface: InterfaceName,
    pub(crate) readiness_address: Option<SocketAddr>,
    pub(crate) announce_address: Option<SocketAddr>,
    /// Address of the upstream, if it is known before the upstream announces itself.
    pub(crate) upstream_address: Option<SocketAddr>,
    /// Memory that the process may use at most.
    pub(crate) memory_bytes: usize,
}

/// Settings that a running node reloads when their file changes.
#[derive(Clone)]
pub(crate) struct AdjustableSettings {
    /// Gossip addresses of the nodes to contact first.
    pub(crate) seed_peers: Vec<SocketAddr>,
    pub(crate) operator_token: String,
    /// Still accepted during a token rotation.
    pub(crate) previous_operator_token: Option<String>,
    /// Longest time that a planned stop waits for calls in flight.
    pub(crate) drain_limit: Duration,
    /// Request rates that the platform accepts from all nodes together.
    pub(crate) platform_rates: Option<PlatformRates>,
    /// Time between the stop signal and the forced end of the process.
    pub(crate) stop_grace: Option<Duration>,
    /// Largest share of retries among a service's calls from all nodes, in per mille.
    pub(crate) retry_share_per_mille: Option<u32>,
    /// Retries of a service's calls that all nodes together may make in ten seconds even if
    /// there are few calls.
    pub(crate) retries_beside_share: Option<u32>,
    /// Time within which a removed key stops working at every node.
    pub(crate) revocation_bound: Option<Duration>,
}
