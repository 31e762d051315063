//! Metrics in the OpenMetrics text format.

use prometheus_client::encoding::text;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::node::Node;

/// Text of `/metrics`.
pub(crate) fn metrics_text(node: &Node) -> String {
    let mut registry = Registry::with_prefix("hemlocktack");
    let generation: Gauge = Gauge::default();
    let in_force = node
        .configuration_in_force()
        .map_or(0, |in_force| in_force.generation);
    generation.set(i64::try_from(in_force).unwrap_or(i64::MAX));
    registry.register(
        "configuration_generation",
        "generation in force on this node",
        generation,
    );
    let mut out = String::new();
    if text::encode(&mut out, &registry).is_err() {
        out.clear();
    }
    out
}
