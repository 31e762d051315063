//! Answers to the reports of other nodes.

use hemlocktack_protocol::{Incarnation, QuotaGrant, QuotaReport};

use super::state::quota_of;
use crate::freshness::boot_time;
use crate::node::Node;

/// Answers a report with tokens.
pub(crate) fn answer_report(node: &Node, from: Incarnation, report: &QuotaReport) -> QuotaGrant {
    let active = node.active_configuration();
    let quota = |account| {
        let account = active.as_ref()?.accounts.by_id(account)?;
        quota_of(account)
    };
    let mut grantor = node.quotas.grantor();
    // Read under the lock, so that the grantor's time does not go back.
    grantor.handle(from, report, quota, boot_time())
}
