//! Clients: one request over a new connection, and its record.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::exchange;
use crate::record::Record;

pub struct Request<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
}

/// Sends a request to its machine's node; returns the status, or 0 without an answer, and whether
/// the answer bears a backend's signature.
pub fn send(outbound: SocketAddr, request: &Request, record: &Record) -> (u16, bool) {
    let body = if request.method == "POST" {
        "a booking"
    } else {
        ""
    };
    let key = request.key.map_or(String::new(), |key| {
        format!("authorization: Bearer {key}\r\n")
    });
    let text = format!(
        "{} {} HTTP/1.1\r\nhost: flats.example\r\nattempt-id: {}\r\ndeadline-milliseconds: {}\r\n{key}\
         content-length: {}\r\n\r\n{body}",
        request.method, request.path, request.id, request.deadline_ms, body.len()
    );
    record.line(&format!(
        "sent     {} {} {}",
        request.id, request.method, request.path
    ));
    let timeout = Duration::from_millis(request.deadline_ms + 500);
    let answer = exchange(outbound, &text, timeout);
    let Some(answer) = answer else {
        record.line(&format!("answered {}: nothing", request.id));
        return (0, false);
    };
    let is_signed = answer.header("response-signature").is_some();
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    record.line(&format!(
        "answered {}: {} {body}",
        request.id,
        answer.status()
    ));
    (answer.status(), is_signed)
}
