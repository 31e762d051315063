//! Settings for the distribution of configuration.

use std::time::Duration;

use hemlocktack_protocol::ConfigurationDocument;
use strum::{Display, EnumIter, EnumString};

/// A safeguard that a mutation test disables, to show that the randomised runs detect its absence.
/// A node never disables one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ConfigurationSafeguard {
    /// Only a higher generation becomes active.
    HigherOnly,
    /// A node takes no calls before its configuration has caught up.
    CatchUp,
    /// A few nodes in each data centre watch the platform.
    Watchers,
    /// A node pulls a higher generation from the peer that has it.
    PeerPull,
    /// A node keeps its active configuration while the platform is unavailable.
    FailStatic,
}

/// Timeouts, intervals and limits for the distribution of configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// Number of nodes in each data centre that watch the platform.
    pub watchers_per_data_centre: usize,
    /// Number of peers that a starting node asks while the platform is unavailable.
    pub catch_up_peers: usize,
    /// Timeout of a pull from a peer, after which another peer is asked.
    pub pull_timeout: Duration,
    /// Time after which a read from the platform counts as lost and is repeated. An answer that
    /// comes later still counts.
    pub read_timeout: Duration,
    /// Timeout of a watch, including the time for which the platform holds it open.
    pub watch_timeout: Duration,
    /// Delay after the first failed platform call; doubles with each further failure.
    pub backoff_base: Duration,
    /// Maximum delay after failed platform calls.
    pub backoff_limit: Duration,
    /// Interval at which a node that does not watch reads from the platform, in case it missed a
    /// change.
    pub poll_interval: Duration,
    /// Returns whether this version of the node can apply a document.
    pub can_read: fn(&ConfigurationDocument) -> bool,
    /// Safeguard that a mutation test disables.
    pub disabled_safeguard: Option<ConfigurationSafeguard>,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            watchers_per_data_centre: 2,
            catch_up_peers: 3,
            pull_timeout: Duration::from_millis(700),
            read_timeout: Duration::from_millis(800),
            watch_timeout: Duration::from_secs(40),
            backoff_base: Duration::from_millis(500),
            backoff_limit: Duration::from_secs(30),
            poll_interval: Duration::from_secs(5 * 60),
            can_read: |_| true,
            disabled_safeguard: None,
        }
    }
}

impl ConfigurationSettings {
    pub(crate) fn is_enabled(&self, safeguard: ConfigurationSafeguard) -> bool {
        self.disabled_safeguard != Some(safeguard)
    }
}
