//! Settings of membership.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString};

/// Maximum length of a node id. A datagram may contain two ids in addition to its records.
pub const NODE_ID_LIMIT_BYTES: usize = 128;

/// A safeguard that a mutation test disables, to show that the randomised runs detect its absence.
/// A node never disables one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum MembershipSafeguard {
    /// Other members probe a silent member before it is suspected.
    IndirectProbes,
    /// A suspected member refutes the suspicion with a higher version.
    Refutation,
    /// Old accusations are not disseminated.
    AccusationAge,
    /// A node that was itself paused accuses no other node.
    OwnPause,
    /// A node that was itself paused reads a whole table at once.
    ReadAfterPause,
    /// Records of left and dead members are kept as tombstones, so that old updates do not revive
    /// them.
    Tombstones,
    /// Dead members are probed again from time to time.
    DeadRetry,
    /// Tables that differ are synchronised page by page.
    AntiEntropy,
    /// A drain is announced at once.
    UrgentNews,
    /// A new incarnation ranks above every earlier one with its node id.
    StartOrder,
}

/// Intervals, timeouts and limits of membership.
///
/// With the defaults the cost per node does not depend on the size of the fleet.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Interval between probes; one member is probed in each period.
    pub probe_period: Duration,
    /// Time to wait for a direct answer before other members are asked to probe.
    pub direct_timeout: Duration,
    /// Number of members that are asked to probe a silent one.
    pub indirect_probes: usize,
    /// One in this many probes goes to another data centre.
    pub remote_probe_interval: u32,
    /// Minimum number of probe periods that a suspected member has to refute.
    pub suspicion_periods: u32,
    /// Time for which records of left and dead members are kept.
    pub tombstone_age: Duration,
    /// Maximum number of records of left and dead members that are kept.
    pub tombstone_limit: usize,
    /// Interval between retries, each of one dead or left member and one unknown seed.
    pub dead_retry_period: Duration,
    /// Interval between pulls of a page while tables differ.
    pub sync_period: Duration,
    /// Maximum number of pages that a node sends in a probe period.
    pub page_limit: u32,
    /// Maximum size of a datagram with its MAC; below the smallest common MTU.
    pub datagram_limit_bytes: usize,
    /// Length of the MAC at the end of each datagram.
    pub mac_bytes: usize,
    /// Number of members to which the recipient of an urgent update forwards it at once. The node
    /// that it is about sends it to half as many in its own data centre, and to one in each other.
    pub urgent_fanout: usize,
    /// Maximum number of datagrams with urgent updates in a probe period.
    pub urgent_limit: u32,
    /// Number of members of its data centre to which a node sends a change of its access to the
    /// store at once.
    pub contact_fanout: usize,
    /// Maximum number of datagrams with such changes in a probe period.
    pub contact_limit: u32,
    /// Safeguard that a mutation test disables.
    pub disabled_safeguard: Option<MembershipSafeguard>,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            remote_probe_interval: 4,
            suspicion_periods: 3,
            tombstone_age: Duration::from_secs(2 * 60 * 60),
            tombstone_limit: 1_024,
            dead_retry_period: Duration::from_secs(1),
            sync_period: Duration::from_secs(2),
            page_limit: 64,
            datagram_limit_bytes: 1_200,
            mac_bytes: 32,
            urgent_fanout: 4,
            urgent_limit: 16,
            contact_fanout: 16,
            contact_limit: 64,
            disabled_safeguard: None,
        }
    }
}

impl MembershipSettings {
    pub(crate) fn is_enabled(&self, safeguard: MembershipSafeguard) -> bool {
        self.disabled_safeguard != Some(safeguard)
    }
}
