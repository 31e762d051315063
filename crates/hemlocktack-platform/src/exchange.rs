//! One HTTP exchange with the platform, and the classification of its failures.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{RequestBuilder, Response};

use crate::client::VALUE_LIMIT_BYTES;
use crate::store_codec::{DecodeResult, StoreCodec, StoreError};
use crate::{Effect, Era, Error, Result, StoreEras};

/// Larger responses are not read to the end; a list of 560 records is under 1 MiB.
const ANSWER_LIMIT_BYTES: usize = 32 << 20;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Access {
    Read,
    Write,
}

impl Access {
    /// Returns the possible effect of a request whose response was lost.
    fn effect_of_lost_answer(self) -> Effect {
        match self {
            Access::Read => Effect::None,
            Access::Write => Effect::Possible,
        }
    }
}

/// Why a call returned no value: the object does not exist, or the call failed.
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
    /// Converts the error of a call for which "not found" is not a valid response.
    pub(crate) fn into_error(self) -> Error {
        match self {
            CallError::NotFound => malformed(
                Effect::None,
                "\"not found\" in response to a call that names no single object".to_owned(),
            ),
            CallError::Failed(error) => error,
        }
    }

    pub(crate) fn with_retry_after(self, wait: Duration) -> CallError {
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

/// Decoded answer with the era that its head names.
pub(crate) struct Answer<T> {
    pub(crate) value: T,
    pub(crate) era: Option<Era>,
}

pub(crate) async fn exchange<T>(
    access: Access,
    request: RequestBuilder,
    codec: &StoreCodec,
    eras: &StoreEras,
    read: impl FnOnce(&[u8]) -> DecodeResult<T>,
) -> std::result::Result<Answer<T>, CallError> {
    let effect_if_lost = access.effect_of_lost_answer();
    let response = request.send().await.map_err(|error| {
        let effect = if error.is_connect() {
            Effect::None
        } else {
            effect_if_lost
        };
        unavailable(effect, &error, Duration::ZERO)
    })?;
    let status = response.status();
    let era = eras.record(response.headers().get(codec.era_header));
    let body = read_body(response, effect_if_lost).await?;
    if !status.is_success() {
        return Err(into_call_error(
            (codec.read_error)(status, &body),
            effect_if_lost,
        ));
    }
    let value = read(&body).map_err(|detail| malformed(effect_if_lost, detail))?;
    Ok(Answer { value, era })
}

async fn read_body(mut response: Response, effect_if_lost: Effect) -> Result<Bytes> {
    let mut body = Vec::new();
    loop {
        let chunk = response.chunk().await;
        let chunk = chunk.map_err(|error| unavailable(effect_if_lost, &error, Duration::ZERO))?;
        let Some(chunk) = chunk else {
            return Ok(Bytes::from(body));
        };
        if body.len() + chunk.len() > ANSWER_LIMIT_BYTES {
            return Err(malformed(
                effect_if_lost,
                format!("the response is larger than {ANSWER_LIMIT_BYTES} bytes"),
            ));
        }
        body.extend_from_slice(&chunk);
    }
}

fn into_call_error(error: StoreError, effect_if_lost: Effect) -> CallError {
    let unavailable = |effect, detail| Error::Unavailable {
        effect,
        detail,
        retry_after: Duration::ZERO,
    };
    CallError::Failed(match error {
        StoreError::NotFound => return CallError::NotFound,
        StoreError::Conflict(current_version) => Error::Conflict { current_version },
        StoreError::TooLarge => too_large(),
        StoreError::RevisionGone => Error::RevisionGone,
        StoreError::NotApplied(detail) => unavailable(Effect::None, detail),
        StoreError::Failed(detail) => unavailable(effect_if_lost, detail),
        StoreError::Malformed(detail) => malformed(effect_if_lost, detail),
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
