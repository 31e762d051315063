//! `ListNodes`: lists all nodes as this node sees them.

use hemlocktack_protocol::{ListNodesRequest, ListNodesResponse, Member};

use crate::node::Node;

pub(in crate::operators) fn run(node: &Node, _: ListNodesRequest) -> ListNodesResponse {
    ListNodesResponse {
        nodes: all_members(node),
    }
}

/// Returns all nodes ordered by name, with an up-to-date entry for this node itself.
pub(super) fn all_members(node: &Node) -> Vec<Member> {
    let own = node.own_member();
    let members = node.members();
    let others = members
        .iter()
        .filter(|member| member.node_id != own.node_id)
        .cloned();
    let mut all = others.collect::<Vec<_>>();
    all.push(own);
    all.sort_by(|one, other| one.node_id.cmp(&other.node_id));
    all
}
