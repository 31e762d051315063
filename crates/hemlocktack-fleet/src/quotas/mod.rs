//! Quotas of client accounts that hold over the whole fleet.
//!
//! Each recorded node owns an equal share of every quota. It lends its shares for a short time to
//! one grantor for each group of accounts, which hands out tokens from what is lent to it. A share
//! is never used at two places, so the sum of what all nodes let run stays within the quota however
//! the network is cut, without any agreement between nodes.

mod bucket;
mod grantor;
mod groups;
mod ledger;
mod settings;
mod share;

pub use grantor::QuotaGrantor;
pub use groups::{GrantorChoice, group_of};
pub use ledger::{QuotaLedger, QuotaToken, TokenRequest, WaitingRequest};
pub use settings::{QuotaSafeguard, QuotaSettings};
pub use share::{OwnedShare, ShareOwnership};

use hemlocktack_protocol::AccountId;

/// Number of a group of client accounts that have the same grantor.
pub type AccountGroup = u32;

/// Limit on the requests of one client account, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountQuota {
    /// The account.
    pub account: AccountId,
    /// Sustained requests per second.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may run at once after a pause.
    pub burst_requests: f64,
}
