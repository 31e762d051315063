//! Clients send the head of a request in two pieces, a moment apart.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::End;
use crate::backend::Backend;
use crate::configuration::resource;
use crate::http::read_message;
use crate::json::{Json, number, table, text};
use crate::node::{Node, Settings};
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "hulo84.example";
const SERVICE: &str = "huvo11a";
const ZONE: &str = "salt-lake";
/// The route's `timeout`, and what the rule allows beyond it.
const TIMEOUT: Duration = Duration::from_millis(1_000);
const BEYOND: Duration = Duration::from_millis(500);
const CLIENTS: usize = 16;
const SENDING_FOR: Duration = Duration::from_secs(60);
/// Longest pause between the two pieces of a head; `header_timeout` is 3 s.
const MAX_PAUSE_US: u64 = 200;
/// Requests without a final answer that break the rule.
const MANY: usize = 8;

fn configuration() -> Json {
    let route = table([
        ("host", text(HOST)),
        ("path_prefix", text("/leny950/")),
        ("kind", text("safe")),
        ("timeout", text("1000ms")),
        ("target_latency", text("1500ms")),
        ("priority", number(2)),
        ("service", text(SERVICE)),
        ("attempts", number(2)),
    ]);
    let service = table([
        ("health_check_path", text("/health")),
        ("connection_limit", number(364)),
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

/// What became of a request, and when, from its last byte on.
struct Sent {
    id: String,
    status: Option<u16>,
    after: Duration,
}

struct Client {
    address: SocketAddr,
    has_trouble: bool,
    random: u64,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
        Some(BufReader::new(stream))
    }

    /// Sends one request on the kept connection and waits for its answer.
    fn send(&mut self, id: String) -> Option<Sent> {
        let pause = Duration::from_micros(self.next_random() % MAX_PAUSE_US);
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect()?,
        };
        let first = format!("GET /leny950/{id} HTTP/1.1\r\nHost: {HOST}\r\n");
        let second = format!("Attempt-Id: {id}\r\nDeadline-Milliseconds: 5000\r\n\r\n");
        let stream = connection.get_mut();
        if self.has_trouble {
            stream.write_all(first.as_bytes()).ok()?;
            let until = Instant::now() + pause;
            while Instant::now() < until {
                std::hint::spin_loop();
            }
            stream.write_all(second.as_bytes()).ok()?;
        } else {
            stream.write_all((first + &second).as_bytes()).ok()?;
        }
        let sent = Instant::now();
        let answer = read_message(&mut connection);
        let status = answer.as_ref().map(|answer| answer.status());
        if answer.is_some() {
            self.connection = Some(connection);
        }
        Some(Sent {
            id,
            status,
            after: sent.elapsed(),
        })
    }
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> End {
    let (store, store_address) = Store::start();
    store.write_configuration(&configuration());
    let quiet = Record::new();
    let backend = Backend::start(SERVICE, "i-1", Duration::ZERO, &quiet);
    let settings = Settings {
        name: format!("sidecar-{ZONE}-1"),
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
    backend.announce_to(node.control_plane, ZONE, 44);
    if !node.wait_until_ready(Duration::from_secs(20)) {
        return End::NotRun("the node is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let until = Instant::now() + SENDING_FOR;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = node.outbound;
            let record = record.clone();
            std::thread::spawn(move || {
                let random = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(number as u64 + 1);
                let mut client = Client {
                    address,
                    has_trouble,
                    random,
                    connection: None,
                };
                let mut ends = Vec::new();
                for turn in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let Some(end) = client.send(format!("c{number}-{turn}")) else {
                        continue;
                    };
                    if end.status != Some(200) || end.after > TIMEOUT {
                        record.note(format!(
                            "{}: status {:?} after {:?}",
                            end.id, end.status, end.after
                        ));
                    }
                    ends.push(end);
                }
                ends
            })
        })
        .collect();
    let ends: Vec<Sent> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let served = ends.iter().filter(|end| end.status == Some(200)).count();
    let open = ends
        .iter()
        .filter(|end| end.after > TIMEOUT || end.status.is_none())
        .count();
    let late = ends
        .iter()
        .filter(|end| end.after > TIMEOUT + BEYOND)
        .count();
    let run_ids: std::collections::HashSet<String> =
        backend.runs().into_iter().map(|run| run.id).collect();
    let late_run = ends
        .iter()
        .filter(|end| end.after > TIMEOUT + BEYOND && run_ids.contains(&end.id))
        .count();
    record.note(format!(
        "{} requests sent, {served} served; {open} had no answer at the route's timeout of {TIMEOUT:?}, {late} of them none {BEYOND:?} later; {late_run} of these have run; {} ran in all",
        ends.len(),
        run_ids.len()
    ));
    match late >= MANY && late * 2 > open {
        true => End::Broken,
        false => End::Held,
    }
}
