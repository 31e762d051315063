//! Clients send bodies that the configuration's limits allow, several at a time; the platform
//! kills a process that exceeds its memory, and starts it again.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::End;
use crate::backend::Backend;
use crate::configuration::resource;
use crate::http::read_message;
use crate::json::{Json, number, table, text};
use crate::node::{Node, Settings, is_ready};
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "jepu9.example";
const SERVICE: &str = "wuno96b";
const ZONE: &str = "salt-lake";
/// `memory_mb` of the site's machines.
const MEMORY_BYTES: u64 = 260 << 20;
/// `max_body_bytes` of the site's configurations.
const MAX_BODY_BYTES: u64 = 67_108_864;
const NODES: usize = 3;
/// Clients of each machine; each sends one request at a time.
const CLIENTS: usize = 5;
const LARGE_BODY_BYTES: usize = 60 << 20;
const SMALL_BODY_BYTES: usize = 60 << 10;
const _: () = assert!(LARGE_BODY_BYTES as u64 <= MAX_BODY_BYTES);
/// How long clients send.
const SENDING_FOR: Duration = Duration::from_secs(70);
/// Ends by itself, of each of two processes, that break the rule.
pub const ENDS: u32 = 3;

fn configuration() -> Json {
    let route = table([
        ("host", text(HOST)),
        ("path_prefix", text("/puka111/")),
        ("kind", text("unsafe")),
        ("timeout", text("5000ms")),
        ("target_latency", text("1500ms")),
        ("priority", number(0)),
        ("service", text(SERVICE)),
        ("attempts", number(2)),
    ]);
    let service = table([
        ("health_check_path", text("/health")),
        ("connection_limit", number(436)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
    ]);
    let limits = table([
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(MAX_BODY_BYTES)),
        ("header_timeout", text("3000ms")),
        ("idle_timeout", text("15000ms")),
    ]);
    let resources = vec![
        resource("routes", "r-89anu6w", route),
        resource("services", SERVICE, service),
        resource("limits", "", limits),
    ];
    table([("version", number(7)), ("resources", Json::List(resources))])
}

/// Sends a body whole, then reads the answer; returns its status, 0 if the connection ended.
fn post(record: &Record, address: SocketAddr, id: &str, body_bytes: usize) -> u16 {
    record.note(format!("client sends {id}, body of {body_bytes} bytes"));
    let status = try_post(address, id, body_bytes).unwrap_or(0);
    record.note(format!("client got {status} for {id}"));
    status
}

fn try_post(address: SocketAddr, id: &str, body_bytes: usize) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let timeout = Some(Duration::from_millis(5_000));
    stream.set_read_timeout(timeout).ok()?;
    stream.set_write_timeout(timeout).ok()?;
    let head = format!(
        "POST /puka111/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: 5000\r\nContent-Length: {body_bytes}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let piece = vec![b'b'; 64 << 10];
    let mut left = body_bytes;
    while left > 0 {
        let wanted = left.min(piece.len());
        stream.write_all(&piece[..wanted]).ok()?;
        left -= wanted;
    }
    Some(read_message(&mut BufReader::new(stream))?.status())
}

pub struct Watched {
    pub node: Mutex<Node>,
    pub ends: AtomicU32,
    pub most_bytes: AtomicU64,
}

