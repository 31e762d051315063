//! Metrics in the OpenMetrics text format, collected from the node at each scrape.
//!
//! `docs/METRICS.md` lists them; a test keeps the page and the code consistent.

use std::sync::atomic::AtomicU64;

use hemlocktack_decide::{NextStep, ShedLevel};
use hemlocktack_protocol::{NodeState, NodeStatus, Outcome, Reason, StoreContact};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use strum::IntoEnumIterator;

use super::status;
use crate::freshness::boot_time;
use crate::memory::HeldFor;
use crate::node::Node;
use crate::peers::GossipCounts;

const PREFIX: &str = "hemlocktack";
const MICROS_PER_SECOND: f64 = 1e6;

type FloatGauge = Gauge<f64, AtomicU64>;

/// Labels of finished calls. Bounded by the declared services, three outcomes and the
/// schema's reasons.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EntryLabels {
    service: String,
    outcome: &'static str,
    reason: &'static str,
}

/// Labels of refusals. Bounded by the schema's reasons.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

/// Labels of ended sends. Bounded by the steps that can follow a send.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NextStepLabels {
    next: &'static str,
}

/// Labels of nodes. Bounded by the schema's states.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

/// Labels of held memory. Bounded by what memory is held for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeldLabels {
    held_for: &'static str,
}

/// Labels of gossip traffic. Bounded by two directions and six kinds of datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GossipLabels {
    direction: &'static str,
    kind: &'static str,
}

/// Returns the text of `/metrics`.
pub(crate) fn metrics_text(node: &Node) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    let status = status(node);
    register_calls(&mut registry, node, &status);
    register_load(&mut registry, node, &status);
    register_fleet(&mut registry, node, &status);
    register_memory(&mut registry, node);
    register_tickets(&mut registry, node);
    register_waits(&mut registry, node);
    register_telemetry(&mut registry, node);
    register_gossip(&mut registry, node);
    let mut out = String::new();
    // Writing to a string fails only if a metric cannot be encoded. An empty page is better
    // than a truncated one, which a scraper would take for complete.
    if text::encode(&mut out, &registry).is_err() {
        out.clear();
    }
    out
}

fn register_calls(registry: &mut Registry, node: &Node, status: &NodeStatus) {
    let ends = Family::<EntryLabels, Counter>::default();
    for entry in &status.entries {
        let labels = EntryLabels {
            service: entry.service.clone(),
            outcome: Outcome::try_from(entry.outcome).unwrap_or_default().into(),
            reason: Reason::try_from(entry.reason).unwrap_or_default().into(),
        };
        ends.get_or_create(&labels).inc_by(entry.count);
    }
    let help = "Finished calls that entered at this node, by service, outcome and reason";
    registry.register("entry_calls", help, ends);
    let help = "Calls that reached the upstream side of this node";
    counter(registry, "demand_calls", help, status.demand_count);
    let help = "Calls that got a slot of the upstream";
    counter(registry, "admitted_calls", help, status.admitted_count);
    let help = "Calls that were started after their callers had left, as far as their senders told";
    counter(
        registry,
        "late_starts",
        help,
        node.counters.late_starts_count(),
    );
    let help = "Pipelined requests that were started before the response to an earlier one";
    counter(
        registry,
        "early_starts",
        help,
        node.counters.early_starts_count(),
    );
    let help = "Requests that were started early and whose responses were not used";
    counter(
        registry,
        "early_discards",
        help,
        node.counters.early_discards_count(),
    );
    let help = "Requests that waited because there was no token of their account's quota";
    let waits = node.counters.quota_waits_count();
    counter(registry, "quota_waits", help, waits);
    let help = "Requests that got a token of their account's quota after such a wait";
    let served = node.counters.quota_waits_served_count();
    counter(registry, "quota_waits_served", help, served);
    let help = "Requests of callers that returned after a refusal when they were told to, or later";
    let returned = node.counters.returned_requests_count();
    counter(registry, "returned_requests", help, returned);
    let help = "Requests of callers that returned when they were told to and were refused again";
    let refused = node.counters.returned_requests_refused_count();
    counter(registry, "returned_requests_refused", help, refused);
    let help = "Retries of calls that entered at this node";
    counter(registry, "retries", help, status.retried_count);
    let help = "Sends that ended without an answer, by the step that followed";
    let ended_sends = Family::<NextStepLabels, Counter>::default();
    for next in NextStep::iter() {
        let labels = NextStepLabels { next: next.into() };
        let count = node.counters.ended_sends_count(next);
        ended_sends.get_or_create(&labels).inc_by(count);
    }
    registry.register("ended_sends", help, ended_sends);
    let refusals = Family::<ReasonLabels, Counter>::default();
    for reason in Reason::iter() {
        // Exported as 0 from the start, so that the first refusal is visible as an increase.
        let reason = reason.into();
        refusals.get_or_create(&ReasonLabels { reason }).inc_by(0);
    }
    for refusal in &status.refusals {
        let reason = Reason::try_from(refusal.reason).unwrap_or_default().into();
        let labels = ReasonLabels { reason };
        refusals.get_or_create(&labels).inc_by(refusal.count);
    }
    let help = "Calls that the upstream side refused, by reason";
    registry.register("refused_calls", help, refusals);
}

