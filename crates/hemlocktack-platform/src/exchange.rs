//! One exchange with the platform over HTTP, and what its failures mean.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{RequestBuilder, Response, StatusCode};

use crate::client::VALUE_LIMIT_BYTES;
use crate::store_codec::{DecodeResult, StoreError};
use crate::{Effect, Error, Result};

/// Larger answers are not read to their end: a list of 560 records is under 1 MiB.
const ANSWER_LIMIT_BYTES: usize = 32 << 20;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Access {
    Read,
    Write,
}

impl Access {
    /// What a lost answer may mean.
    fn effect_of_lost_answer(self) -> Effect {
        match self {
            Access::Read => Effect::None,
            Access::Write => Effect::Possible,
        }
    }
}

/// Why a call gave no value: the object does not exist, or it failed.
pub(crate) enum CallError {
    NotFound,
    Failed(Error),
}

impl From<Error> for CallError {
    fn from(error: Error) -> CallError {
        CallError::Failed(error)
    }
}

impl CallError {
    /// For calls that no missing object can answer.
    pub(crate) fn into_error(self) -> Error {
        match self {
            CallError::NotFound => malformed(
                Effect::None,
                "a missing object where none was asked for".to_owned(),
            ),
            CallError::Failed(error) => error,
        }
    }

    pub(crate) fn with_wait(self, wait: Duration) -> CallError {
        let CallError::Failed(error) = self else {
            return self;
        };
        CallError::Failed(match error {
            Error::Unavailable { effect, detail, .. } => Error::Unavailable {
                effect,
                detail,
                retry_after: wait,
            },
            Error::Malformed { effect, detail, .. } => Error::Malformed {
                effect,
                detail,
                retry_after: Some(wait),
            },
            other => other,
        })
    }
}

pub(crate) fn not_found_as_none<T>(result: std::result::Result<T, CallError>) -> Result<Option<T>> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(CallError::NotFound) => Ok(None),
        Err(CallError::Failed(error)) => Err(error),
    }
}

pub(crate) async fn exchange<T>(
    access: Access,
    request: RequestBuilder,
    read_refusal: fn(StatusCode, &[u8]) -> StoreError,
    read: impl FnOnce(&[u8]) -> DecodeResult<T>,
) -> std::result::Result<T, CallError> {
    let lost = access.effect_of_lost_answer();
    let response = request.send().await.map_err(|error| {
        let effect = if error.is_connect() {
            Effect::None
        } else {
            lost
        };
        unavailable(effect, &error, Duration::ZERO)
    })?;
    let status = response.status();
    let body = read_whole(response, lost).await?;
    if !status.is_success() {
        return Err(refused(read_refusal(status, &body), lost));
    }
    let value = read(&body).map_err(|detail| malformed(lost, detail))?;
    Ok(value)
}

async fn read_whole(mut response: Response, lost: Effect) -> Result<Bytes> {
    let mut body = Vec::new();
    loop {
        let chunk = response.chunk().await;
        let chunk = chunk.map_err(|error| unavailable(lost, &error, Duration::ZERO))?;
        let Some(chunk) = chunk else {
            return Ok(Bytes::from(body));
        };
        if body.len() + chunk.len() > ANSWER_LIMIT_BYTES {
            return Err(malformed(
                lost,
                format!("an answer over {ANSWER_LIMIT_BYTES} bytes"),
            ));
        }
        body.extend_from_slice(&chunk);
    }
}

fn refused(refusal: StoreError, lost: Effect) -> CallError {
    let unavailable = |effect, detail| Error::Unavailable {
        effect,
        detail,
        retry_after: Duration::ZERO,
    };
    CallError::Failed(match refusal {
        StoreError::NotFound => return CallError::NotFound,
        StoreError::Conflict(current_version) => Error::Conflict { current_version },
        StoreError::TooLarge => too_large(),
        StoreError::RevisionGone => Error::RevisionGone,
        StoreError::NotApplied(detail) => unavailable(Effect::None, detail),
        StoreError::Failed(detail) => unavailable(lost, detail),
        StoreError::Malformed(detail) => malformed(lost, detail),
    })
}

pub(crate) fn too_large() -> Error {
    Error::TooLarge {
        limit_bytes: VALUE_LIMIT_BYTES,
    }
}

fn malformed(effect: Effect, detail: String) -> Error {
    Error::Malformed {
        effect,
        detail,
        retry_after: None,
    }
}

pub(crate) fn unavailable(effect: Effect, error: &reqwest::Error, retry_after: Duration) -> Error {
    Error::Unavailable {
        effect,
        detail: error.to_string(),
        retry_after,
    }
}
