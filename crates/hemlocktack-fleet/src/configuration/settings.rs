//! Periods and bounds of configuration.

use std::time::Duration;

use hemlocktack_protocol::ConfigurationDocument;
use strum::{Display, EnumIter, EnumString};

/// A rule that a mutation run switches off, to show that the run notices.
/// A node never does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ConfigurationSafeguard {
    /// Only a higher generation comes into force.
    HigherOnly,
    /// No calls before the configuration has caught up.
    CatchUp,
    /// A few nodes in each data centre watch the platform.
    Watchers,
    /// A peer with a higher generation is asked for it.
    PeerPull,
    /// Without the platform a node goes on with what it has.
    FailStatic,
}

/// Periods and bounds of configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// Nodes of each data centre that watch the platform.
    pub watchers_per_data_centre: usize,
    /// Peers that a starting node asks while the platform is out.
    pub catch_up_peers: usize,
    /// Wait for a peer's answer before the next one is asked.
    pub pull_timeout: Duration,
    /// Wait for the platform's answer to a read.
    pub read_timeout: Duration,
    /// Wait for the platform's answer to a watch, its own waiting included.
    pub watch_timeout: Duration,
    /// Pause after the first failed platform call; doubles with each more.
    pub backoff_base: Duration,
    /// Longest pause after failed platform calls.
    pub backoff_limit: Duration,
    /// A node that does not watch reads the platform this seldom, lest some
    /// news was lost.
    pub backstop_period: Duration,
    /// Whether this version of the node can bring a document into force.
    pub can_read: fn(&ConfigurationDocument) -> bool,
    /// Rule that a mutation run leaves out.
    pub disabled_safeguard: Option<ConfigurationSafeguard>,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            watchers_per_data_centre: 2,
            catch_up_peers: 3,
            pull_timeout: Duration::from_millis(700),
            read_timeout: Duration::from_secs(2),
            watch_timeout: Duration::from_secs(40),
            backoff_base: Duration::from_millis(500),
            backoff_limit: Duration::from_secs(30),
            backstop_period: Duration::from_secs(5 * 60),
            can_read: |_| true,
            disabled_safeguard: None,
        }
    }
}

impl ConfigurationSettings {
    pub(crate) fn keeps(&self, safeguard: ConfigurationSafeguard) -> bool {
        self.disabled_safeguard != Some(safeguard)
    }
}
