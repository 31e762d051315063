//! Settings of the quotas.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString};

/// A safeguard that a mutation test disables, to show that the randomised runs detect its absence.
/// A node never disables one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum QuotaSafeguard {
    /// A node does not use a share that it has lent.
    LentOnce,
    /// A lease is dated by the last grant that the lender saw, on the grantor's clock.
    LeaseDatedByGrant,
    /// A lease lapses.
    LeaseLapses,
    /// A node owns a share only while its proof of freshness holds.
    ShareNeedsProof,
    /// A new node waits until every other one must have counted it.
    JoinWait,
}

/// Intervals and limits of the quotas.
#[derive(Clone, Copy, Debug)]
pub struct QuotaSettings {
    /// Number of groups of accounts.
    pub groups: u32,
    /// Interval between the reports of a node to a grantor.
    pub report_interval: Duration,
    /// How long a share is lent with one report.
    pub lease: Duration,
    /// How long a granted token may be used. A bucket's worth of tokens of this age may run on top
    /// of a full bucket, so this must stay below the tolerated overshoot.
    pub token_lifetime: Duration,
    /// Time after which a report counts as lost.
    pub report_timeout: Duration,
    /// How long a grantor that did not answer is passed over.
    pub grantor_pause: Duration,
    /// How long less important requests of an account that was refused a token are refused without
    /// asking again.
    pub refusal_pause: Duration,
    /// Time after the last proof of freshness for which a node may use its shares, and which a new
    /// node waits.
    pub proof_lifetime: Duration,
    /// Safeguard that a mutation test disables.
    pub disabled_safeguard: Option<QuotaSafeguard>,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            groups: 8,
            report_interval: Duration::from_millis(200),
            lease: Duration::from_millis(600),
            token_lifetime: Duration::from_millis(400),
            report_timeout: Duration::from_millis(250),
            grantor_pause: Duration::from_secs(2),
            refusal_pause: Duration::from_millis(50),
            proof_lifetime: Duration::from_millis(4_900),
            disabled_safeguard: None,
        }
    }
}

impl QuotaSettings {
    pub(crate) fn is_enabled(&self, safeguard: QuotaSafeguard) -> bool {
        self.disabled_safeguard != Some(safeguard)
    }
}
