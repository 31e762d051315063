//! Periods and bounds of membership.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString};

/// Longest id of a node: a datagram may carry two of them beside its records.
pub const NODE_ID_LIMIT_BYTES: usize = 128;

/// A rule that a mutation run switches off, to show that the run notices.
/// A node never does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum MembershipSafeguard {
    /// Ask others before a silent member is suspected.
    IndirectProbes,
    /// A suspected member may answer with a higher version.
    Refutation,
    /// Old accusations are not passed on.
    AccusationAge,
    /// A node that was paused itself accuses nobody.
    OwnPause,
    /// A node that was paused itself reads the whole table at once.
    ReadAfterPause,
    /// Left and dead records are kept, so that old news does not revive them.
    Tombstones,
    /// Dead members are tried again now and then.
    DeadRetry,
    /// Tables that differ are compared page by page.
    AntiEntropy,
    /// A drain is told at once.
    UrgentNews,
    /// A new start ranks above every earlier one of its node id.
    StartOrder,
}

/// Periods and bounds of membership. The defaults hold the cost of one node
/// constant in the size of the fleet.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// One member is probed in each period.
    pub probe_period: Duration,
    /// Wait for a direct answer before others are asked.
    pub direct_timeout: Duration,
    /// Members asked to probe a silent one.
    pub indirect_probes: usize,
    /// Every so many probes, one goes to another data centre.
    pub far_probe_interval: u32,
    /// Probe periods that a suspected member has to refute, at least.
    pub suspicion_periods: u32,
    /// How long left and dead records are kept.
    pub tombstone_age: Duration,
    /// Left and dead records kept at most.
    pub tombstone_limit: usize,
    /// One dead member, or a seed where nobody is known, is tried each period.
    pub dead_retry_period: Duration,
    /// One page is pulled each period while tables differ.
    pub sync_period: Duration,
    /// Pages that a node gives away in a probe period.
    pub page_limit: u32,
    /// Whole datagram with its MAC; under the smallest usual MTU.
    pub datagram_limit_bytes: usize,
    /// Bytes that the MAC behind each datagram takes.
    pub mac_bytes: usize,
    /// Members that a receiver of urgent news tells at once; its owner tells
    /// half as many in its data centre and one in each other.
    pub urgent_fanout: usize,
    /// Datagrams of urgent news in one probe period, at most.
    pub urgent_limit: u32,
    /// Rule that a mutation run leaves out.
    pub disabled_safeguard: Option<MembershipSafeguard>,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            far_probe_interval: 4,
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
            disabled_safeguard: None,
        }
    }
}

impl MembershipSettings {
    pub(crate) fn keeps(&self, safeguard: MembershipSafeguard) -> bool {
        self.disabled_safeguard != Some(safeguard)
    }
}
