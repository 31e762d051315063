//! Settings from flags, environment variables and a file, all of the same names.

mod file;
mod flags;
#[cfg(test)]
pub(crate) mod for_tests;
mod read;
mod sources;

pub(crate) use flags::usage;
pub(crate) use read::LoadedSettings;
pub(crate) use sources::{FileContents, Invocation, RunSettings, Sources, read};

use std::net::SocketAddr;
use std::time::Duration;

use hemlocktack_platform::PlatformRates;
use hemlocktack_protocol::{DataCentre, NodeId, ServiceName};

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum LogFormat {
    Text,
    Json,
}

/// Whose way of speaking a node uses towards callers, upstreams and the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum InterfaceName {
    /// That of docs/INTERFACES.md.
    Own,
    /// That of the co-operative's platform.
    Cooperative,
}

/// Settings that hold from the start of a node to its end.
#[derive(Clone)]
pub(crate) struct Settings {
    pub(crate) node_id: NodeId,
    pub(crate) service: ServiceName,
    pub(crate) data_centre: DataCentre,
    pub(crate) region: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) control_address: SocketAddr,
    /// As other nodes reach it.
    pub(crate) link_address: SocketAddr,
    pub(crate) link_listen_address: SocketAddr,
    /// As other nodes reach it.
    pub(crate) gossip_address: SocketAddr,
    pub(crate) gossip_listen_address: SocketAddr,
    pub(crate) platform_url: String,
    pub(crate) fleet_key: String,
    /// Still accepted while the fleet changes its key.
    pub(crate) previous_fleet_key: Option<String>,
    pub(crate) log_format: LogFormat,
    pub(crate) otlp_endpoint: Option<String>,
    pub(crate) interface: InterfaceName,
    pub(crate) readiness_address: Option<SocketAddr>,
    pub(crate) announce_address: Option<SocketAddr>,
    /// Where the upstream listens, if that is known before it announces itself.
    pub(crate) upstream_address: Option<SocketAddr>,
}

/// Settings that a running node takes over when their file changes.
#[derive(Clone)]
pub(crate) struct AdjustableSettings {
    /// Gossip addresses of nodes to ask first.
    pub(crate) seed_peers: Vec<SocketAddr>,
    pub(crate) operator_token: String,
    /// Still accepted while operators change their token.
    pub(crate) previous_operator_token: Option<String>,
    /// Longest that a planned stop waits for calls in flight.
    pub(crate) drain_limit: Duration,
    /// What the platform takes from all nodes together.
    pub(crate) platform_rates: Option<PlatformRates>,
    /// Time between the signal to stop and the end of the process by force.
    pub(crate) stop_grace: Option<Duration>,
    /// Largest share of retries among a service's calls from all nodes, per mille.
    pub(crate) retry_share_per_mille: Option<u32>,
    /// Retries of a service's calls from all nodes in ten seconds, however few calls.
    pub(crate) retries_beside_share: Option<u32>,
}
