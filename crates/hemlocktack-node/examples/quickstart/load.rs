//! Callers: each sends one request and, if it is refused, comes back when told.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt;
use reqwest::{Client, Response};

/// A stretch of even load.
pub(crate) struct Phase {
    pub(crate) name: &'static str,
    pub(crate) rate_per_s: u32,
    pub(crate) duration: Duration,
}

/// What a caller wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Booking,
    Browse,
}

/// What a caller got in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Answered,
    Refused,
    Unknown,
}

/// One caller's request from its first send to its end.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    pub(crate) kind: Kind,
    pub(crate) end: End,
    /// Why, where the end is no answer.
    pub(crate) reason: String,
    /// Sends after the first that a refusal made necessary.
    pub(crate) resends: u32,
    pub(crate) duration: Duration,
}

/// How long a caller goes on; the example's configuration says the same.
const PATIENCE: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(5);

/// Sends requests at an even rate, whatever becomes of them.
pub(crate) async fn run_phase(
    phase: &Phase,
    booking_share: f64,
    entries: &[SocketAddr],
) -> Vec<RequestResult> {
    let client = Client::new();
    let began = Instant::now();
    let mut ticks = tokio::time::interval(TICK);
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
    let end = loop {
        let answer = send(&client, entry, kind, ticket.as_deref()).await;
        let Ok(answer) = answer else {
            break End::Unknown;
        };
        reason = header(&answer, "hemlocktack-reason").unwrap_or_default();
        match header(&answer, "hemlocktack-outcome").as_deref() {
            Some("answered") => break End::Answered,
            Some("not-run") => {}
            _ => break End::Unknown,
        }
        ticket = header(&answer, "idempotency-key");
        if answer.status() == reqwest::StatusCode::PRECONDITION_REQUIRED && ticket.is_some() {
            continue;
        }
        let Some(wait) = header(&answer, "retry-after").and_then(|seconds| seconds.parse().ok())
        else {
            break End::Refused;
        };
        let wait = Duration::from_secs(wait);
        if began.elapsed() + wait > PATIENCE {
            break End::Refused;
        }
        tokio::time::sleep(wait).await;
        resends += 1;
    };
    RequestResult {
        kind,
        end,
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
