//! A node is stopped by SIGTERM; a run beside it is given up by its caller while a call that it
//! has made runs at another machine.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use crate::End;
use crate::backend::{Backend, Run};
use crate::configuration::resource;
use crate::http::{ask, read_message};
use crate::json::{Json, number, table, text};
use crate::node::{Node, Settings};
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "hulo84.example";
const SERVICES: [&str; 3] = ["statements", "marker", "kits"];
const ROOTS: usize = 10;
const DEADLINE_MS: u64 = 5_000;
/// When the call that fails has failed.
const FAILS_AFTER: Duration = Duration::from_millis(700);
/// Work of the deepest call.
const DEEP_WORK: Duration = Duration::from_millis(2_000);
/// How often a backend looks whether a connection is still open.
const LOOK: Duration = Duration::from_millis(1);

fn configuration() -> Json {
    let mut resources = Vec::new();
    for service in SERVICES {
        let route = table([
            ("host", text(HOST)),
            ("path_prefix", text(&format!("/{service}/"))),
            ("kind", text("safe")),
            ("timeout", text("5000ms")),
            ("target_latency", text("1200ms")),
            ("priority", number(1)),
            ("service", text(service)),
            ("attempts", number(2)),
        ]);
        resources.push(resource("routes", &format!("r-{service}"), route));
        let specification = table([
            ("health_check_path", text("/health")),
            ("connection_limit", number(568)),
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

fn request(service: &str, id: &str, how: &str) -> String {
    format!(
        "GET /{service}/{how} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: {DEADLINE_MS}\r\nConnection: close\r\n\r\n"
    )
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

#[derive(Default)]
struct Seen {
    outbound: [OnceLock<SocketAddr>; 3],
    is_stopping: AtomicBool,
    /// Ids of the deepest calls whose backend is at work.
    at_work: Mutex<Vec<String>>,
    /// Answers that the stopping node gave in place of a backend at work.
    in_place: AtomicUsize,
}

impl Seen {
    fn outbound(&self, number: usize) -> SocketAddr {
        *self.outbound[number].get().unwrap()
    }
}

/// Makes two calls; if the first fails it answers 500 and closes the connection of the second.
fn first_backend(seen: &Seen, record: &Record, run: &Run) -> Option<(u16, String)> {
    let mut second = TcpStream::connect(seen.outbound(0)).ok()?;
    second
        .write_all(request(SERVICES[1], &format!("{}.2", run.id), "call").as_bytes())
        .ok()?;
    let first = request(SERVICES[2], &format!("{}.1", run.id), "fails");
    let status = ask(seen.outbound(0), first.as_bytes(), Duration::from_secs(6))
        .map_or(0, |answer| answer.status());
    record.note(format!(
        "backend of {} got {status} for its call {}.1 and gives up {}.2",
        SERVICES[0], run.id, run.id
    ));
    drop(second);
    Some((500, "a call that it needs has failed".to_owned()))
}

/// Makes one call and waits for it; drops its request when its connection is closed.
fn second_backend(
    seen: &Seen,
    record: &Record,
    run: &Run,
    own: &TcpStream,
) -> Option<(u16, String)> {
    let id = format!("{}.3", run.id);
    let mut call = TcpStream::connect(seen.outbound(1)).ok()?;
    call.write_all(request(SERVICES[2], &id, "works").as_bytes())
        .ok()?;
    loop {
        let _ = call.set_nonblocking(true);
        let is_answered = call.peek(&mut [0]).is_ok();
        let _ = call.set_nonblocking(false);
        if is_answered {
            let is_at_work = seen.at_work.lock().unwrap().contains(&id);
            let is_stopping = seen.is_stopping.load(Ordering::SeqCst);
            let answer = read_message(&mut BufReader::new(call));
            let (status, is_signed) = answer.map_or((0, false), |answer| {
                (
                    answer.status(),
                    answer.header("response-signature").is_some(),
                )
            });
            record.note(format!(
                "backend of {} got {status} for its call {id}, signed by a backend: {is_signed}; the call's backend is at work: {is_at_work}; its node is stopping: {is_stopping}",
                SERVICES[1]
            ));
            if is_at_work && is_stopping && !is_signed {
                seen.in_place.fetch_add(1, Ordering::SeqCst);
            }
            return Some((if status == 200 { 200 } else { 500 }, "done".to_owned()));
        }
        if is_closed(own) {
            record.note(format!(
                "backend of {} drops {}, whose connection has closed",
                SERVICES[1], run.id
            ));
            return None;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn third_backend(
    seen: &Seen,
    record: &Record,
    run: &Run,
    own: &TcpStream,
) -> Option<(u16, String)> {
    if run.target.ends_with("fails") {
        std::thread::sleep(FAILS_AFTER);
        return Some((500, "an error of its own".to_owned()));
    }
    seen.at_work.lock().unwrap().push(run.id.clone());
    let until = Instant::now() + DEEP_WORK;
    let mut is_cut = false;
    while Instant::now() < until && !is_cut {
        std::thread::sleep(LOOK);
        is_cut = is_closed(own);
    }
    seen.at_work.lock().unwrap().retain(|id| *id != run.id);
    record.note(format!(
        "run of {} at the backend of {} ends, cut: {is_cut}",
        run.id, SERVICES[2]
    ));
    (!is_cut).then(|| (200, format!("answer to {}", run.id)))
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> End {
    let (store, store_address) = Store::start();
    store.write_configuration(&configuration());
    let seen = Arc::new(Seen::default());
    let mut nodes = Vec::new();
    for (number, service) in SERVICES.into_iter().enumerate() {
        let (shared, noted) = (seen.clone(), record.clone());
        let behaviour = move |run: &Run, own: &TcpStream| match number {
            0 => first_backend(&shared, &noted, run),
            1 => second_backend(&shared, &noted, run, own),
            _ => third_backend(&shared, &noted, run, own),
        };
        let backend =
            Backend::start_with(service, &format!("i-{number}"), Arc::new(behaviour), record);
        let settings = Settings {
            name: format!("sidecar-sicilia-a-{number}"),
            service: service.to_owned(),
            zone: "sicilia-a".to_owned(),
            region: "sicilia".to_owned(),
            store: store_address,
            application: backend.address,
            fail_closed: false,
            revoke: "",
            writes_per_s: 1_200,
            reads_per_s: 6_000,
            retry_budget_slack: 110,
        };
        let node = Node::start(&settings, scratch);
        let _ = seen.outbound[number].set(node.outbound);
        backend.announce_to(node.control_plane, "sicilia-a", 78);
        nodes.push(node);
    }
    if !nodes
        .iter()
        .all(|node| node.wait_until_ready(Duration::from_secs(20)))
    {
        return End::NotRun("a node is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(6));
    let roots: Vec<_> = (0..ROOTS)
        .map(|number| {
            let (address, record) = (nodes[0].outbound, record.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(20) * number as u32);
                let id = format!("root{number}");
                record.note(format!("client sends {id}"));
                let sent = request(SERVICES[0], &id, "root");
                let answer = ask(address, sent.as_bytes(), Duration::from_secs(6));
                record.note(format!(
                    "client got {} for {id}",
                    answer.map_or(0, |answer| answer.status())
                ));
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(400));
    let at_work = seen.at_work.lock().unwrap().len();
    record.note(format!("{at_work} of {ROOTS} deepest calls are at work"));
    if at_work == 0 {
        return End::NotRun("no deepest call is at work".to_owned());
    }
    if has_trouble {
        seen.is_stopping.store(true, Ordering::SeqCst);
        record.note(format!("SIGTERM to {}", nodes[1].name));
        if !nodes[1].terminate() {
            return End::NotRun("SIGTERM could not be sent".to_owned());
        }
    }
    for root in roots {
        let _ = root.join();
    }
    std::thread::sleep(Duration::from_millis(2_500));
    let in_place = seen.in_place.load(Ordering::SeqCst);
    record.note(format!(
        "after the SIGTERM the stopping node answered {in_place} calls itself while their backend was at work"
    ));
    match in_place {
        0 => End::Held,
        _ => End::Broken,
    }
}
