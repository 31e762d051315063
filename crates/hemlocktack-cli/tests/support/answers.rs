//! Fixed responses of a small fleet to every method.

use hemlocktack_decide::MAX_CLASSES;
use hemlocktack_protocol::{
    ApplyConfigurationResponse, ConfigurationChange, ConfigurationDocument, DrainNodeResponse,
    EntryCount, ExplainCallResponse, GetStatusResponse, ListConfigurationHistoryResponse,
    ListNodesResponse, ListUpstreamsResponse, LoadHint, Member, NodeState, NodeStatus, Outcome,
    Reason, RefusalCount, ShowConfigurationRequest, ShowConfigurationResponse, Span,
    UpstreamListing, UpstreamState,
};

use prost::Message;

use super::{ReceivedRequest, Reply, answer};

pub(crate) fn fleet(seen: &ReceivedRequest) -> Reply {
    let method = seen.path.rsplit('/').next().unwrap();
    match method {
        "ApplyConfiguration" => answer(ApplyConfigurationResponse {
            generation: 8,
            already_applied: false,
        }),
        "ShowConfiguration" => answer(show(seen)),
        "ListConfigurationHistory" => answer(history()),
        "ListUpstreams" => answer(upstreams()),
        "ListNodes" => answer(nodes()),
        "GetStatus" => answer(status()),
        "ExplainCall" => answer(spans()),
        "DrainNode" => answer(DrainNodeResponse {
            state: NodeState::Draining.into(),
        }),
        other => panic!("{other} is not in the schema"),
    }
}

fn show(seen: &ReceivedRequest) -> ShowConfigurationResponse {
    let request = ShowConfigurationRequest::decode(seen.body.as_slice()).unwrap();
    let generation = match request.generation {
        0 => 7,
        generation => generation,
    };
    let bhadralok = include_str!("../../../../docs/examples/bhadralok.toml");
    ShowConfigurationResponse {
        configuration: Some(ConfigurationDocument {
            generation,
            change_id: "c7".to_owned(),
            author: "asha".to_owned(),
            document: bhadralok
                .lines()
                .map(|line| line.split('#').next().unwrap().trim_end())
                .filter(|line| !line.is_empty())
                .collect::<Vec<_>>()
                .join("\n")
                .replace("patience_ms = 3_000", "patience_ms = 2_500"),
            ..ConfigurationDocument::default()
        }),
    }
}

fn history() -> ListConfigurationHistoryResponse {
    let change = |generation: u64, author: &str| ConfigurationChange {
        generation,
        change_id: format!("c{generation}"),
        author: author.to_owned(),
    };
    ListConfigurationHistoryResponse {
        changes: vec![change(7, "asha"), change(6, "joaquín\u{1b}[31m")],
    }
}

fn upstreams() -> ListUpstreamsResponse {
    let upstream = |node_id: &str, state: UpstreamState, slots| UpstreamListing {
        node_id: node_id.to_owned(),
        service: "listings".to_owned(),
        data_centre: "howrah".to_owned(),
        state: state.into(),
        slots,
    };
    ListUpstreamsResponse {
        upstreams: vec![
            upstream("listings-1", UpstreamState::Ready, 45),
            upstream("listings-2", UpstreamState::Cold, 44),
        ],
    }
}

fn nodes() -> ListNodesResponse {
    let node = |node_id: &str, state: NodeState, upstream: UpstreamState| Member {
        node_id: node_id.to_owned(),
        incarnation: 9,
        version: 3,
        state: state.into(),
        upstream: upstream.into(),
        service: "listings".to_owned(),
        data_centre: "howrah".to_owned(),
        region: "kolkata".to_owned(),
        link_address: "10.0.0.7:7401".to_owned(),
        ..Member::default()
    };
    ListNodesResponse {
        nodes: vec![
            node("listings-1", NodeState::Ready, UpstreamState::Ready),
            node("listings-2", NodeState::Suspect, UpstreamState::Cold),
        ],
    }
}

fn status() -> GetStatusResponse {
    let refusal = |reason: Reason, count| RefusalCount {
        reason: reason.into(),
        count,
    };
    let entry = |service: &str, outcome: Outcome, reason: Reason, count| EntryCount {
        service: service.to_owned(),
        outcome: outcome.into(),
        reason: reason.into(),
        count,
    };
    let listings = NodeStatus {
        node_id: "listings-1".to_owned(),
        service: "listings".to_owned(),
        state: NodeState::Ready.into(),
        upstream: UpstreamState::Ready.into(),
        generation_in_force: 7,
        demand_count: 1_200,
        admitted_count: 1_100,
        refusals: vec![refusal(Reason::QueueFull, 20), refusal(Reason::Shed, 80)],
        load: Some(LoadHint {
            in_flight: 40,
            limit: 45,
            queued: 12,
            // All classes below rank 2, and three quarters of rank 2.
            shed_level: ((MAX_CLASSES as u32 - 3) << 16) + (3 << 14),
            ..LoadHint::default()
        }),
        entries: vec![
            entry("listings", Outcome::Answered, Reason::Unspecified, 1_000),
            entry("listings", Outcome::NotRun, Reason::Shed, 70),
            entry("diaries", Outcome::Unknown, Reason::Timeout, 3),
            entry("", Outcome::NotRun, Reason::UnknownService, 2),
        ],
        quarantined_fingerprints: vec![77],
        platform_reachable: true,
        upstream_slots: 48,
        upstream_slowness_percent: 250,
        ..NodeStatus::default()
    };
    let second = NodeStatus {
        node_id: "listings-2".to_owned(),
        state: NodeState::Draining.into(),
        generation_in_force: 6,
        platform_reachable: false,
        ..listings.clone()
    };
    let diaries = NodeStatus {
        node_id: "diaries-1".to_owned(),
        service: "diaries".to_owned(),
        state: NodeState::Ready.into(),
        generation_in_force: 7,
        platform_reachable: true,
        ..NodeStatus::default()
    };
    GetStatusResponse {
        nodes: vec![listings, second, diaries],
        silent_node_ids: vec!["keys-1".to_owned()],
    }
}

fn spans() -> ExplainCallResponse {
    let span = |name: &str, node_id: &str, at_us: u64, outcome: Outcome, reason: Reason| Span {
        trace_id: "0af7651916cd43dd8448eb211c80319c".to_owned(),
        node_id: node_id.to_owned(),
        name: name.to_owned(),
        started_unix_us: 1_000_000 + at_us,
        duration_us: 4_000 - at_us,
        outcome: outcome.into(),
        reason: reason.into(),
        service: "listings".to_owned(),
        detail: String::new(),
    };
    ExplainCallResponse {
        spans: vec![
            span(
                "queue",
                "listings-2",
                900,
                Outcome::NotRun,
                Reason::QueueTimeout,
            ),
            span(
                "call",
                "listings-1",
                0,
                Outcome::NotRun,
                Reason::QueueTimeout,
            ),
            span(
                "link",
                "listings-1",
                250,
                Outcome::Unspecified,
                Reason::Unspecified,
            ),
        ],
        silent_node_ids: vec!["keys-1".to_owned()],
    }
}
