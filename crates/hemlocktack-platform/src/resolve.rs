//! Conditional writes that resolve ambiguous outcomes.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::{Client, Effect, Error, Result, StoreRevision};

/// Time after which a write that is still ambiguous is reported as such; an operator is waiting for
/// the result.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(8);
/// Attempts of one write; bounds the load on a platform whose every response is lost.
const ATTEMPT_LIMIT: usize = 5;

impl Client {
    /// Like `put_conditional`, but finds out whether a write whose response was lost took effect.
    ///
    /// The value must be unique to this write, for example by containing a change id. After a lost
    /// response the same conditional write is sent again; if both arrive, the platform rejects the
    /// later one because the version has changed. A conflict after a lost response therefore means
    /// that this write or another one succeeded, and reading the object back tells which.
    ///
    /// # Errors
    /// See [`Error`]. `Conflict` after a lost response can also mean that the value was stored and
    /// then replaced. `Effect::Possible` means that the outcome was not resolved in time; sending
    /// the same value again is safe.
    pub async fn put_confirmed(
        &self,
        key: &str,
        expected_version: Option<StoreRevision>,
        value: &Value,
    ) -> Result<StoreRevision> {
        let deadline = Instant::now() + RESOLVE_TIMEOUT;
        let mut lost_answer: Option<Error> = None;
        for _ in 0..ATTEMPT_LIMIT {
            let error = match self.put_conditional(key, expected_version, value).await {
                Ok(version) => return Ok(version),
                Err(error) => error,
            };
            let is_refused = matches!(error, Error::Conflict { .. } | Error::EraEnded { .. });
            let may_be_stored = lost_answer.is_some() || error.effect() == Effect::Possible;
            if is_refused && may_be_stored {
                let stored = self.stored_version(key, value, deadline).await;
                return match stored {
                    Ok(Some(version)) => Ok(version),
                    Ok(None) => Err(error),
                    Err(_) => Err(lost_answer.unwrap_or(error)),
                };
            }
            let Some(wait) = retry_delay(&error, deadline) else {
                return Err(lost_answer.unwrap_or(error));
            };
            if error.effect() == Effect::Possible {
                lost_answer = Some(error);
            }
            tokio::time::sleep(wait).await;
        }
        let unresolved = Error::Unavailable {
            effect: Effect::None,
            detail: format!("no response after {ATTEMPT_LIMIT} attempts"),
            retry_after: Duration::ZERO,
        };
        Err(lost_answer.unwrap_or(unresolved))
    }

    /// Returns the version of the stored object if its value is `value`.
    async fn stored_version(
        &self,
        key: &str,
        value: &Value,
        deadline: Instant,
    ) -> Result<Option<StoreRevision>> {
        loop {
            let error = match self.get(key).await {
                Ok(object) => {
                    let own_object = object.filter(|object| object.value == *value);
                    return Ok(own_object.map(|object| object.version));
                }
                Err(error) => error,
            };
            let Some(wait) = retry_delay(&error, deadline) else {
                return Err(error);
            };
            tokio::time::sleep(wait).await;
        }
    }
}

/// Returns the delay before the next attempt; `None` if it would not help or would exceed the
/// deadline.
fn retry_delay(error: &Error, deadline: Instant) -> Option<Duration> {
    let wait = error.retry_after()?;
    (Instant::now() + wait < deadline).then_some(wait)
}
