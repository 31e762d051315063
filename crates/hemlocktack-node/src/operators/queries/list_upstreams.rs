//! `ListUpstreams`: lists the upstreams that have announced themselves.

use hemlocktack_protocol::{
    ListUpstreamsRequest, ListUpstreamsResponse, Member, NodeState, UpstreamListing, UpstreamState,
};

use super::list_nodes::all_members;
use crate::node::Node;

pub(in crate::operators) fn run(
    node: &Node,
    request: ListUpstreamsRequest,
) -> ListUpstreamsResponse {
    let is_selected =
        |member: &Member| request.service.is_empty() || member.service == request.service;
    let upstreams = all_members(node)
        .into_iter()
        .filter(|member| is_selected(member) && has_upstream(member))
        .map(listing);
    ListUpstreamsResponse {
        upstreams: upstreams.collect(),
    }
}

fn has_upstream(member: &Member) -> bool {
    let is_gone = matches!(member.state(), NodeState::Left | NodeState::Dead);
    let is_absent = matches!(
        member.upstream(),
        UpstreamState::Absent | UpstreamState::Unspecified
    );
    !is_gone && !is_absent
}

fn listing(member: Member) -> UpstreamListing {
    UpstreamListing {
        state: member.upstream,
        node_id: member.node_id,
        service: member.service,
        data_centre: member.data_centre,
        slots: member.slots,
    }
}
