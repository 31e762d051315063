//! The store comes back from an older copy and gives revisions out again; a key is taken away
//! right after that.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::End;
use crate::backend::Backend;
use crate::http::ask;
use crate::json::{Json, number, table, text};
use crate::node::{Node, Settings};
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "hulo84.example";
const SERVICE: &str = "huvo11a";
const TENANT: &str = "pulo780";
const KEY_KEPT: &str = "kmgjqnirth5mgjy5rcpi";
const KEY_TAKEN: &str = "hhacruddedev3nax7u27";
const ZONES: [&str; 4] = ["salt-lake", "ballygunge", "howrah", "dum-dum"];
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(1_000);
/// `revoke` of the site.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long requests with the key are tried after that.
const TRIED_FOR: Duration = Duration::from_secs(12);

pub fn resource(kind: &str, name: &str, specification: Json) -> Json {
    table([
        ("resource_kind", text(kind)),
        ("metadata", table([("name", text(name))])),
        ("specification", specification),
    ])
}

/// A whole configuration; successive versions differ in the route's timeout and the tenant's keys.
fn configuration(version: u64, timeout: &str, keys: &[&str]) -> Json {
    let route = table([
        ("host", text(HOST)),
        ("path_prefix", text("/leny950/")),
        ("kind", text("safe")),
        ("timeout", text(timeout)),
        ("target_latency", text("1500ms")),
        ("priority", number(2)),
        ("service", text(SERVICE)),
        ("attempts", number(2)),
        ("public_access", Json::Bool(false)),
    ]);
    let service = table([
        ("health_check_path", text("/health")),
        ("connection_limit", number(694)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
    ]);
    let tenant = table([
        (
            "api_keys",
            Json::List(keys.iter().map(|key| text(key)).collect()),
        ),
        ("priority", number(1)),
        ("rate_per_s", number(398)),
        ("burst", number(398)),
    ]);
    let limits = table([
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(67_108_864)),
        ("header_timeout", text("3000ms")),
        ("idle_timeout", text("15000ms")),
    ]);
    table([
        ("version", number(version)),
        (
            "resources",
            Json::List(vec![
                resource("routes", "r-5dj46ni", route),
                resource("services", SERVICE, service),
                resource("tenants", TENANT, tenant),
                resource("limits", "", limits),
            ]),
        ),
    ])
}

fn get(record: &Record, address: SocketAddr, id: &str, key: &str) -> u16 {
    let request = format!(
        "GET /leny950/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: 5000\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\r\n"
    );
    record.note(format!("client sends {id} with key {key}"));
    let answer = ask(address, request.as_bytes(), Duration::from_secs(6));
    let status = answer.map_or(0, |answer| answer.status());
    record.note(format!("client got {status} for {id}"));
    status
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> End {
    let (store, store_address) = Store::start();
    let both = [KEY_KEPT, KEY_TAKEN];
    store.write_configuration(&configuration(7, "1500ms", &both));
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for (number, zone) in (1..).zip(ZONES) {
        let backend = Backend::start(
            SERVICE,
            &format!("i-{number}"),
            Duration::from_millis(20),
            record,
        );
        let settings = Settings {
            name: format!("sidecar-{zone}-1"),
            service: SERVICE.to_owned(),
            zone: zone.to_owned(),
            region: "kolkata".to_owned(),
            store: store_address,
            application: backend.address,
            fail_closed: true,
            revoke: "5000ms",
            writes_per_s: 1_200,
            reads_per_s: 6_000,
            retry_budget_slack: 103,
        };
        let node = Node::start(&settings, scratch);
        backend.announce_to(node.control_plane, zone, 99);
        nodes.push(node);
        backends.push(backend);
    }
    if !nodes
        .iter()
        .all(|node| node.wait_until_ready(Duration::from_secs(20)))
    {
        return End::NotRun("a node is not ready".to_owned());
    }
    // Calm: the nodes know each other, and nobody writes to the store any more.
    std::thread::sleep(Duration::from_secs(10));
    for (index, node) in nodes.iter().enumerate() {
        for (name, key) in [("kept", KEY_KEPT), ("taken", KEY_TAKEN)] {
            if get(record, node.outbound, &format!("calm-{name}-{index}"), key) != 200 {
                return End::NotRun("a request with a valid key is not served in calm".to_owned());
            }
        }
    }
    // Two changes within the seconds that the copy lacks.
    let copy = store.copy();
    record.note(format!(
        "the copy is taken at revision {}",
        store.revision()
    ));
    let versions = [
        configuration(9, "1400ms", &both),
        configuration(12, "1300ms", &both),
    ];
    for version in &versions {
        let revision = store.write_configuration(version);
        record.note(format!(
            "operator wrote a version, acknowledged with revision {revision:?}"
        ));
        std::thread::sleep(Duration::from_secs(1));
    }
    std::thread::sleep(Duration::from_secs(1));
    let newest = configuration(13, "1300ms", &[KEY_KEPT]);
    if has_trouble {
        store.go_away();
        record.note("the store is away");
        std::thread::sleep(AWAY);
        // The operator writes again what it had written, and the change that it has tried to
        // make meanwhile.
        let revisions = store.come_back_from(copy, &[&versions[1], &newest]);
        record.note(format!(
            "the store is back from the copy, era 2; the operator wrote version 12 again and version 13, which takes a key away, acknowledged with revisions {revisions:?}"
        ));
    } else {
        std::thread::sleep(AWAY);
        let revision = store.write_configuration(&newest);
        record.note(format!("operator wrote version 13, which takes a key away, acknowledged with revision {revision:?}"));
    }
    let acknowledged = Instant::now();
    std::thread::sleep(REVOKE + Duration::from_millis(250));
    let mut sent = Vec::new();
    while acknowledged.elapsed() < REVOKE + TRIED_FOR {
        for node in &nodes {
            let id = format!("late-{}", sent.len());
            get(record, node.outbound, &id, KEY_TAKEN);
            sent.push(id);
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let kept = get(record, nodes[0].outbound, "end-kept", KEY_KEPT);
    for line in store.take_log() {
        record.note(format!("store: {line}"));
    }
    let runs: Vec<_> = backends.iter().flat_map(Backend::runs).collect();
    let broken = runs.iter().filter(|run| sent.contains(&run.id)).count();
    record.note(format!(
        "{broken} of {} requests that were sent over {REVOKE:?} after the acknowledgement with the key that it took away have run; the key that was kept got {kept}",
        sent.len()
    ));
    match broken {
        0 => End::Held,
        _ => End::Broken,
    }
}
