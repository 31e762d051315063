//! HTTP client for upstreams with the native interface. A call ends with a complete answer or with
//! the reason why there is none.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_protocol::{
    AnswerNotice, CONTEXT_HEADER, Header, LEAVING_HEADER, OUTCOME_HEADER, Outcome,
    RATE_LIMIT_HEADER, Reason, Statement, TIMEOUT_HEADER, TRACEPARENT_HEADER, read_departure,
    read_rate_limit,
};
use http_body_util::{BodyExt, Limited};
use reqwest::{Client, Method, Response};

use super::send::IncompleteAnswer;
use super::{HeardAnswer, UpstreamOutcome, UpstreamRequest, UpstreamResponse};
use crate::callers::is_forwarded_header;
use crate::memory::NoMemory;

/// Client for one upstream with the native interface.
pub(crate) struct NativeClient {
    client: Client,
}

impl NativeClient {
    /// Creates a client. Retries of the HTTP library are off, because only the node decides what is
    /// sent again.
    pub(crate) fn new() -> reqwest::Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .build()?;
        Ok(Self { client })
    }

    /// Returns the body of a small resource of the upstream; `None` if it does not arrive
    /// completely, in time and within the limit.
    pub(crate) async fn read(
        &self,
        url: &str,
        timeout: Duration,
        limit_bytes: usize,
    ) -> Option<Bytes> {
        let response = self.client.get(url).timeout(timeout).send().await.ok()?;
        let response = response.error_for_status().ok()?;
        read_small(response, limit_bytes).await
    }

    /// Sends the call and reads the complete answer.
    ///
    /// The HTTP library reports a body shorter than its declared length as an error, which becomes
    /// `Unknown`: the caller never gets a truncated answer.
    pub(super) async fn send(&self, send: &UpstreamRequest<'_>) -> UpstreamResponse {
        let time_left = send.deadline.saturating_duration_since(Instant::now());
        match tokio::time::timeout(time_left, self.exchange(send, time_left)).await {
            Ok(end) => end,
            Err(_) => UpstreamOutcome::Unknown(Reason::Timeout).into(),
        }
    }

    async fn exchange(&self, send: &UpstreamRequest<'_>, time_left: Duration) -> UpstreamResponse {
        let call = send.call;
        let address = send.announcement.address;
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return UpstreamOutcome::NotRun(Reason::MalformedRequest).into();
        };
        let mut request = self
            .client
            .request(method, format!("http://{address}{}", call.path));
        for header in &call.headers {
            request = request.header(header.name.as_str(), header.value.as_ref());
        }
        request = request
            .header(CONTEXT_HEADER, send.context)
            .header(TIMEOUT_HEADER, time_left.as_millis().to_string());
        if !call.traceparent.is_empty() {
            request = request.header(TRACEPARENT_HEADER, call.traceparent.as_str());
        }
        let request_sent_at = Instant::now();
        let response = match request.body(call.body.clone()).send().await {
            Ok(response) => response,
            Err(error) => return failed_outcome(&error).into(),
        };
        let read_at = Instant::now();
        let notice = read_notice(&response);
        let (outcome, no_memory) = read_whole(response, send).await;
        let is_complete = matches!(outcome, UpstreamOutcome::Answered { .. });
        let heard = Some(HeardAnswer {
            notice,
            request_sent_at,
            read_at,
            is_complete,
        });
        UpstreamResponse {
            outcome,
            heard,
            contested: None,
            no_memory,
        }
    }
}

fn failed_outcome(error: &reqwest::Error) -> UpstreamOutcome {
    if error.is_builder() {
        return UpstreamOutcome::NotRun(Reason::MalformedRequest);
    }
    match error.is_connect() {
        true => UpstreamOutcome::NotRun(Reason::UpstreamUnreachable),
        false => UpstreamOutcome::Unknown(Reason::UpstreamFailed),
    }
}

fn read_notice(response: &Response) -> AnswerNotice {
    let values = |name| {
        let all = response.headers().get_all(name);
        all.iter().map(|value| value.as_bytes())
    };
    AnswerNotice {
        rate_limit_per_s: read_rate_limit(values(RATE_LIMIT_HEADER)),
        leaving: read_departure(values(LEAVING_HEADER)),
        load: Statement::Absent,
    }
}

async fn read_whole(
    response: Response,
    send: &UpstreamRequest<'_>,
) -> (UpstreamOutcome, Option<NoMemory>) {
    let status = response.status().as_u16();
    if is_refused_by_upstream(&response) {
        return (UpstreamOutcome::NotRun(Reason::UpstreamShed), None);
    }
    let headers = forwarded_headers(&response);
    let plan = send.answer_plan(response.content_length());
    let pieces = Box::pin(response.bytes_stream());
    let collected = send.memory.collect(&send.answer_need(), plan, pieces).await;
    match collected.map_err(IncompleteAnswer::from) {
        Ok(body) => {
            let answered = UpstreamOutcome::Answered {
                status,
                headers,
                body,
            };
            (answered, None)
        }
        Err(incomplete) => {
            let outcome = UpstreamOutcome::Unknown(incomplete.reason());
            (outcome, incomplete.no_memory())
        }
    }
}

/// Reads a body within this limit; `None` if it is longer or incomplete.
async fn read_small(response: Response, limit_bytes: usize) -> Option<Bytes> {
    let body = http::Response::from(response).into_body();
    let read = Limited::new(body, limit_bytes).collect().await.ok()?;
    Some(read.to_bytes())
}

fn is_refused_by_upstream(response: &Response) -> bool {
    let not_run: &'static str = Outcome::NotRun.into();
    let says_not_run = response
        .headers()
        .get(OUTCOME_HEADER)
        .is_some_and(|value| value == not_run);
    says_not_run && response.status() == reqwest::StatusCode::SERVICE_UNAVAILABLE
}

fn forwarded_headers(response: &Response) -> Vec<Header> {
    let mut headers = Vec::new();
    for (name, value) in response.headers() {
        if is_forwarded_header(name.as_str()) {
            headers.push(Header {
                name: name.as_str().to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            });
        }
    }
    headers
}
