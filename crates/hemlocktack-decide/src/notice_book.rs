//! What an entry knows of the notices of other nodes' upstreams.

use std::collections::HashMap;

use hemlocktack_protocol::{Incarnation, NodeId, UpstreamNotice};

/// The newest notice of each node's upstream, by the node's name.
///
/// A notice is kept for a name and not for an incarnation: an entry that has passed a limit on is
/// bound by it whatever becomes of the node beside the upstream.
#[derive(Clone, Debug, Default)]
pub struct NoticeBook {
    known: HashMap<NodeId, KnownNotice>,
}

#[derive(Clone, Debug)]
struct KnownNotice {
    notice: UpstreamNotice,
    /// Incarnation of the node whose notice this one replaced.
    earlier_incarnation: Option<Incarnation>,
}

impl NoticeBook {
    /// Returns whether [`NoticeBook::record`] would change anything.
    pub fn is_news(&self, node: &str, notice: &UpstreamNotice) -> bool {
        let Some(known) = self.known.get(node) else {
            return true;
        };
        match known.notice.node_incarnation == notice.node_incarnation {
            true => known.notice.revision < notice.revision,
            // A late answer of the node's earlier process must not replace what the present one says.
            false => known.earlier_incarnation != Some(notice.node_incarnation),
        }
    }

    /// Records what a node said of its upstream with an answer.
    pub fn record(&mut self, node: &NodeId, notice: &UpstreamNotice) {
        if !self.is_news(node, notice) {
            return;
        }
        let earlier = self.known.get(node).and_then(|known| {
            let known_incarnation = known.notice.node_incarnation;
            let is_other = known_incarnation != notice.node_incarnation;
            if is_other {
                Some(known_incarnation)
            } else {
                known.earlier_incarnation
            }
        });
        let known = KnownNotice {
            notice: notice.clone(),
            earlier_incarnation: earlier,
        };
        self.known.insert(node.clone(), known);
    }

    /// Returns what goes along with a call to a node: a limit or a departure that is in force.
    pub fn notice_for(&self, node: &str) -> Option<&UpstreamNotice> {
        let notice = &self.known.get(node)?.notice;
        let is_in_force = notice.is_leaving || notice.rate_limit_per_s > 0.0;
        is_in_force.then_some(notice)
    }

    /// Returns the nodes whose upstreams have said something.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.known.keys()
    }

    /// Forgets nodes that have left the fleet for good.
    pub fn retain(&mut self, is_member: impl Fn(&NodeId) -> bool) {
        self.known.retain(|node, _| is_member(node));
    }

    /// Returns the number of rate limits in force.
    pub fn rate_limit_count(&self) -> usize {
        let notices = self.known.values();
        notices
            .filter(|known| known.notice.rate_limit_per_s > 0.0)
            .count()
    }
}
