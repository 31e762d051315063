//! Splitting heads, the limits of the look-ahead, and its agreement with hyper.

#![allow(clippy::unwrap_used)]

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Request, Response, request};
use http_body_util::Empty;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use super::LookAhead;
use super::heads::{HeadSplitter, is_equal, is_plain};
use super::pipeline::{MAX_EARLY_REQUESTS, MAX_READ_AHEAD_BYTES, Pipeline};
use crate::gateway::caller_socket::CallerSocket;
use crate::gateway::tests::{interface, node};

const HEADER_LIMIT_BYTES: usize = 1_000;
/// Longer than all that a test writes or reads.
const PIPE_BYTES: usize = 1 << 20;

fn head(text: &str) -> request::Parts {
    let mut splitter = HeadSplitter::default();
    splitter.push(text.as_bytes());
    splitter.split_head().unwrap().unwrap().parts
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Returns a pipeline on which a request is being served whose route is idempotent.
fn open_pipeline(texts_behind: &str) -> Pipeline<usize> {
    let mut pipeline = Pipeline::new(HEADER_LIMIT_BYTES);
    pipeline.observe(get("/0").as_bytes());
    assert!(pipeline.begin(&head(&get("/0")), false).is_none());
    pipeline.observe(texts_behind.as_bytes());
    pipeline.open();
    pipeline
}

/// Starts what may be started, with numbers from 1; returns how many requests were.
fn start_all(pipeline: &mut Pipeline<usize>) -> usize {
    let mut started = 0;
    while let Some(head) = pipeline.next_head() {
        started += 1;
        pipeline.push_started(head, started);
    }
    started
}

/// Failure: a request is started although a body, another protocol or a close follows its head.
#[test]
fn only_plain_heads_are_started() {
    let cases = [
        ("GET /x HTTP/1.1\r\nhost: a\r\n", true),
        (
            "DELETE /x HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n",
            true,
        ),
        ("GET /x HTTP/1.1\r\nconnection: keep-alive\r\n", true),
        ("GET /x HTTP/1.0\r\nhost: a\r\n", false),
        ("POST /x HTTP/1.1\r\ncontent-length: 1\r\n", false),
        (
            "POST /x HTTP/1.1\r\ncontent-length: 0\r\ncontent-length: 5\r\n",
            false,
        ),
        ("POST /x HTTP/1.1\r\ncontent-length: 0, 5\r\n", false),
        ("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", false),
        (
            "GET /x HTTP/1.1\r\nConnection: keep-alive, Close\r\n",
            false,
        ),
        ("GET /x HTTP/1.1\r\nconnection: Upgrade\r\n", false),
        ("GET /x HTTP/1.1\r\nupgrade: websocket\r\n", false),
        ("GET /x HTTP/1.1\r\nexpect: 100-continue\r\n", false),
        ("CONNECT a:80 HTTP/1.1\r\nhost: a\r\n", false),
    ];
    for (text, plain) in cases {
        assert_eq!(is_plain(&head(&format!("{text}\r\n"))), plain, "{text:?}");
        let mut pipeline = open_pipeline(&format!("{text}\r\n"));
        assert_eq!(start_all(&mut pipeline), usize::from(plain), "{text:?}");
    }
}

/// Failure: bytes that hyper refuses are taken for a head, or an incomplete head for a whole one.
#[test]
fn heads_end_where_hyper_ends_them() {
    let cases: [(&str, Option<usize>); 9] = [
        ("", None),
        ("\r\n\r\n", None),
        ("GET / HTTP/1.1\r\nhost: a\r\n", None),
        ("GET / HTTP/1.1\r\nhost: a\r\n\r", None),
        ("GET / HTTP/1.1\r\nhost: a\r\n\r\nGET", Some(27)),
        ("\r\nGET / HTTP/1.1\r\n\r\n", Some(20)),
        ("GET / HTTP/1.1\nhost: a\n\nrest", Some(24)),
        ("GET / HTTP/1.1\r\nhost: a\n\r\n", Some(26)),
        ("GET / HTTP/1.1\r\n\r\n\r\n", Some(18)),
    ];
    for (text, length_bytes) in cases {
        let mut splitter = HeadSplitter::default();
        splitter.push(text.as_bytes());
        let split = splitter.split_head().unwrap();
        assert_eq!(
            split.map(|head| head.length_bytes),
            length_bytes,
            "{text:?}"
        );
    }
    for text in [
        "nothing\r\n\r\n",
        "GET / HTTP/1.1\r\n folded\r\n\r\n",
        "GET / HTTP/2.0\r\n\r\n",
    ] {
        let mut splitter = HeadSplitter::default();
        splitter.push(text.as_bytes());
        assert!(splitter.split_head().is_err(), "{text:?}");
    }
}

/// Failure: one caller starts any number of requests, or has any number of bytes read.
#[test]
fn starts_and_bytes_are_limited() {
    let mut pipeline = open_pipeline(&get("/x").repeat(50));
    assert_eq!(start_all(&mut pipeline), MAX_EARLY_REQUESTS);
    assert_eq!(pipeline.begin(&head(&get("/x")), false), Some(1));
    assert_eq!(start_all(&mut pipeline), 1);
    assert!(pipeline.read_ahead_room_bytes() < MAX_READ_AHEAD_BYTES);
    pipeline.observe(&vec![b'x'; MAX_READ_AHEAD_BYTES]);
    assert_eq!(pipeline.read_ahead_room_bytes(), 0);
    let large = format!(
        "GET /x HTTP/1.1\r\nx: {}\r\n\r\n",
        "x".repeat(HEADER_LIMIT_BYTES)
    );
    let mut pipeline = open_pipeline(&(large + &get("/y")));
    assert_eq!(start_all(&mut pipeline), 0);
}

/// Failure: an ordinary connection, with one request at a time, pays for the look-ahead.
#[test]
fn without_bytes_behind_a_request_nothing_is_read_or_split() {
    let mut pipeline = open_pipeline("");
    assert_eq!(pipeline.waiting_bytes(), 0);
    assert_eq!(pipeline.read_ahead_room_bytes(), 0);
    assert!(pipeline.next_head().is_none());
}

/// Failure: requests behind one that is not idempotent are started beside it.
#[test]
fn a_waiting_request_holds_those_behind_it() {
    let mut pipeline = open_pipeline(&get("/x").repeat(3));
    let waiting = pipeline.next_head().unwrap();
    pipeline.push_waiting(waiting);
    assert!(pipeline.next_head().is_none());
    assert_eq!(pipeline.begin(&head(&get("/x")), false), None);
    assert!(
        pipeline.next_head().is_none(),
        "its route is not idempotent"
    );
    assert_eq!(pipeline.begin(&head(&get("/x")), false), None);
    pipeline.open();
    assert_eq!(start_all(&mut pipeline), 1);
}

/// Failure: an early response is given to another request than the one that was started.
#[test]
fn an_early_start_is_taken_by_an_equal_request_only() {
    let other_heads = [
        get("/y"),
        get("/x").replace("GET", "HEAD"),
        get("/x").replace("host: a", "host: b"),
        get("/x").replace("host: a", "host: a\r\nhost: a"),
        get("/x").replace("1.1", "1.0"),
    ];
    for other in other_heads {
        let mut pipeline = open_pipeline(&get("/x").repeat(2));
        assert_eq!(start_all(&mut pipeline), 2);
        assert_eq!(pipeline.begin(&head(&other), false), None, "{other:?}");
        assert_eq!(pipeline.started_count(), 0, "the others are cancelled");
        pipeline.observe(get("/x").as_bytes());
        pipeline.open();
        assert!(pipeline.next_head().is_none(), "the look-ahead has ended");
    }
    let mut pipeline = open_pipeline(&get("/x"));
    assert_eq!(start_all(&mut pipeline), 1);
    assert_eq!(pipeline.begin(&head(&get("/x")), true), None, "with a body");
}

/// Failure: a connection closes behind a response while a request behind it has been started.
#[test]
fn a_connection_may_close_only_behind_the_last_started_request() {
    let mut pipeline = open_pipeline(&get("/x").repeat(3));
    let first = pipeline.next_head().unwrap();
    pipeline.push_started(first, 1);
    assert!(!pipeline.end_if_none_started());
    assert_eq!(pipeline.begin(&head(&get("/x")), false), Some(1));
    assert!(pipeline.end_if_none_started());
    assert!(pipeline.next_head().is_none());
}

/// Text of a request that hyper accepts, without a body.
fn request_text() -> impl Strategy<Value = String> {
    let method = prop_oneof![Just("GET"), Just("DELETE"), Just("PUT"), Just("BREW")];
    let target = "/[a-z0-9/._~%-]{0,20}(\\?[a-z0-9=&+]{0,20})?";
    let header = ("[A-Za-z][A-Za-z0-9-]{0,8}x", "[ -~]{0,30}", any::<bool>());
    let headers = proptest::collection::vec(header, 0..6);
    let empty_lines = 0..2_usize;
    (method, target, headers, empty_lines).prop_map(|(method, target, headers, empty_lines)| {
        let mut text = "\r\n".repeat(empty_lines) + &format!("{method} {target} HTTP/1.1\r\n");
        for (name, value, has_carriage_return) in headers {
            let end = if has_carriage_return { "\r\n" } else { "\n" };
            text += &format!("{name}: {value}{end}");
        }
        text + "\r\n"
    })
}

fn requests() -> impl Strategy<Value = Vec<String>> {
    proptest::collection::vec(request_text(), 1..8)
}

/// Cuts the bytes into pieces of these lengths, and a last one.
fn pieces<'a>(mut bytes: &'a [u8], lengths: &[usize]) -> Vec<&'a [u8]> {
    let mut pieces = Vec::new();
    for length_bytes in lengths {
        let (piece, rest) = bytes.split_at((*length_bytes).min(bytes.len()));
        pieces.push(piece);
        bytes = rest;
    }
    pieces.push(bytes);
    pieces
}

