//! One route for any method and any path.

use std::sync::Arc;

use bytes::Bytes;
use hemlocktack_protocol::Reason;
use rocket::data::{Data, ToByteUnit};
use rocket::http::Method;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Request, async_trait};

use super::observe::ObservedEntry;
use super::{CallerRequest, has_key, read_head};
use crate::calls;
use crate::node::Node;

const METHODS: [Method; 7] = [
    Method::Get,
    Method::Head,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Options,
];

/// Routes of the caller address.
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
        let in_flight = self.node.enter_call();
        let entry = ObservedEntry::begin(&self.node, request);
        let answer = match read(&self.node, request, data).await {
            Ok(call) => calls::enter(&self.node, entry.pass_trace(call)).await,
            Err(reason) => calls::refusal(reason, has_key(request)),
        };
        let answer = entry.end(&self.node, request, answer);
        Outcome::Success(answer.into_response(in_flight))
    }
}

async fn read(node: &Node, request: &Request<'_>, data: Data<'_>) -> Result<CallerRequest, Reason> {
    let mut call = read_head(request)?;
    call.body = read_body(node, &call, data).await?;
    Ok(call)
}

async fn read_body(node: &Node, call: &CallerRequest, data: Data<'_>) -> Result<Bytes, Reason> {
    let limit_bytes = node.body_limit_bytes(&call.service);
    let body = data
        .open(limit_bytes.bytes())
        .into_bytes()
        .await
        .map_err(|_| Reason::MalformedRequest)?;
    if !body.is_complete() {
        return Err(Reason::BodyTooLarge);
    }
    Ok(Bytes::from(body.into_inner()))
}
