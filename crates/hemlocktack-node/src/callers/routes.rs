//! Route handler for all methods and paths.

use std::sync::Arc;

use bytes::Bytes;
use hemlocktack_protocol::Reason;
use rocket::data::{Data, DataStream, ToByteUnit};
use rocket::http::Method;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Request, async_trait};
use tokio::io::AsyncReadExt;

use super::observe::ObservedEntry;
use super::{CallerRequest, has_idempotency_key, read_head};
use crate::calls;
use crate::memory::HeldFor;
use crate::node::Node;
use crate::refused_body::discard_with_timeout;

/// Most bytes of a refused body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Head,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Options,
];

/// Returns the routes of the caller address.
pub(crate) fn routes(node: &Arc<Node>) -> Vec<Route> {
    let mut routes = Vec::new();
    for method in METHODS {
        routes.push(Route::new(
            method,
            "/<path..>",
            AnyPath { node: node.clone() },
        ));
    }
    routes
}

#[derive(Clone)]
struct AnyPath {
    node: Arc<Node>,
}

#[async_trait]
impl Handler for AnyPath {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let in_flight = self.node.track_call();
        let entry = ObservedEntry::begin(&self.node, request);
        let answer = match read(&self.node, request, data).await {
            Ok(call) => calls::handle_request(&self.node, entry.with_trace(call)).await,
            Err(reason) => calls::refused_answer(reason, has_idempotency_key(request)),
        };
        let answer = entry.end(&self.node, request, answer);
        Outcome::Success(answer.into_response(in_flight))
    }
}

async fn read(node: &Node, request: &Request<'_>, data: Data<'_>) -> Result<CallerRequest, Reason> {
    let mut call = match read_head(request) {
        Ok(call) => call,
        Err(reason) => {
            discard_rest(data.open(MAX_DISCARDED_BYTES.bytes())).await;
            return Err(reason);
        }
    };
    call.body = read_body(node, &call, data).await?;
    Ok(call)
}

async fn read_body(node: &Node, call: &CallerRequest, data: Data<'_>) -> Result<Bytes, Reason> {
    let limit_bytes = node.body_limit_bytes(&call.service);
    let mut stream = data.open((limit_bytes + MAX_DISCARDED_BYTES).bytes());
    let mut body = Vec::new();
    let more_than_limit = limit_bytes as u64 + 1;
    (&mut stream)
        .take(more_than_limit)
        .read_to_end(&mut body)
        .await
        .map_err(|_| Reason::MalformedRequest)?;
    if body.len() > limit_bytes {
        discard_rest(stream).await;
        return Err(Reason::BodyTooLarge);
    }
    Ok(node.memory.track(HeldFor::CallerBodies, Bytes::from(body)))
}

async fn discard_rest(mut rest: DataStream<'_>) {
    let mut nowhere = tokio::io::sink();
    discard_with_timeout(tokio::io::copy(&mut rest, &mut nowhere)).await;
}
