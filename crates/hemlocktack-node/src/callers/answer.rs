//! HTTP response to a caller.

use std::time::Duration;

use bytes::Bytes;
use hemlocktack_protocol::{
    Answer, Header, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, Outcome, REASON_HEADER,
    RETRY_AFTER_HEADER, Reason, TRACEPARENT_HEADER,
};
use rocket::Response;
use rocket::http::Status;

use super::tracked_body::TrackedBody;
use crate::calls::retry_after;
use crate::counters::InFlightGuard;

/// Answer to one request of a caller, ready to be sent.
pub(crate) struct CallerAnswer {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) fresh_ticket: Option<String>,
    /// Identifies the trace of a request without an answer, for the `explain` command.
    pub(crate) traceparent: Option<String>,
}

impl CallerAnswer {
    /// Creates the answer to a request that the entry node refuses without sending it anywhere.
    pub(crate) fn refused(reason: Reason) -> Self {
        Self::from_answer(crate::calls::not_run_answer(reason, None))
    }

    /// Converts the answer to a call.
    pub(crate) fn from_answer(answer: Answer) -> Self {
        let outcome = answer.outcome();
        let reason = answer.reason();
        let retry_after = retry_after(&answer);
        let fresh_ticket = (!answer.fresh_ticket.is_empty()).then_some(answer.fresh_ticket);
        if outcome == Outcome::Answered {
            let status = u16::try_from(answer.status).unwrap_or(Status::BadGateway.code);
            return Self {
                outcome,
                reason,
                status,
                headers: answer.headers,
                body: answer.body,
                retry_after,
                fresh_ticket,
                traceparent: None,
            };
        }
        Self {
            outcome,
            reason,
            status: refusal_status(outcome, reason).code,
            headers: vec![json_content_type()],
            body: refusal_body(outcome, reason),
            retry_after,
            fresh_ticket,
            traceparent: None,
        }
    }

    /// Converts the answer to an HTTP response. The call stays in flight until the response is sent
    /// or the caller has disconnected.
    pub(crate) fn into_response(self, in_flight: InFlightGuard) -> Response<'static> {
        let mut builder = Response::build();
        builder.status(Status::new(self.status));
        for header in self.headers {
            let Ok(value) = String::from_utf8(header.value.to_vec()) else {
                continue;
            };
            builder.raw_header_adjoin(header.name, value);
        }
        let outcome: &'static str = self.outcome.into();
        builder.raw_header(OUTCOME_HEADER, outcome);
        if self.outcome != Outcome::Answered {
            let reason: &'static str = self.reason.into();
            builder.raw_header(REASON_HEADER, reason);
        }
        if let Some(retry_after) = self.retry_after {
            builder.raw_header(RETRY_AFTER_HEADER, whole_seconds(retry_after).to_string());
        }
        if let Some(ticket) = self.fresh_ticket {
            builder.raw_header(IDEMPOTENCY_KEY_HEADER, ticket);
        }
        if let Some(traceparent) = self.traceparent {
            builder.raw_header(TRACEPARENT_HEADER, traceparent);
        }
        let length_bytes = self.body.len();
        builder.sized_body(length_bytes, TrackedBody::new(self.body, in_flight));
        builder.finalize()
    }
}

/// Rounds up to whole seconds, the unit of the header; rounding down would make callers retry too
/// early.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_millis().div_ceil(1000) as u64
}

fn json_content_type() -> Header {
    Header {
        name: "content-type".to_owned(),
        value: Bytes::from_static(b"application/json"),
    }
}

fn refusal_status(outcome: Outcome, reason: Reason) -> Status {
    match reason {
        Reason::UnknownService => Status::NotFound,
        Reason::MalformedRequest
        | Reason::MalformedContext
        | Reason::ContextExpired
        | Reason::TicketMalformed => Status::BadRequest,
        Reason::BodyTooLarge => Status::PayloadTooLarge,
        Reason::TicketRequired => Status::PreconditionRequired,
        Reason::TicketForeign => Status::Conflict,
        Reason::TicketExpired | Reason::AnswerNotKept => Status::Gone,
        Reason::Timeout => Status::GatewayTimeout,
        _ if outcome == Outcome::NotRun => Status::ServiceUnavailable,
        _ => Status::BadGateway,
    }
}

fn refusal_body(outcome: Outcome, reason: Reason) -> Bytes {
    let outcome_name: &'static str = outcome.into();
    let reason_name: &'static str = reason.into();
    let message = match outcome {
        Outcome::NotRun => "the request was not run",
        _ => "the request may have run",
    };
    let body =
        serde_json::json!({ "outcome": outcome_name, "reason": reason_name, "message": message });
    Bytes::from(body.to_string())
}
