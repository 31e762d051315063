//! Replies to invalid requests of callers and operators.

use std::fmt::Write;
use std::time::Duration;

use reqwest::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::harness::{Fleet, OPERATOR_TOKEN, Plan};

/// Each invalid request is refused with its own reason and no upstream starts it.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_requests_are_refused_and_not_run() {
    let fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 1)]).await;
    let caller = fleet.caller(0);
    let ticket = caller.ticket("diaries/appointments", "ticket").await;
    let mut forged = ticket.clone();
    let last = forged.pop().unwrap();
    forged.push(if last == '0' { '1' } else { '0' });
    let too_long = "x".repeat(5_000);
    let cases = [
        ("unknown service", Method::GET, "payments/x", vec![], ""),
        ("no service", Method::GET, "", vec![], ""),
        (
            "body over the limit",
            Method::POST,
            "listings/x",
            vec![],
            too_long.as_str(),
        ),
        (
            "malformed context",
            Method::GET,
            "listings/x",
            vec![("hemlocktack-context", "junk")],
            "",
        ),
        (
            "unknown caller kind",
            Method::GET,
            "listings/x",
            vec![("hemlocktack-caller-kind", "stranger")],
            "",
        ),
        (
            "malformed timeout",
            Method::GET,
            "listings/x",
            vec![("hemlocktack-timeout-ms", "soon")],
            "",
        ),
        (
            "no ticket",
            Method::POST,
            "diaries/appointments",
            vec![],
            "",
        ),
        (
            "malformed ticket",
            Method::POST,
            "diaries/appointments",
            vec![("idempotency-key", "junk")],
            "",
        ),
        (
            "forged ticket",
            Method::POST,
            "diaries/appointments",
            vec![("idempotency-key", forged.as_str())],
            "",
        ),
        (
            "ticket of another service",
            Method::POST,
            "listings/x",
            vec![("idempotency-key", ticket.as_str())],
            "",
        ),
    ];
    let mut table = String::new();
    for (name, method, path, mut headers, body) in cases {
        headers.push(("x-marker", "faulty"));
        let reply = caller.send(method, path, &headers, body).await;
        writeln!(table, "{name}: {}", reply.summary()).unwrap();
    }
    insta::assert_snapshot!(table);
    assert_eq!(fleet.starts("listings", "faulty").await, 0);
    assert_eq!(fleet.starts("diaries", "faulty").await, 0);
}

/// A request is refused before its whole body has arrived. Guards against a connection reset while
/// the caller still sends, which would lose the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_reaches_a_caller_that_still_sends_its_body() {
    let fleet = Fleet::start(&[Plan::new("listings", 1)]).await;
    for (path, status) in [("", "404"), ("listings/x", "413")] {
        let entry = fleet.nodes[0].callers;
        let mut caller = TcpStream::connect(entry).await.unwrap();
        let head = format!("POST /{path} HTTP/1.1\r\nhost: x\r\ncontent-length: 80000\r\n\r\n");
        caller.write_all(head.as_bytes()).await.unwrap();
        for piece in 0..20 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let sent = caller.write_all(&[b'x'; 4_000]).await;
            assert!(sent.is_ok(), "{path}: piece {piece}");
        }
        let mut answer = [0; 12];
        caller.read_exact(&mut answer).await.unwrap();
        assert_eq!(answer, format!("HTTP/1.1 {status}").as_bytes());
    }
}

/// Invalid operator calls are refused with the schema's error and have no effect.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_operators_calls_are_refused() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let json = "application/json";
    let cases = [
        ("no token", "ShowConfiguration", "", json, "{}"),
        (
            "wrong token",
            "ShowConfiguration",
            "a-token-of-somebody-else",
            json,
            "{}",
        ),
        (
            "unknown call",
            "ForgetEverything",
            OPERATOR_TOKEN,
            json,
            "{}",
        ),
        ("no JSON", "ShowConfiguration", OPERATOR_TOKEN, json, "{"),
        (
            "no protobuf",
            "ShowConfiguration",
            OPERATOR_TOKEN,
            "application/x-protobuf",
            "\u{7f}\u{7f}\u{7f}",
        ),
        (
            "unknown form",
            "ShowConfiguration",
            OPERATOR_TOKEN,
            "text/plain",
            "{}",
        ),
        (
            "as it should be",
            "ShowConfiguration",
            OPERATOR_TOKEN,
            json,
            "{}",
        ),
    ];
    let mut table = String::new();
    for (name, method, token, content_type, body) in cases {
        let url = format!(
            "http://{}/hemlocktack.v1.Operators/{method}",
            fleet.nodes[0].control
        );
        let mut request = reqwest::Client::new()
            .post(url)
            .header("content-type", content_type)
            .body(body);
        if !token.is_empty() {
            request = request.bearer_auth(token);
        }
        let answer = request.send().await.unwrap();
        let status = answer.status().as_u16();
        let body = answer.bytes().await.unwrap();
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let code = body["code"].as_str().unwrap_or_default().to_owned();
        writeln!(table, "{name}: {status} {code}").unwrap();
    }
    insta::assert_snapshot!(table);
}
