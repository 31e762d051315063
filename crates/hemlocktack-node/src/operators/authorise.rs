//! Only operators may call.

use std::hint::black_box;

use hemlocktack_protocol::OperatorErrorCode;
use hemlocktack_telemetry::{Event, log_event};

use super::{Failure, Result};
use crate::node::Node;
use crate::settings::AdjustableSettings;

const SCHEME: &str = "Bearer ";
/// Checks the token of a call before its body is read.
pub(super) fn authorise(node: &Node, header: Option<&str>, method: &str) -> Result<()> {
    let token = header.and_then(|header| header.strip_prefix(SCHEME));
    if token.is_some_and(|token| is_operators_token(&node.adjustable(), token)) {
        return Ok(());
    }
    if let Some(refused_count) = node.operator_refusals.record() {
        let method = method.escape_debug();
        log_event!(Event::OperatorRefused, %method, refused_count);
    }
    Err(Failure::new(
        OperatorErrorCode::Unauthorized,
        "the call does not carry the operators' token",
    ))
}

fn is_operators_token(settings: &AdjustableSettings, token: &str) -> bool {
    let is_current = is_equal(token, &settings.operator_token);
    let previous = settings.previous_operator_token.as_deref();
    let is_previous = previous.is_some_and(|previous| is_equal(token, previous));
    is_current | is_previous
}

/// Takes as long for a token that differs early as for one that differs late:
/// otherwise the answer times would tell a token character by character.
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
