//! HTTP routes of the object API, and of the switches and counts for tests.

use std::sync::Arc;
use std::time::Duration;

use rocket::http::Method;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request};
use serde_json::{Value, json};

use crate::http::{Reply, number, path_of, read_body, read_json, text};
use crate::platform::counts::Kind;
use crate::platform::store::Conflict;
use crate::platform::{Shared, Switches, VALUE_LIMIT_BYTES};

const ERA_HEADER: &str = "Object-Store-Era";
const WATCH_WAIT_LIMIT_MS: u64 = 60_000;

#[derive(Clone)]
pub(crate) struct Routes(pub(crate) Arc<Shared>);

#[rocket::async_trait]
impl Handler for Routes {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let mut reply = self.0.route(request, data).await;
        if let Some(era) = self.0.era().clone() {
            reply = reply.with_header(ERA_HEADER, era);
        }
        Outcome::Success(reply.into_response())
    }
}

impl Shared {
    async fn route(&self, request: &Request<'_>, data: Data<'_>) -> Reply {
        let path = path_of(request);
        match (request.method(), path.as_str()) {
            (Method::Get, "counts") => Reply::json(200, &self.counts.read()),
            (Method::Get, "switches") => Reply::json(200, &*self.switches.borrow()),
            (Method::Put, "switches") => self.set_switches(read_json(data).await),
            (method, path) => {
                let Some(kind) = kind_of(method, path) else {
                    return Reply::error(404, "unknown-call", "no such call");
                };
                self.counts.add(kind);
                self.call(kind, path, request, data).await
            }
        }
    }

    fn set_switches(&self, body: Option<Value>) -> Reply {
        let switches = body.and_then(|body| serde_json::from_value::<Switches>(body).ok());
        let Some(switches) = switches else {
            return Reply::error(400, "malformed", "not the switches' JSON form");
        };
        self.switches.send_replace(switches);
        Reply::json(200, &json!({}))
    }

    async fn call(&self, kind: Kind, path: &str, request: &Request<'_>, data: Data<'_>) -> Reply {
        let switches = self.switches.borrow().clone();
        tokio::time::sleep(Duration::from_millis(switches.slow_ms)).await;
        if switches.down {
            return unavailable();
        }
        if switches.malformed {
            return Reply::json(200, &json!("no object"));
        }
        let key = path.trim_start_matches("objects").trim_start_matches('/');
        match kind {
            Kind::Get => self.get(key),
            Kind::List => self.list(request),
            Kind::Watch => self.watch(request).await,
            Kind::Put => {
                let body = read_body(data).await;
                self.put(key, number(request, "expected-version"), body)
            }
            Kind::Delete => self.write(key, number(request, "expected-version"), None),
            Kind::Conflict => unavailable(),
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.store.get(key) {
            Some(object) => Reply::json(200, &object),
            None => Reply::error(404, "not-found", "no such object"),
        }
    }

    fn list(&self, request: &Request<'_>) -> Reply {
        let prefix = text(request, "prefix").unwrap_or_default();
        let mut listing = self.store.list(&prefix);
        if text(request, "keys-only").as_deref() == Some("true") {
            for object in &mut listing.objects {
                object.value = Value::Null;
            }
        }
        Reply::json(200, &listing)
    }

    fn put(&self, key: &str, expected_version: Option<u64>, body: Option<Vec<u8>>) -> Reply {
        let Some(body) = body.filter(|body| body.len() <= VALUE_LIMIT_BYTES) else {
            return Reply::error(413, "too-large", "values are at most 1 MiB");
        };
        match serde_json::from_slice::<Value>(&body) {
            Ok(value) => self.write(key, expected_version, Some(value)),
            Err(_) => Reply::error(400, "malformed", "the value is not JSON"),
        }
    }

    fn write(&self, key: &str, expected_version: Option<u64>, value: Option<Value>) -> Reply {
        let Some(expected_version) = expected_version else {
            return Reply::error(400, "malformed", "expected-version is missing");
        };
        if value.is_none() && self.store.get(key).is_none() {
            return Reply::error(404, "not-found", "no such object");
        }
        match self.store.write(key, expected_version, value) {
            Ok(version) => self.written(version),
            Err(Conflict { current_version }) => {
                self.counts.add(Kind::Conflict);
                let body = json!({
                    "error": "conflict",
                    "message": "the object has another version",
                    "current_version": current_version,
                });
                Reply::json(409, &body)
            }
        }
    }

    /// Answers a write that has taken effect; drops the answer while `lose_answers` is not 0.
    fn written(&self, version: u64) -> Reply {
        let reply = Reply::json(200, &json!({ "version": version }));
        let lost = self.switches.send_if_modified(|switches| {
            let lose = switches.lose_answers > 0;
            switches.lose_answers = switches.lose_answers.saturating_sub(1);
            lose
        });
        if lost { reply.lost() } else { reply }
    }

    async fn watch(&self, request: &Request<'_>) -> Reply {
        let prefix = text(request, "prefix").unwrap_or_default();
        let after = number(request, "after").unwrap_or_default();
        let wait_ms = number(request, "wait-ms").unwrap_or_default();
        let wait = Duration::from_millis(wait_ms.min(WATCH_WAIT_LIMIT_MS));
        let revision = self.store.changes(&prefix, after).revision;
        let is_forgotten = after < revision && self.switches.borrow().forgets_revisions;
        if after > revision || is_forgotten {
            return Reply::error(410, "revision-gone", "list again");
        }
        let mut switches = self.switches.subscribe();
        tokio::select! {
            _ = tokio::time::timeout(wait, self.changed(&prefix, after)) => {
                Reply::json(200, &self.store.changes(&prefix, after))
            }
            _ = switches.wait_for(|switches| switches.down || switches.drop_watches) => {
                unavailable().lost()
            }
        }
    }

    async fn changed(&self, prefix: &str, after: u64) {
        let mut revisions = self.store.revisions();
        while self.store.changes(prefix, after).objects.is_empty() {
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }
}

fn kind_of(method: Method, path: &str) -> Option<Kind> {
    let has_key = path.starts_with("objects/");
    match method {
        Method::Get if path == "watch" => Some(Kind::Watch),
        Method::Get if path == "objects" => Some(Kind::List),
        Method::Get if has_key => Some(Kind::Get),
        Method::Put if has_key => Some(Kind::Put),
        Method::Delete if has_key => Some(Kind::Delete),
        _ => None,
    }
}

fn unavailable() -> Reply {
    Reply::error(503, "unavailable", "the platform is out")
}
