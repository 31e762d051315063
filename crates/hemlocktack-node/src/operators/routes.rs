//! HTTP routes of the operators' API: one for all methods, including unknown ones.

use std::io::Cursor;
use std::sync::Arc;

use hemlocktack_protocol::{OPERATORS_SERVICE, OperatorErrorCode};
use rocket::data::Data;
use rocket::http::{Header, Method, Status};
use rocket::route::{Handler, Outcome, Route};
use rocket::{Request, Response, async_trait};

use super::body::{self, Encoding};
use super::dispatch::dispatch;
use super::{Failure, Result, authorise};
use crate::node::Node;

/// Methods other than POST get an error of this API instead of the framework's error page.
const METHODS: [Method; 5] = [
    Method::Post,
    Method::Get,
    Method::Put,
    Method::Patch,
    Method::Delete,
];

/// Returns the routes of the operators' API.
pub(crate) fn routes(node: &Arc<Node>) -> Vec<Route> {
    let path = format!("/{OPERATORS_SERVICE}/<method..>");
    let handler = Operators { node: node.clone() };
    METHODS
        .into_iter()
        .map(|method| Route::new(method, &path, handler.clone()))
        .collect()
}

#[derive(Clone)]
struct Operators {
    node: Arc<Node>,
}

#[async_trait]
impl Handler for Operators {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let encoding = Encoding::of(request.content_type());
        let reply_encoding = *encoding.as_ref().unwrap_or(&Encoding::Json);
        let (status, body) = match self.call(request, data, encoding).await {
            Ok(answer) => (Status::Ok, answer),
            Err(failure) => (
                Status::new(failure.code.status()),
                reply_encoding.encode(&failure.into_message()),
            ),
        };
        let response = Response::build()
            .status(status)
            .header(reply_encoding.content_type())
            // Responses are only for the holder of the token and must not be cached.
            .header(Header::new("cache-control", "no-store"))
            .sized_body(body.len(), Cursor::new(body))
            .finalize();
        Outcome::Success(response)
    }
}

impl Operators {
    async fn call(
        &self,
        request: &Request<'_>,
        data: Data<'_>,
        encoding: Result<Encoding>,
    ) -> Result<Vec<u8>> {
        let path = request.uri().path().as_str();
        let method = path.rsplit('/').next().unwrap_or_default();
        let token = request.headers().get_one("authorization");
        authorise::authorise(&self.node, token, method)?;
        if request.method() != Method::Post {
            let message = "requests of operators must use POST";
            return Err(Failure::new(OperatorErrorCode::UnknownMethod, message));
        }
        let encoding = encoding?;
        let body = body::read(data).await?;
        dispatch(&self.node, method, encoding, &body).await
    }
}
