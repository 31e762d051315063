//! Command: store a new configuration.

use std::sync::Arc;

use hemlocktack_protocol::{ApplyConfigurationRequest, OperatorError};
use prost::Message;
use rocket::http::{ContentType, Status};
use rocket::request::{FromRequest, Outcome};
use rocket::{Request, Route, State, async_trait, post, routes};

use crate::configuration::{self, ApplyError};
use crate::node::Node;

const AUTHORIZATION_HEADER: &str = "authorization";
const BEARER: &str = "Bearer ";

/// Routes of the operators' calls.
pub(crate) fn routes() -> Vec<Route> {
    routes![apply]
}

/// A request that carries the operators' token.
struct Operator;

#[async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(node) = request.rocket().state::<Arc<Node>>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        let header = request.headers().get_one(AUTHORIZATION_HEADER);
        let token = header.and_then(|header| header.strip_prefix(BEARER));
        let previous = node.settings.previous_operator_token.as_deref();
        if token
            .is_some_and(|token| token == node.settings.operator_token || Some(token) == previous)
        {
            return Outcome::Success(Operator);
        }
        Outcome::Error((Status::Unauthorized, ()))
    }
}

type Reply = (Status, (ContentType, Vec<u8>));

#[post("/hemlocktack.v1.Operators/ApplyConfiguration", data = "<body>")]
async fn apply(node: &State<Arc<Node>>, _operator: Operator, body: Vec<u8>) -> Reply {
    let Ok(request) = ApplyConfigurationRequest::decode(body.as_slice()) else {
        return reply(
            Status::BadRequest,
            &error("malformed-body", "the body is not the request of this call"),
        );
    };
    match configuration::apply(node, request).await {
        Ok(stored) => reply(Status::Ok, &stored),
        Err(ApplyError::Findings(findings)) => {
            let refused = error("invalid-configuration", "nothing was stored");
            reply(
                Status::UnprocessableEntity,
                &OperatorError {
                    findings,
                    ..refused
                },
            )
        }
        Err(ApplyError::Conflict { current_generation }) => {
            let refused = error("generation-conflict", "another change came first");
            reply(
                Status::Conflict,
                &OperatorError {
                    current_generation,
                    ..refused
                },
            )
        }
        Err(ApplyError::Platform(problem)) => reply(
            Status::ServiceUnavailable,
            &error("platform-unavailable", &problem),
        ),
    }
}

fn reply(status: Status, message: &impl Message) -> Reply {
    (
        status,
        (
            ContentType::new("application", "x-protobuf"),
            message.encode_to_vec(),
        ),
    )
}

fn error(code: &str, message: &str) -> OperatorError {
    OperatorError {
        code: code.to_owned(),
        message: message.to_owned(),
        ..OperatorError::default()
    }
}
