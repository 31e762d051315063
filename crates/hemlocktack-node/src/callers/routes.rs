//! Route handler for all methods and paths.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hemlocktack_protocol::{ClassRank, Reason};
use rocket::data::{Data, DataStream, ToByteUnit};
use rocket::http::Method;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Request, async_trait};
use tokio_util::io::ReaderStream;

use super::observe::ObservedEntry;
use super::{CallerRequest, has_idempotency_key, read_head};
use crate::calls::{self, DEFAULT_TIMEOUT};
use crate::memory::CallerBody;
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
    let length_bytes = request.headers().get_one("content-length");
    let length_bytes = length_bytes.and_then(|length| length.parse().ok());
    call.body = read_body(node, &call, length_bytes, data).await?;
    Ok(call)
}

async fn read_body(
    node: &Node,
    call: &CallerRequest,
    length_bytes: Option<usize>,
    data: Data<'_>,
) -> Result<Bytes, Reason> {
    let limit_bytes = node.body_limit_bytes(&call.service);
    let mut stream = data.open((limit_bytes + MAX_DISCARDED_BYTES).bytes());
    let began = Instant::now();
    let body = CallerBody {
        request_id: "",
        class_rank: ClassRank::MAX,
        began,
        deadline: began + call.timeout.unwrap_or(DEFAULT_TIMEOUT),
        length_bytes,
        limit_bytes,
    };
    let collected = body.collect(node, ReaderStream::new(&mut stream)).await;
    // What is malformed can't be read on.
    if collected
        .as_ref()
        .is_err_and(|reason| *reason != Reason::MalformedRequest)
    {
        discard_rest(stream).await;
    }
    collected
}

async fn discard_rest(mut rest: DataStream<'_>) {
    let mut nowhere = tokio::io::sink();
    discard_with_timeout(tokio::io::copy(&mut rest, &mut nowhere)).await;
}
