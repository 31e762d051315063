//! Order of the records of one node by freshness.

use hemlocktack_protocol::{Incarnation, Member, NodeState, UpstreamState};

/// Freshness of a record: a total order of the records of one node id, so that merging gives the
/// same table in whatever order records arrive.
///
/// Only the node itself raises `start_order` and `version`. A suspicion or death outranks the
/// version that it accuses, but no later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Freshness {
    pub(crate) start_order: u64,
    pub(crate) incarnation: Incarnation,
    pub(crate) version: u64,
    severity: u8,
}

impl Freshness {
    pub(crate) fn of(record: &Member) -> Self {
        Self::with_state(record, record.state())
    }

    pub(crate) fn with_state(record: &Member, state: NodeState) -> Self {
        Self {
            start_order: record.start_order,
            incarnation: record.incarnation,
            version: record.version,
            severity: severity(state),
        }
    }
}

fn severity(state: NodeState) -> u8 {
    match state {
        NodeState::Suspect => 1,
        NodeState::Dead => 2,
        _ => 0,
    }
}

/// Returns whether a record is an accusation by another node, and not published by the node itself.
pub(crate) fn is_accusation(record: &Member) -> bool {
    severity(record.state()) > 0
}

/// Returns a short record that accuses one version of a member.
pub(crate) fn accusation(member: &Member) -> Member {
    Member {
        node_id: member.node_id.clone(),
        incarnation: member.incarnation,
        start_order: member.start_order,
        version: member.version,
        state: NodeState::Suspect.into(),
        ..Member::default()
    }
}

/// Returns whether a node with this record is leaving, so that it gets no new calls.
pub(crate) fn is_leaving(record: &Member) -> bool {
    matches!(record.state(), NodeState::Draining | NodeState::Left)
        || record.upstream() == UpstreamState::Draining
}
