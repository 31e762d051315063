//! HTTP routes of the upstream: its calls, and the switches and counts for tests.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use rocket::http::Method;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::http::{Reply, number, path_of, read_body, read_json, text};
use crate::upstream::work::Call;
use crate::upstream::{Shared, Switches, announce};

/// Route handler. Its state is set once the address is known, before the address is announced.
#[derive(Clone)]
pub(crate) struct Routes(pub(crate) Arc<OnceLock<Arc<Shared>>>);

#[rocket::async_trait]
impl Handler for Routes {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let reply = match self.0.get() {
            Some(shared) => shared.route(request, data).await,
            None => Reply::error(503, "starting", "not started"),
        };
        Outcome::Success(reply.into_response())
    }
}

impl Shared {
    async fn route(self: &Arc<Shared>, request: &Request<'_>, data: Data<'_>) -> Reply {
        let path = path_of(request);
        match (request.method(), path.as_str()) {
            (Method::Get, "counts") => Reply::json(200, &self.counts()),
            (Method::Get, "load") => self.load(),
            (Method::Get, "switches") => Reply::json(200, &*self.switches.borrow()),
            (Method::Put, "switches") => self.set_switches(read_json(data).await),
            (Method::Post, "drain") => {
                announce::drain(self).await;
                Reply::json(200, &json!({}))
            }
            (Method::Post, "restart") => {
                self.restart();
                Reply::json(200, &json!({}))
            }
            _ => match read_call(request, path, data).await {
                Some(call) => self.answer(call).await,
                None => Reply::error(400, "malformed", "the body is cut or too long"),
            },
        }
    }

    fn load(&self) -> Reply {
        self.counters.load_reports.fetch_add(1, Ordering::Relaxed);
        let in_flight = self.switches.borrow().reported_in_flight;
        let in_flight = in_flight.unwrap_or_else(|| self.counts().in_flight);
        Reply::json(
            200,
            &json!({ "in_flight": in_flight, "slots": self.settings.slots }),
        )
    }

    fn set_switches(&self, body: Option<Value>) -> Reply {
        let switches = body.and_then(|body| serde_json::from_value::<Switches>(body).ok());
        let Some(switches) = switches else {
            return Reply::error(400, "malformed", "not the switches' JSON form");
        };
        self.switches.send_replace(switches);
        Reply::json(200, &json!({}))
    }
}

async fn read_call(request: &Request<'_>, path: String, data: Data<'_>) -> Option<Call> {
    let header = |name: &str| request.headers().get_one(name).map(str::to_owned);
    let deadline = header("hemlocktack-timeout-ms")
        .and_then(|timeout_ms| timeout_ms.parse().ok())
        .map(|timeout_ms| Instant::now() + Duration::from_millis(timeout_ms));
    let fault = header("x-fault").or_else(|| text(request, "fault"));
    Some(Call {
        method: request.method().to_string(),
        marker: header("x-marker")
            .or_else(|| text(request, "marker"))
            .unwrap_or_default(),
        context: header("hemlocktack-context"),
        traceparent: header("traceparent"),
        deadline,
        fault: fault.and_then(|fault| fault.parse().ok()),
        padding_bytes: number(request, "padding-bytes").unwrap_or_default() as usize,
        path,
        body: read_body(data).await?,
    })
}