/// The platform: kills the process when it exceeds its memory, and starts it again.
pub fn watch(watched: &Watched, record: &Record, stops: &AtomicBool) {
    while !stops.load(Ordering::Relaxed) {
        {
            let mut node = watched.node.lock().unwrap();
            let memory = node.memory().unwrap_or(0);
            watched.most_bytes.fetch_max(memory, Ordering::Relaxed);
            let exit = node.child.try_wait().ok().flatten();
            if memory > MEMORY_BYTES || exit.is_some() {
                let ends = watched.ends.fetch_add(1, Ordering::Relaxed) + 1;
                record.note(format!(
                    "platform: {} holds {} MB of {} MB and is killed, end {ends} (exit {exit:?})",
                    node.name,
                    memory >> 20,
                    MEMORY_BYTES >> 20
                ));
                let _ = node.child.kill();
                std::thread::sleep(Duration::from_millis(500));
                node.start_again();
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> End {
    let body_bytes = if has_trouble {
        LARGE_BODY_BYTES
    } else {
        SMALL_BODY_BYTES
    };
    let (store, store_address) = Store::start();
    store.write_configuration(&configuration());
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for number in 1..=NODES {
        let backend = Backend::start(
            SERVICE,
            &format!("i-{number}"),
            Duration::from_millis(210),
            record,
        );
        let settings = Settings {
            name: format!("sidecar-{ZONE}-{number}"),
            service: SERVICE.to_owned(),
            zone: ZONE.to_owned(),
            region: "kolkata".to_owned(),
            store: store_address,
            application: backend.address,
            fail_closed: false,
            revoke: "",
            writes_per_s: 400,
            reads_per_s: 2_000,
            retry_budget_slack: 57,
        };
        let node = Node::start(&settings, scratch);
        backend.announce_to(node.control_plane, ZONE, 56);
        nodes.push(node);
        backends.push(backend);
    }
    if !nodes
        .iter()
        .all(|node| node.wait_until_ready(Duration::from_secs(20)))
    {
        return End::NotRun("a node is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    for (index, node) in nodes.iter().enumerate() {
        if post(record, node.outbound, &format!("calm-{index}"), 1_000) != 200 {
            return End::NotRun("a small request is not served in calm".to_owned());
        }
    }
    let outbound: Vec<_> = nodes
        .iter()
        .map(|node| (node.outbound, node.ready))
        .collect();
    let watched: Vec<_> = nodes
        .into_iter()
        .map(|node| {
            Arc::new(Watched {
                node: Mutex::new(node),
                ends: AtomicU32::new(0),
                most_bytes: AtomicU64::new(0),
            })
        })
        .collect();
    let stops = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = watched
        .iter()
        .map(|watched| {
            let (watched, record, stops) = (watched.clone(), record.clone(), stops.clone());
            std::thread::spawn(move || watch(&watched, &record, &stops))
        })
        .collect();
    let until = Instant::now() + SENDING_FOR;
    let clients: Vec<_> = (0..NODES * CLIENTS)
        .map(|number| {
            let ((address, ready), record) = (outbound[number % NODES], record.clone());
            std::thread::spawn(move || {
                let (mut answered, mut unanswered) = (0, 0);
                for turn in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    // A node that is not ready gets no new work.
                    if is_ready(ready) {
                        match post(&record, address, &format!("r{number}-{turn}"), body_bytes) {
                            0 => unanswered += 1,
                            _ => answered += 1,
                        }
                    }
                    std::thread::sleep(Duration::from_secs(1));
                }
                (answered, unanswered)
            })
        })
        .collect();
    let (mut answered, mut unanswered) = (0, 0);
    for client in clients {
        let counts = client.join().unwrap();
        answered += counts.0;
        unanswered += counts.1;
    }
    stops.store(true, Ordering::Relaxed);
    for watcher in watchers {
        let _ = watcher.join();
    }
    let ends: Vec<u32> = watched
        .iter()
        .map(|watched| watched.ends.load(Ordering::Relaxed))
        .collect();
    let most: Vec<u64> = watched
        .iter()
        .map(|watched| watched.most_bytes.load(Ordering::Relaxed) >> 20)
        .collect();
    let runs: Vec<_> = backends.iter().flat_map(Backend::runs).collect();
    let run_count = runs.iter().filter(|run| run.id.starts_with('r')).count();
    record.note(format!(
        "ends by node {ends:?}, most memory by node in MB {most:?}; {answered} requests answered, {unanswered} without an answer, {run_count} have run"
    ));
    let often = ends.iter().filter(|ends| **ends >= ENDS).count();
    match often >= 2 {
        true => End::Broken,
        false => End::Held,
    }
}