fn register_load(registry: &mut Registry, node: &Node, status: &NodeStatus) {
    let load = status.load.unwrap_or_default();
    let help = "Calls in flight on this node, on the caller or upstream side, until their answers are sent";
    gauge(registry, "in_flight_calls", help, node.counters.in_flight());
    let help = "Calls that the upstream is running";
    gauge(registry, "upstream_in_flight_calls", help, load.in_flight);
    let help = "Measured limit of calls that the upstream runs concurrently";
    gauge(registry, "upstream_limit_calls", help, load.limit);
    let help = "Slots of the upstream, by its last load report or else its announcement";
    gauge(registry, "upstream_slots", help, status.upstream_slots);
    let help = "Time that work currently takes on the upstream's machine, as a multiple of the usual time; 0 without a recent report that measured times follow";
    let slowness = f64::from(status.upstream_slowness_percent) / 100.0;
    float(registry, "upstream_slowness_ratio", help, slowness);
    let help = "Calls waiting for a slot of the upstream";
    gauge(registry, "queued_calls", help, load.queued);
    let delay = load.queue_delay_us as f64 / MICROS_PER_SECOND;
    let help = "Estimated queue wait of a call that arrives now";
    seconds(registry, "queue_delay", help, delay);
    let service_time = load.service_time_us as f64 / MICROS_PER_SECOND;
    let help = "Estimated time the upstream takes for one call";
    seconds(registry, "service_time", help, service_time);
    let shed = ShedLevel::unpack(load.shed_level).classes_shed(node.class_count());
    let help =
        "Classes being shed, starting with the lowest; 1.5 means one class and half of the next";
    float(registry, "shed_classes", help, shed);
    let (rate_limit, rate_limited_starts) = node.admission_queue.with_admission_only(|admission| {
        (
            admission.rate_limit_per_s(),
            admission.rate_limited_starts(),
        )
    });
    let help = "Calls per second that the upstream has said it accepts, 0 for no limit";
    float(
        registry,
        "upstream_rate_limit_calls_per_second",
        help,
        rate_limit.unwrap_or_default(),
    );
    let help = "Calls that were started within a limit on calls per second";
    counter(registry, "rate_limited_starts", help, rate_limited_starts);
    let known = node.notices.load().rate_limit_count() as u64;
    let help = "Limits on calls per second that this node knows of other nodes' upstreams";
    gauge(registry, "known_rate_limits", help, known);
    let quarantined = status.quarantined_fingerprints.len() as u64;
    let help = "Requests refused because upstreams crashed while running them";
    gauge(registry, "quarantined_requests", help, quarantined);
}

fn register_fleet(registry: &mut Registry, node: &Node, status: &NodeStatus) {
    let help = "Generation of the active configuration on this node, 0 for none";
    gauge(
        registry,
        "configuration_generation",
        help,
        status.generation_in_force,
    );
    let help = "1 if the platform answered the last request";
    let reachable = u64::from(status.platform_reachable);
    gauge(registry, "platform_reachable", help, reachable);
    register_store(registry, node);
    let now = boot_time();
    let help = "1 if requests with keys are admitted, or need none";
    let admits_keys = u64::from(node.can_admit_keys(now));
    gauge(registry, "admits_keys", help, admits_keys);
    let help =
        "Time since the active configuration was proved to be the newest one, 0 without keys";
    let age = node.freshness_age(node.active_generation(), now);
    let age = age.unwrap_or_default().as_secs_f64();
    seconds(registry, "configuration_proof_age", help, age);
    let help = "1 if this node accepts calls";
    let ready = u64::from(status.state() == NodeState::Ready);
    gauge(registry, "node_ready", help, ready);
    let members = Family::<StateLabels, Gauge>::default();
    for member in node.members().iter() {
        let state = member.state().into();
        members.get_or_create(&StateLabels { state }).inc();
    }
    let help = "Nodes known to this node, by state";
    registry.register("members", help, members);
}

fn register_store(registry: &mut Registry, node: &Node) {
    let store = node.store_access.snapshot();
    let help = "1 if this node watches the configuration in the platform's store";
    gauge(
        registry,
        "store_watching",
        help,
        u64::from(store.is_watching),
    );
    let help = "1 if the store serves this node, 0 if it refuses it or is not asked";
    let is_served = node.store_access.contact() == StoreContact::Served;
    gauge(registry, "store_served", help, u64::from(is_served));
    let help = "Time since the store last answered a read or a watch of the configuration, 0 before the first answer";
    let age = store.answered_at.map(|answered_at| answered_at.elapsed());
    seconds(
        registry,
        "store_answer_age",
        help,
        age.unwrap_or_default().as_secs_f64(),
    );
    let help = "Revision of the store from which this node would watch next";
    gauge(registry, "store_revision", help, store.revision.number);
    let help = "Era of the store in its last answer to any call of this node, 0 if it names none";
    let era = node.platform.eras().seen().era;
    gauge(registry, "store_era", help, era.unwrap_or_default());
    let help = "Reads and watches of the configuration without a valid answer of the store";
    counter(registry, "store_read_failures", help, store.failed_count);
}

