//! Authorises operators' requests by their bearer token.

use std::hint::black_box;

use hemlocktack_protocol::OperatorErrorCode;
use hemlocktack_telemetry::{Event, log_event};

use super::{Failure, Result};
use crate::node::Node;
use crate::settings::AdjustableSettings;

const SCHEME: &str = "Bearer ";
/// Checks the token of a request before its body is read.
pub(super) fn authorise(node: &Node, header: Option<&str>, method: &str) -> Result<()> {
    let token = header.and_then(|header| header.strip_prefix(SCHEME));
    if token.is_some_and(|token| is_valid_token(&node.adjustable(), token)) {
        return Ok(());
    }
    if let Some(refused_count) = node.operator_refusals.record() {
        let method = method.escape_debug();
        log_event!(Event::OperatorRefused, %method, refused_count);
    }
    Err(Failure::new(
        OperatorErrorCode::Unauthorized,
        "the request does not carry a valid operator token",
    ))
}

fn is_valid_token(settings: &AdjustableSettings, token: &str) -> bool {
    let is_current = is_equal(token, &settings.operator_token);
    let previous = settings.previous_operator_token.as_deref();
    let is_previous = previous.is_some_and(|previous| is_equal(token, previous));
    is_current | is_previous
}

/// Compares two tokens in constant time. Otherwise response times would reveal a token
/// character by character.
fn is_equal(given: &str, expected: &str) -> bool {
    if given.len() != expected.len() {
        return false;
    }
    let pairs = given.bytes().zip(expected.bytes());
    let difference = pairs.fold(0, |difference, (given, expected)| {
        black_box(difference | (given ^ expected))
    });
    difference == 0
}
