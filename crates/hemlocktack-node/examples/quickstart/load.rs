//! Callers: each sends one request and, if it is refused, sends it again after `Retry-After`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt;
use reqwest::{Client, Response};

/// A period of constant load.
pub(crate) struct Phase {
    pub(crate) name: &'static str,
    pub(crate) rate_per_s: u32,
    pub(crate) duration: Duration,
}

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Booking,
    Browse,
}

/// The final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Answered,
    Refused,
    Unknown,
}

/// Result of a request over all its sends.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    pub(crate) kind: Kind,
    pub(crate) outcome: Outcome,
    /// Reason of an outcome other than an answer.
    pub(crate) reason: String,
    /// Number of sends after a refusal.
    pub(crate) resends: u32,
    pub(crate) duration: Duration,
}

/// Time for which a caller retries; the same as `patience_ms` in the example's configuration.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
const SEND_INTERVAL: Duration = Duration::from_millis(5);

/// Sends requests at a constant rate, independently of their outcomes.
pub(crate) async fn run_phase(
    phase: &Phase,
    booking_share: f64,
    entries: &[SocketAddr],
) -> Vec<RequestResult> {
    let client = Client::new();
    let began = Instant::now();
    let mut ticks = tokio::time::interval(SEND_INTERVAL);
    let mut callers = tokio::task::JoinSet::new();
    let mut sent = 0;
    while began.elapsed() < phase.duration {
        ticks.tick().await;
        let due = (began.elapsed().as_secs_f64() * f64::from(phase.rate_per_s)) as usize;
        for _ in sent..due {
            let entry = entries[rand::rng().random_range(0..entries.len())];
            let kind = if rand::rng().random_bool(booking_share) {
                Kind::Booking
            } else {
                Kind::Browse
            };
            callers.spawn(run_caller(client.clone(), entry, kind));
        }
        sent = sent.max(due);
    }
    callers.join_all().await
}

async fn run_caller(client: Client, entry: SocketAddr, kind: Kind) -> RequestResult {
    let began = Instant::now();
    let mut resends = 0;
    let mut ticket = None;
    let mut reason = String::new();
    let outcome = loop {
        let answer = send(&client, entry, kind, ticket.as_deref()).await;
        let Ok(answer) = answer else {
            break Outcome::Unknown;
        };
        reason = header(&answer, "hemlocktack-reason").unwrap_or_default();
        match header(&answer, "hemlocktack-outcome").as_deref() {
            Some("answered") => break Outcome::Answered,
            Some("not-run") => {}
            _ => break Outcome::Unknown,
        }
        ticket = header(&answer, "idempotency-key");
        if answer.status() == reqwest::StatusCode::PRECONDITION_REQUIRED && ticket.is_some() {
            continue;
        }
        let Some(wait) = header(&answer, "retry-after").and_then(|seconds| seconds.parse().ok())
        else {
            break Outcome::Refused;
        };
        let wait = Duration::from_secs(wait);
        if began.elapsed() + wait > CALLER_TIMEOUT {
            break Outcome::Refused;
        }
        tokio::time::sleep(wait).await;
        resends += 1;
    };
    RequestResult {
        kind,
        outcome,
        reason,
        resends,
        duration: began.elapsed(),
    }
}

async fn send(
    client: &Client,
    entry: SocketAddr,
    kind: Kind,
    ticket: Option<&str>,
) -> reqwest::Result<Response> {
    let request = match kind {
        Kind::Browse => client.get(format!("http://{entry}/listings/flats")),
        Kind::Booking => client
            .post(format!("http://{entry}/diaries/bookings"))
            .body("flat 7, Saturday at 4"),
    };
    match ticket {
        Some(ticket) => request.header("idempotency-key", ticket).send().await,
        None => request.send().await,
    }
}

fn header(answer: &Response, name: &str) -> Option<String> {
    answer.headers().get(name)?.to_str().ok().map(str::to_owned)
}