fn register_gossip(registry: &mut Registry, node: &Node) {
    let bytes = Family::<GossipLabels, Counter>::default();
    for (direction, kind) in GossipCounts::all_pairs() {
        let labels = GossipLabels {
            direction: direction.into(),
            kind: kind.into(),
        };
        let counted = node.gossip_counts.bytes(direction, kind);
        bytes.get_or_create(&labels).inc_by(counted);
    }
    let help = "Bytes of gossip including IP and UDP headers, by direction and kind";
    registry.register("gossip_bytes", help, bytes);
    let help = "Datagrams dropped because their MAC was wrong or they could not be decoded";
    let refused = node.datagram_refusals.total();
    counter(registry, "refused_datagrams", help, refused);
}

fn register_memory(registry: &mut Registry, node: &Node) {
    let held = Family::<HeldLabels, Gauge>::default();
    for held_for in HeldFor::iter() {
        let labels = HeldLabels {
            held_for: held_for.into(),
        };
        let bytes = as_signed(node.memory.gauge().bytes(held_for));
        held.get_or_create(&labels).set(bytes);
    }
    let help = "Memory held for bodies and frames, by what it is held for";
    registry.register_with_unit("held", help, Unit::Bytes, held);
    let help = "Memory that all bodies together may use";
    let budget = node.memory.sizes().total_bytes() as u64;
    bytes(registry, "body_budget", help, budget);
    let help = "Bodies that wait for memory";
    let waiting = node.memory.waiting_count() as u64;
    gauge(registry, "waiting_bodies", help, waiting);
    let help = "Bodies for which there was no memory until their wait ended";
    counter(
        registry,
        "refused_bodies",
        help,
        node.memory.refused_count(),
    );
}

fn register_tickets(registry: &mut Registry, node: &Node) {
    let table = node.home.table();
    let help = "Records of the tickets that this node is home of";
    gauge(
        registry,
        "ticket_records",
        help,
        table.record_count() as u64,
    );
    let help = "Tickets that this node is home of and whose request is running";
    let in_flight = table.in_flight_count() as u64;
    gauge(registry, "tickets_in_flight", help, in_flight);
    let kept = table.kept_answer_bytes() as u64;
    let help = "Memory used by answers kept for at-most-once requests";
    bytes(registry, "kept_answers", help, kept);
}

fn register_waits(registry: &mut Registry, node: &Node) {
    let waits = [
        (
            "entry_duration",
            "Time from a caller's request until its answer is sent",
            &node.waits.entry,
        ),
        (
            "link_wait",
            "Time waiting for another node's reply",
            &node.waits.link,
        ),
        (
            "queue_wait",
            "Time waiting for a slot of the upstream",
            &node.waits.queue,
        ),
        (
            "upstream_wait",
            "Time waiting for the upstream's answer",
            &node.waits.upstream,
        ),
    ];
    for (name, help, histogram) in waits {
        registry.register_with_unit(name, help, Unit::Seconds, histogram.snapshot());
    }
}

fn register_telemetry(registry: &mut Registry, node: &Node) {
    let help = "Operators' requests refused because of their token";
    let refused = node.operator_refusals.total();
    counter(registry, "operator_refusals", help, refused);
    let help = "Links refused because the peer did not prove that it has the fleet key";
    let refused = node.link_refusals.total();
    counter(registry, "link_refusals", help, refused);
    let help = "Sampled spans that could not be delivered to the collector";
    let lost = node.tracer.lost_span_count();
    counter(registry, "lost_spans", help, lost);
}

fn counter(registry: &mut Registry, name: &str, help: &str, count: u64) {
    let metric = Counter::<u64>::default();
    metric.inc_by(count);
    registry.register(name, help, metric);
}

fn gauge(registry: &mut Registry, name: &str, help: &str, value: impl Into<u64>) {
    let metric = Gauge::<i64>::default();
    metric.set(as_signed(value.into()));
    registry.register(name, help, metric);
}

fn float(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let metric = FloatGauge::default();
    metric.set(value);
    registry.register(name, help, metric);
}

fn bytes(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let metric = Gauge::<i64>::default();
    metric.set(as_signed(value));
    registry.register_with_unit(name, help, Unit::Bytes, metric);
}

fn seconds(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let metric = FloatGauge::default();
    metric.set(value);
    registry.register_with_unit(name, help, Unit::Seconds, metric);
}

fn as_signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
