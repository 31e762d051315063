//! The backends of one service answer with bodies that go on until the caller closes; the platform
//! kills a process that exceeds its memory, and starts it again.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::End;
use crate::backend::{Backend, Run};
use crate::configuration::resource;
use crate::http::read_message;
use crate::json::{Json, number, table, text};
use crate::large_bodies::{ENDS, Watched, watch};
use crate::node::{Node, Settings, is_ready};
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "hulo84.example";
/// The service of the machine whose clients send, and the faulty one.
const OWN_SERVICE: &str = "svc-elegib";
const FAULTY_SERVICE: &str = "svc-vigencia";
/// Slots of a backend of the faulty service, and its share of the service's requests.
const SLOTS: u32 = 92;
const PER_BACKEND_PER_S: u32 = 40;
const FAULTY_BACKENDS: u32 = 2;
const SENDING_FOR: Duration = Duration::from_secs(60);
/// An answer without end: 0.7 MB a second.
const PIECE_BYTES: usize = 35_000;
const PAUSE: Duration = Duration::from_millis(50);

fn configuration() -> Json {
    let route = table([
        ("host", text(HOST)),
        ("path_prefix", text("/leny950/")),
        ("kind", text("safe")),
        ("timeout", text("6000ms")),
        ("target_latency", text("1500ms")),
        ("priority", number(1)),
        ("service", text(FAULTY_SERVICE)),
        ("attempts", number(2)),
    ]);
    let mut resources = vec![resource("routes", "r-ctnfzs9", route)];
    for service in [OWN_SERVICE, FAULTY_SERVICE] {
        let specification = table([
            ("health_check_path", text("/health")),
            ("connection_limit", number(652)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
        ]);
        resources.push(resource("services", service, specification));
    }
    let limits = table([
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(67_108_864)),
        ("header_timeout", text("3000ms")),
        ("idle_timeout", text("15000ms")),
    ]);
    resources.push(resource("limits", "", limits));
    table([("version", number(7)), ("resources", Json::List(resources))])
}

/// Answers a request with chunks until the caller closes.
fn answer_without_end(run: &Run, own: &TcpStream) -> Option<(u16, String)> {
    let mut own = own;
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
        run.id
    );
    own.write_all(head.as_bytes()).ok()?;
    let mut chunk = format!("{PIECE_BYTES:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + PIECE_BYTES, b'.');
    chunk.extend_from_slice(b"\r\n");
    loop {
        own.write_all(&chunk).ok()?;
        std::thread::sleep(PAUSE);
    }
}

fn get(address: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(7))).ok()?;
    let request = format!(
        "GET /leny950/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: 6000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    Some(read_message(&mut BufReader::new(stream))?.status())
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> End {
    let (store, store_address) = Store::start();
    store.write_configuration(&configuration());
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    let services = [OWN_SERVICE, FAULTY_SERVICE, FAULTY_SERVICE];
    let is_faulty = Arc::new(AtomicBool::new(false));
    for (number, service) in services.into_iter().enumerate() {
        let is_faulty = is_faulty.clone();
        let behaviour = move |run: &Run, own: &TcpStream| {
            if is_faulty.load(Ordering::Relaxed) && service == FAULTY_SERVICE {
                return answer_without_end(run, own);
            }
            std::thread::sleep(Duration::from_millis(89));
            Some((200, format!("answer to {}", run.id)))
        };
        let quiet = Record::new();
        let backend =
            Backend::start_with(service, &format!("i-{number}"), Arc::new(behaviour), &quiet);
        let settings = Settings {
            name: format!("sidecar-hall-norte-{number}"),
            service: service.to_owned(),
            zone: "hall-norte".to_owned(),
            region: "mx-central".to_owned(),
            store: store_address,
            application: backend.address,
            fail_closed: false,
            revoke: "",
            writes_per_s: 400,
            reads_per_s: 2_000,
            retry_budget_slack: 60,
        };
        let node = Node::start(&settings, scratch);
        backend.announce_to(node.control_plane, "hall-norte", SLOTS);
        nodes.push(node);
        backends.push(backend);
    }
    if !nodes
        .iter()
        .all(|node| node.wait_until_ready(Duration::from_secs(20)))
    {
        return End::NotRun("a node is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(5));
    let (address, ready) = (nodes[0].outbound, nodes[0].ready);
    if get(address, "calm") != Some(200) {
        return End::NotRun("a request is not served in calm".to_owned());
    }
    is_faulty.store(has_trouble, Ordering::Relaxed);
    record.note(format!(
        "the backends of {FAULTY_SERVICE} answer without end: {has_trouble}"
    ));
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
    let answered: Arc<Mutex<std::collections::BTreeMap<u16, usize>>> = Arc::default();
    let sent = AtomicUsize::new(0);
    let mut clients = Vec::new();
    while Instant::now() < until {
        std::thread::sleep(Duration::from_secs(1) / (PER_BACKEND_PER_S * FAULTY_BACKENDS));
        let id = format!("r{}", sent.fetch_add(1, Ordering::Relaxed));
        let answered = answered.clone();
        clients.push(std::thread::spawn(move || {
            let status = get(address, &id).unwrap_or(0);
            *answered.lock().unwrap().entry(status).or_default() += 1;
        }));
    }
    for client in clients {
        let _ = client.join();
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
    record.note(format!(
        "ends by node {ends:?}, most memory by node in MB {most:?}; {} requests sent, answers by status (0: none) {:?}; ready at the end: {}",
        sent.into_inner(),
        answered.lock().unwrap(),
        is_ready(ready)
    ));
    let often = ends.iter().filter(|ends| **ends >= ENDS).count();
    match often >= 2 {
        true => End::Broken,
        false => End::Held,
    }
}
