//! Status of this node, for operators and metrics.

use std::time::Instant;

use hemlocktack_decide::ShedLevel;
use hemlocktack_protocol::NodeStatus;

use crate::node::Node;

/// Returns a snapshot of this node's state and counters.
pub(crate) fn status(node: &Node) -> NodeStatus {
    let now = Instant::now();
    let quarantined = node
        .admission_queue
        .with_admission(|admission| admission.quarantine().refused(now));
    let (reported_slots, slowness) = node.admission_queue.with_admission_only(|admission| {
        (admission.reported_slots(), admission.present_slowness(now))
    });
    NodeStatus {
        query_id: 0,
        node_id: node.identity.node_id.to_string(),
        incarnation: node.identity.incarnation,
        service: node.settings.service.to_string(),
        data_centre: node.settings.data_centre.to_string(),
        state: node.state().into(),
        upstream: node.upstream_state().into(),
        generation_in_force: node
            .active_configuration()
            .map_or(0, |active| active.generation),
        demand_count: node.counters.demand_count(),
        admitted_count: node.counters.admitted_count(),
        retried_count: node.counters.retried_count(),
        refusals: node.counters.refusals(),
        load: Some(node.admission_queue.hint(ShedLevel::OPEN)),
        quarantined_fingerprints: quarantined,
        link_address: node.settings.link_address.to_string(),
        platform_reachable: node.store_access.client.is_answering(),
        entries: node.entry_counts.counts(),
        upstream_slots: reported_slots.unwrap_or_else(|| node.announced_slots()),
        upstream_slowness_percent: slowness.map_or(0, |factor| (factor * 100.0).round() as u32),
    }
}
