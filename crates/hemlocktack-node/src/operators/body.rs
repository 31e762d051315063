//! Request and response bodies as protobuf or JSON.

use hemlocktack_protocol::OperatorErrorCode;
use prost::Message;
use rocket::data::{Data, ToByteUnit};
use rocket::http::ContentType;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Failure, Result};

/// Four times the largest document, because escaping in JSON can double its size.
const BODY_LIMIT_BYTES: usize = 4 * hemlocktack_config::DOCUMENT_LIMIT_BYTES;

/// Encoding of the bodies of a request and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Encoding {
    Protobuf,
    Json,
}

impl Encoding {
    /// Returns the encoding for the request's content type.
    pub(super) fn of(content_type: Option<&ContentType>) -> Result<Self> {
        let content_type = content_type.map(|content_type| content_type.media_type());
        let is = |top: &str, sub: &str| {
            content_type.is_some_and(|found| found.top() == top && found.sub() == sub)
        };
        if is("application", "x-protobuf") {
            return Ok(Encoding::Protobuf);
        }
        if is("application", "json") {
            return Ok(Encoding::Json);
        }
        Err(Failure::new(
            OperatorErrorCode::UnsupportedMediaType,
            "send application/x-protobuf or application/json",
        ))
    }

    pub(super) fn content_type(self) -> ContentType {
        match self {
            Encoding::Protobuf => ContentType::new("application", "x-protobuf"),
            Encoding::Json => ContentType::JSON,
        }
    }

    pub(super) fn decode<T: Message + Default + DeserializeOwned>(self, body: &[u8]) -> Result<T> {
        let malformed = |cause: String| {
            let message = format!("the body is not a valid request of this method: {cause}");
            Failure::new(OperatorErrorCode::MalformedRequest, message)
        };
        match self {
            Encoding::Protobuf => T::decode(body).map_err(|error| malformed(error.to_string())),
            Encoding::Json => {
                serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))
            }
        }
    }

    pub(super) fn encode<T: Message + Serialize>(self, message: &T) -> Vec<u8> {
        match self {
            Encoding::Protobuf => message.encode_to_vec(),
            // Cannot fail: maps in messages of the schema have string keys only.
            Encoding::Json => serde_json::to_vec(message).unwrap_or_default(),
        }
    }
}

/// Reads a whole body, up to the size limit.
pub(super) async fn read(data: Data<'_>) -> Result<Vec<u8>> {
    let body = data.open(BODY_LIMIT_BYTES.bytes()).into_bytes().await;
    let body = body.map_err(|error| {
        let message = format!("the body ended early: {error}");
        Failure::new(OperatorErrorCode::MalformedRequest, message)
    })?;
    if !body.is_complete() {
        let message = format!("the body is longer than {BODY_LIMIT_BYTES} bytes");
        return Err(Failure::new(OperatorErrorCode::BodyTooLarge, message));
    }
    Ok(body.into_inner())
}
