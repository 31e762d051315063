//! What this node knows of the notices of other nodes' upstreams.

use std::sync::Arc;

use hemlocktack_decide::NoticeBook;
use hemlocktack_protocol::{Member, NodeId, UpstreamNotice};

use super::Node;

impl Node {
    /// Returns what goes along with a call to a node.
    pub(crate) fn notice_for(&self, node_id: &NodeId) -> Option<UpstreamNotice> {
        self.notices.load().notice_for(node_id).cloned()
    }

    /// Records what a node said of its upstream with an answer.
    pub(crate) fn record_notice(&self, node_id: &NodeId, notice: &UpstreamNotice) {
        if !self.notices.load().is_news(node_id, notice) {
            return;
        }
        self.notices.rcu(|known| {
            let mut known = NoticeBook::clone(known);
            known.record(node_id, notice);
            known
        });
    }

    /// Drops the notices of nodes that membership has forgotten.
    pub(super) fn forget_notices_of_former_members(&self, members: &[Member]) {
        let known = self.notices.load();
        let is_member =
            |node_id: &NodeId| members.iter().any(|member| *member.node_id == **node_id);
        if known.nodes().all(is_member) {
            return;
        }
        self.notices.rcu(|known| {
            let mut known = NoticeBook::clone(known);
            known.retain(is_member);
            Arc::new(known)
        });
    }
}
