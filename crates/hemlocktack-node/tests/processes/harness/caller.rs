//! An HTTP caller with tickets and re-sends.

use std::net::SocketAddr;

use reqwest::{Method, Response};
use serde_json::Value;

/// The reply to one send.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// `answered`, `not-run` or `unknown`; `not-sent` or `cut` if no complete answer arrived.
    pub(crate) outcome: String,
    pub(crate) reason: String,
    pub(crate) ticket: Option<String>,
    /// Seconds of `Retry-After`.
    pub(crate) retry_after: Option<String>,
    pub(crate) body: Value,
}

impl Reply {
    pub(crate) fn is_answered(&self) -> bool {
        self.outcome == "answered" && self.status == 200
    }

    /// Status, outcome and reason as one text.
    pub(crate) fn summary(&self) -> String {
        format!("{} {} {}", self.status, self.outcome, self.reason)
    }
}

/// A caller of one entry node.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    entry: SocketAddr,
    http: reqwest::Client,
}

impl Caller {
    /// Opens a connection for each request and never retries by itself.
    pub(crate) fn at(entry: SocketAddr) -> Caller {
        let http = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .build()
            .unwrap();
        Caller { entry, http }
    }

    pub(crate) async fn get(&self, path: &str, marker: &str) -> Reply {
        self.send(Method::GET, path, &[("x-marker", marker)], "")
            .await
    }

    /// First send of a non-idempotent request, without a ticket.
    pub(crate) async fn post(&self, path: &str, marker: &str) -> Reply {
        self.send(Method::POST, path, &[("x-marker", marker)], "")
            .await
    }

    pub(crate) async fn post_with(&self, path: &str, marker: &str, ticket: &str) -> Reply {
        let headers = [("x-marker", marker), ("idempotency-key", ticket)];
        self.send(Method::POST, path, &headers, "").await
    }

    /// Gets a ticket by a first send without one; retries while the fleet refuses for a transient
    /// reason.
    pub(crate) async fn ticket(&self, path: &str, marker: &str) -> String {
        let mut last = Reply::default();
        for _ in 0..200 {
            last = self.post(path, marker).await;
            if last.reason == "ticket-required" {
                return last.ticket.unwrap();
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        panic!("no ticket for {path}: {last:?}");
    }

    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let url = format!("http://{}/{path}", self.entry);
        let mut request = self.http.request(method, url).body(body.to_owned());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        match request.send().await {
            Ok(response) => read(response).await,
            Err(error) => {
                let outcome = if error.is_connect() {
                    "not-sent"
                } else {
                    "cut"
                };
                Reply {
                    outcome: outcome.to_owned(),
                    reason: format!("{error:?}"),
                    ..Reply::default()
                }
            }
        }
    }
}

async fn read(response: Response) -> Reply {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().unwrap().to_owned())
    };
    let mut reply = Reply {
        status: response.status().as_u16(),
        outcome: header("hemlocktack-outcome").unwrap_or_default(),
        reason: header("hemlocktack-reason").unwrap_or_default(),
        ticket: header("idempotency-key"),
        retry_after: header("retry-after"),
        body: Value::Null,
    };
    match response.bytes().await {
        Ok(body) => reply.body = serde_json::from_slice(&body).unwrap_or_default(),
        Err(_) => reply.outcome = "cut".to_owned(),
    }
    reply
}