/// Returns the heads that the splitter finds when the bytes arrive in these pieces.
fn split(pieces: &[&[u8]]) -> Vec<request::Parts> {
    let mut splitter = HeadSplitter::default();
    let mut heads = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(head) = splitter.split_head().unwrap() {
            heads.push(head.parts);
        }
    }
    heads
}

/// Returns the heads that hyper reads from the bytes.
async fn read_by_hyper(bytes: &[u8], count: usize) -> Vec<request::Parts> {
    let heads: Arc<Mutex<Vec<request::Parts>>> = Arc::default();
    let (mut caller, served) = tokio::io::duplex(PIPE_BYTES);
    let collected = heads.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (head, body) = request.into_parts();
        assert!(body.is_end_stream());
        collected.lock().unwrap().push(head);
        std::future::ready(Ok::<_, std::convert::Infallible>(Response::new(Empty::<
            Bytes,
        >::new(
        ))))
    });
    caller.write_all(bytes).await.unwrap();
    let connection = http1::Builder::new().serve_connection(TokioIo::new(served), service);
    let answers = async {
        let mut answers = Vec::new();
        while heads.lock().unwrap().len() < count {
            assert_ne!(
                caller.read_buf(&mut answers).await.unwrap(),
                0,
                "{answers:?}"
            );
        }
    };
    tokio::select! {
        _ = connection => {}
        () = answers => {}
    }
    std::mem::take(&mut *heads.lock().unwrap())
}

