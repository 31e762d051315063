//! A node is stopped by SIGTERM while clients that send requests ahead read large answers slowly.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::End;
use crate::backend::Backend;
use crate::configuration::resource;
use crate::http::read_head;
use crate::json::{Json, number, table, text};
use crate::node::{Node, Settings};
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "hulo84.example";
const SERVICE: &str = "huvo11a";
const ZONE: &str = "norte-a";
const CLIENTS: usize = 8;
/// Work of a request at its backend.
const WORK: Duration = Duration::from_millis(1_000);
const ANSWER_BYTES: usize = 3_000_000;
/// Pieces in which a client reads, and the pause after each: 1.3 MB a second.
const PIECE_BYTES: usize = 64 << 10;
const PAUSE: Duration = Duration::from_millis(50);

fn configuration() -> Json {
    let route = table([
        ("host", text(HOST)),
        ("path_prefix", text("/leny950/")),
        ("kind", text("safe")),
        ("timeout", text("5000ms")),
        ("target_latency", text("1200ms")),
        ("priority", number(2)),
        ("service", text(SERVICE)),
        ("attempts", number(2)),
    ]);
    let service = table([
        ("health_check_path", text("/health")),
        ("connection_limit", number(590)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
    ]);
    let limits = table([
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(67_108_864)),
        ("header_timeout", text("3000ms")),
        ("idle_timeout", text("15000ms")),
    ]);
    let resources = vec![
        resource("routes", "r-ctnfzs9", route),
        resource("services", SERVICE, service),
        resource("limits", "", limits),
    ];
    table([("version", number(7)), ("resources", Json::List(resources))])
}

fn request(id: &str, bytes: usize) -> String {
    format!(
        "GET /leny950/{id}?bytes={bytes} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: 5000\r\n\r\n"
    )
}

/// What a client got for its first request.
struct Got {
    status: u16,
    length: usize,
    read: usize,
    end: String,
}

/// Sends a request and, a moment later, two more behind it; reads the first answer slowly.
fn client(record: &Record, address: SocketAddr, number: usize, sends_ahead: bool) -> Option<Got> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(15)))
        .ok()?;
    let first = format!("first-{number}");
    record.note(format!("client {number} sends {first}"));
    stream
        .write_all(request(&first, ANSWER_BYTES).as_bytes())
        .ok()?;
    for name in ["second", "third"] {
        std::thread::sleep(Duration::from_millis(400));
        if sends_ahead {
            record.note(format!("client {number} sends {name}-{number}"));
            stream
                .write_all(request(&format!("{name}-{number}"), 100).as_bytes())
                .ok()?;
        }
    }
    let mut reader = BufReader::with_capacity(4 << 10, stream);
    let head = read_head(&mut reader)?;
    let length = head
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut piece = vec![0; PIECE_BYTES];
    let mut got = Got {
        status: head.status(),
        length,
        read: 0,
        end: "whole".to_owned(),
    };
    record.note(format!(
        "client {number} got the head of the answer to {:?}: {}, {length} bytes, connection {:?}",
        head.header("attempt-id"),
        head.first_line,
        head.header("connection")
    ));
    while got.read < length {
        let wanted = PIECE_BYTES.min(length - got.read);
        match reader.read(&mut piece[..wanted]) {
            Ok(0) => {
                got.end = "the connection ended".to_owned();
                break;
            }
            Ok(read) => got.read += read,
            Err(error) => {
                got.end = error.to_string();
                break;
            }
        }
        std::thread::sleep(PAUSE);
    }
    Some(got)
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> End {
    let (store, store_address) = Store::start();
    store.write_configuration(&configuration());
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for number in 1..=2 {
        let backend = Backend::start(SERVICE, &format!("i-{number}"), WORK, record);
        let settings = Settings {
            name: format!("sidecar-{ZONE}-{number}"),
            service: SERVICE.to_owned(),
            zone: ZONE.to_owned(),
            region: "eu-norte".to_owned(),
            store: store_address,
            application: backend.address,
            fail_closed: false,
            revoke: "",
            writes_per_s: 1_200,
            reads_per_s: 6_000,
            retry_budget_slack: 118,
        };
        let node = Node::start(&settings, scratch);
        backend.announce_to(node.control_plane, ZONE, 67);
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
    let address = nodes[0].outbound;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || client(&record, address, number, true))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    let stopped = Instant::now();
    if has_trouble {
        record.note(format!("SIGTERM to {}", nodes[0].name));
        if !nodes[0].terminate() {
            return End::NotRun("SIGTERM could not be sent".to_owned());
        }
    }
    let mut cut = 0;
    for (number, client) in clients.into_iter().enumerate() {
        match client.join().unwrap() {
            Some(got) => {
                let is_whole = got.read == got.length;
                record.note(format!(
                    "client {number}: status {}, {} of {} bytes, {} ({:?} after the stop)",
                    got.status,
                    got.read,
                    got.length,
                    got.end,
                    stopped.elapsed()
                ));
                cut += usize::from(!is_whole);
            }
            None => {
                record.note(format!("client {number}: no answer"));
                cut += 1;
            }
        }
    }
    let exit = nodes[0].child.try_wait().ok().flatten();
    record.note(format!(
        "the stopped node's process: {exit:?}; {cut} of {CLIENTS} answers are not complete"
    ));
    match cut {
        0 => End::Held,
        _ => End::Broken,
    }
}
