//! Writes whose answer was lost.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::{Client, Effect, Error, Result, Version};

/// After which a write that is still not resolved is given back as such: an
/// operator waits for it.
const RESOLVE_WITHIN: Duration = Duration::from_secs(8);
/// Sends of one write; bounds what a platform that loses every answer is asked.
const SEND_LIMIT: usize = 5;

impl Client {
    /// As `put_conditional`, and finds out what became of a write whose answer
    /// was lost.
    ///
    /// The value must be one that only this write can have stored: it carries
    /// a change id, say. The same conditional write is sent again; should both
    /// arrive, the platform refuses the later one, since the version has moved
    /// on. A conflict after a lost answer is therefore either this write's own
    /// success or another's, and reading back tells them apart.
    ///
    /// # Errors
    /// See [`Error`]. `Conflict` after a lost answer can also mean that the
    /// value was stored and then replaced. `Effect::Possible`: not resolved in
    /// time; to send the same value again is safe.
    pub async fn put_confirmed(
        &self,
        key: &str,
        expected_version: Version,
        value: &Value,
    ) -> Result<Version> {
        let give_up_at = Instant::now() + RESOLVE_WITHIN;
        let mut lost: Option<Error> = None;
        for _ in 0..SEND_LIMIT {
            let error = match self.put_conditional(key, expected_version, value).await {
                Ok(version) => return Ok(version),
                Err(Error::Conflict { current_version }) if lost.is_some() => {
                    let stored = self.is_stored(key, value, give_up_at).await;
                    return match stored {
                        Ok(Some(version)) => Ok(version),
                        Ok(None) => Err(Error::Conflict { current_version }),
                        Err(_) => Err(lost.unwrap_or(Error::Conflict { current_version })),
                    };
                }
                Err(error) => error,
            };
            let Some(wait) = wait_before_next(&error, give_up_at) else {
                return Err(lost.unwrap_or(error));
            };
            if error.effect() == Effect::Possible {
                lost = Some(error);
            }
            tokio::time::sleep(wait).await;
        }
        let unresolved = Error::Unavailable {
            effect: Effect::None,
            detail: format!("no answer to {SEND_LIMIT} sends"),
            retry_after: Duration::ZERO,
        };
        Err(lost.unwrap_or(unresolved))
    }

    async fn is_stored(
        &self,
        key: &str,
        value: &Value,
        give_up_at: Instant,
    ) -> Result<Option<Version>> {
        loop {
            let error = match self.get(key).await {
                Ok(object) => {
                    let own = object.filter(|object| object.value == *value);
                    return Ok(own.map(|object| object.version));
                }
                Err(error) => error,
            };
            let Some(wait) = wait_before_next(&error, give_up_at) else {
                return Err(error);
            };
            tokio::time::sleep(wait).await;
        }
    }
}

/// `None` where another send does not help or would come too late.
fn wait_before_next(error: &Error, give_up_at: Instant) -> Option<Duration> {
    let wait = error.retry_after()?;
    (Instant::now() + wait < give_up_at).then_some(wait)
}