fn in_runtime<F: Future>(future: F) -> F::Output {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().unwrap().block_on(future)
}

/// Returns the look-ahead of a connection to this process.
async fn look_ahead() -> (Arc<LookAhead>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap());
    let (caller, accepted) = tokio::join!(caller, listener.accept());
    let socket = CallerSocket::new(accepted.unwrap().0);
    let look_ahead = LookAhead::new(&Arc::new(node()), interface(), &socket);
    (Arc::new(look_ahead), caller.unwrap())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Failure: a head that arrives in pieces is split elsewhere than one that arrives whole, or
    /// differs from what hyper reads.
    #[test]
    fn any_pieces_give_the_heads_that_hyper_reads(
        texts in requests(),
        lengths in proptest::collection::vec(0..60_usize, 0..20),
    ) {
        let bytes = texts.concat().into_bytes();
        let heads = split(&pieces(&bytes, &lengths));
        let read = in_runtime(read_by_hyper(&bytes, texts.len()));
        prop_assert_eq!(heads.len(), texts.len());
        prop_assert_eq!(read.len(), texts.len());
        for (head, read) in heads.iter().zip(&read) {
            prop_assert!(is_equal(head, read), "{:?} {:?}", head, read);
        }
    }

    /// Failure: arbitrary bytes stop the node.
    #[test]
    fn arbitrary_bytes_are_split_or_refused(
        bytes in proptest::collection::vec(
            prop_oneof![Just(b'\r'), Just(b'\n'), Just(b' '), Just(b':'), any::<u8>()],
            0..300,
        ),
    ) {
        let mut splitter = HeadSplitter::default();
        splitter.push(&bytes);
        while let Ok(Some(head)) = splitter.split_head() {
            prop_assert!(head.length_bytes > 0);
        }
    }

    /// Failure: a wrong guess about the bytes changes those that hyper reads.
    #[test]
    fn hyper_gets_the_bytes_that_were_read_ahead_unchanged(
        bytes in proptest::collection::vec(any::<u8>(), 0..400),
        lengths in proptest::collection::vec(0..60_usize, 0..20),
        rooms in proptest::collection::vec(1..90_usize, 1..8),
        begins in proptest::collection::vec(any::<bool>(), 1..8),
    ) {
        let read = in_runtime(async {
            let (look_ahead, _caller) = look_ahead().await;
            let mut read = Vec::new();
            let mut rooms = rooms.iter().cycle();
            let mut begins = begins.iter().cycle();
            for piece in pieces(&bytes, &lengths) {
                look_ahead.push_read_ahead(piece);
                if *begins.next().unwrap() {
                    look_ahead.begin(&mut head(&get("/another")), false);
                }
                let mut buffer = vec![0; *rooms.next().unwrap()];
                let mut buffer = ReadBuf::new(&mut buffer);
                look_ahead.deliver(&mut buffer);
                read.extend_from_slice(buffer.filled());
            }
            read.extend_from_slice(&look_ahead.take_read_ahead());
            read
        });
        prop_assert_eq!(read, bytes);
    }
}
