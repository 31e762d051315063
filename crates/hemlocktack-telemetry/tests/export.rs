//! Export to a fake collector.
#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use hemlocktack_protocol::{Outcome, Reason};
use hemlocktack_telemetry::{SpanEnd, SpanName, Tracer, start_export};
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::trace::v1::Span;
use prost::Message;

const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

struct Collector {
    endpoint: String,
    requests: mpsc::Receiver<(String, ExportTraceServiceRequest)>,
}

/// Starts a collector that responds to each export with the status.
fn collector(status: u16) -> Collector {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = format!("http://{}", listener.local_addr().unwrap());
    let (sender, requests) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let request = read(stream.unwrap(), status);
            if sender.send(request).is_err() {
                return;
            }
        }
    });
    Collector { endpoint, requests }
}

fn read(mut stream: TcpStream, status: u16) -> (String, ExportTraceServiceRequest) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut request_line = String::new();
    reader.read_line(&mut request_line).unwrap();
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).unwrap();
        let Some((name, value)) = header.trim_end().split_once(": ") else {
            break;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    stream.write_all(answer.as_bytes()).unwrap();
    let request = ExportTraceServiceRequest::decode(body.as_slice()).unwrap();
    (request_line.trim_end().to_owned(), request)
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap()
}

fn tracer(endpoint: &str) -> Tracer {
    let node_id = "keys-1".into();
    let service = "keys".into();
    let export = start_export(endpoint, &node_id, &service).unwrap();
    Tracer::new(node_id, service, Some(export))
}

fn record_hop_with_queue(tracer: &Tracer, traceparent: &str) {
    let context = tracer.context_of(Some(traceparent));
    let hop = tracer.start(context, SpanName::Hop);
    let queue = tracer.start(hop.context(), SpanName::Queue);
    queue.end(tracer, SpanEnd::DONE, String::new);
    let end = SpanEnd {
        outcome: Outcome::NotRun,
        reason: Reason::QueueTimeout,
    };
    hop.end(tracer, end, || "POST /confirmations".to_owned());
}

#[test]
fn spans_arrive_with_their_parents_names_and_outcomes() {
    let runtime = runtime();
    let _inside = runtime.enter();
    let collector = collector(200);
    let tracer = tracer(&collector.endpoint);
    record_hop_with_queue(&tracer, TRACEPARENT);
    drop(tracer);
    let (request_line, request) = collector.requests.recv_timeout(RECEIVE_TIMEOUT).unwrap();
    assert_eq!(request_line, "POST /v1/traces HTTP/1.1");
    let resource = request.resource_spans[0].resource.as_ref().unwrap();
    assert!(
        resource
            .attributes
            .iter()
            .any(|attribute| attribute.key == "service.name")
    );
    let spans = &request.resource_spans[0].scope_spans[0].spans;
    let find = |name: &str| spans.iter().find(|span| span.name == name).unwrap();
    let (hop, queue): (&Span, &Span) = (find("hop"), find("queue"));
    assert_eq!(
        hop.trace_id,
        0x0af7_6519_16cd_43dd_8448_eb21_1c80_319c_u128.to_be_bytes()
    );
    assert_eq!(hop.parent_span_id, 0xb7ad_6b71_6920_3331_u64.to_be_bytes());
    assert_eq!(queue.parent_span_id, hop.span_id);
    assert_eq!(hop.status.as_ref().unwrap().message, "queue-timeout");
}

#[test]
fn an_unsampled_refusal_is_not_exported() {
    let runtime = runtime();
    let _inside = runtime.enter();
    let collector = collector(200);
    let tracer = tracer(&collector.endpoint);
    record_hop_with_queue(&tracer, &TRACEPARENT.replace("-01", "-00"));
    record_hop_with_queue(&tracer, &TRACEPARENT.replace("0af7", "1af7"));
    drop(tracer);
    let (_, request) = collector.requests.recv_timeout(RECEIVE_TIMEOUT).unwrap();
    let spans = &request.resource_spans[0].scope_spans[0].spans;
    // Spans are exported in order, so an unsampled one would have come before these.
    assert!(spans.iter().all(|span| span.trace_id[0] == 0x1a));
}

/// The collector is down. Spans wait only in a bounded queue; the rest are dropped and counted, and
/// no call is slowed down or refused because of them.
#[test]
fn an_unreachable_collector_only_loses_spans() {
    let runtime = runtime();
    let _inside = runtime.enter();
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let tracer = tracer(&format!("http://{closed}"));
    for _ in 0..10_000 {
        record_hop_with_queue(&tracer, TRACEPARENT);
    }
    assert!(tracer.lost_span_count() > 10_000);
}

#[test]
fn an_invalid_endpoint_is_rejected_at_the_start() {
    let runtime = runtime();
    let _inside = runtime.enter();
    assert!(start_export("http://[", &"keys-1".into(), &"keys".into()).is_err());
}
