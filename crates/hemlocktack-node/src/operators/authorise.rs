//! Only operators may call.

use std::hint::black_box;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use hemlocktack_protocol::OperatorErrorCode;
use hemlocktack_telemetry::{Event, log_event};

use super::{Failure, Result};
use crate::node::Node;
use crate::settings::Settings;

const SCHEME: &str = "Bearer ";
/// Somebody who tries tokens must not fill the log; the count goes into the line.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Refused calls, logged at most once in the interval.
#[derive(Default)]
pub(crate) struct Refusals {
    state: Mutex<RefusalState>,
}

#[derive(Default)]
struct RefusalState {
    logged: Option<Instant>,
    since_logged: u64,
    total: u64,
}

impl Refusals {
    /// Refused calls since the node's start.
    pub(crate) fn total(&self) -> u64 {
        self.lock().total
    }

    fn count(&self, method: &str) {
        let mut state = self.lock();
        state.total += 1;
        state.since_logged += 1;
        if state
            .logged
            .is_some_and(|logged| logged.elapsed() < LOG_INTERVAL)
        {
            return;
        }
        log_event!(
            Event::OperatorRefused,
            method = %method.escape_debug(),
            refused_count = state.since_logged
        );
        state.logged = Some(Instant::now());
        state.since_logged = 0;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RefusalState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checks the token of a call before its body is read.
pub(super) fn authorise(node: &Node, header: Option<&str>, method: &str) -> Result<()> {
    let token = header.and_then(|header| header.strip_prefix(SCHEME));
    if token.is_some_and(|token| is_operators_token(&node.settings, token)) {
        return Ok(());
    }
    node.operator_refusals.count(method);
    Err(Failure::new(
        OperatorErrorCode::Unauthorized,
        "the call does not carry the operators' token",
    ))
}

fn is_operators_token(settings: &Settings, token: &str) -> bool {
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
