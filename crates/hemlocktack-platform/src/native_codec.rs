//! The wire format described in docs/interfaces/platform.md.

use std::time::Duration;

use bytes::Bytes;
use hemlocktack_protocol::ConfigurationDocument;
use reqwest::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::store_codec::{DecodeResult, ListingPage, StoreCall, StoreCodec, StoreError};
use crate::{Object, Revision, Version};

/// A prefix that no key has.
const NO_KEYS_PREFIX: &str = "none/";
/// Error code of a 404 response for a missing object.
const NOT_FOUND: &str = "not-found";

/// The project's own wire format.
pub const NATIVE_CODEC: StoreCodec = StoreCodec {
    era_header: "object-store-era",
    get,
    list,
    revision: || list(NO_KEYS_PREFIX, None, true),
    probe: || list(NO_KEYS_PREFIX, None, true),
    watch,
    put,
    delete,
    read_object: |_, body| read(body),
    read_listing,
    read_watched: |_, body| read(body),
    read_written: |body| read::<Written>(body).map(|written| written.version),
    read_deleted: |body| read::<Written>(body).map(|_| ()),
    read_error,
    read_configuration,
    write_configuration: Some(write_configuration),
};

#[derive(Deserialize)]
struct Written {
    version: Version,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    error: String,
    current_version: Option<Version>,
}

fn get(key: &str) -> StoreCall {
    call(Method::GET, object_path(key), Vec::new())
}

fn list(prefix: &str, _after: Option<&str>, keys_only: bool) -> StoreCall {
    let mut query = vec![("prefix", prefix.to_owned())];
    if keys_only {
        query.push(("keys-only", "true".to_owned()));
    }
    call(Method::GET, "objects".to_owned(), query)
}

fn watch(prefix: &str, after: Revision, wait: Duration) -> StoreCall {
    let query = vec![
        ("prefix", prefix.to_owned()),
        ("after", after.to_string()),
        ("wait-ms", wait.as_millis().to_string()),
    ];
    call(Method::GET, "watch".to_owned(), query)
}

fn put(key: &str, expected_version: Version, value: &Value) -> StoreCall {
    let query = vec![("expected-version", expected_version.to_string())];
    StoreCall {
        body: Some(Bytes::from(value.to_string())),
        ..call(Method::PUT, object_path(key), query)
    }
}

fn delete(key: &str, expected_version: Version) -> StoreCall {
    let query = vec![("expected-version", expected_version.to_string())];
    call(Method::DELETE, object_path(key), query)
}

fn object_path(key: &str) -> String {
    format!("objects/{key}")
}

fn call(method: Method, path: String, query: Vec<(&'static str, String)>) -> StoreCall {
    StoreCall {
        method,
        path,
        query,
        body: None,
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> DecodeResult<T> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

fn read_listing(_prefix: &str, body: &[u8]) -> DecodeResult<ListingPage> {
    Ok(ListingPage {
        listing: read(body)?,
        next_after: None,
    })
}

/// Decodes an error response. A 404 without the API's error code comes from something other than
/// the object API, and must not be mistaken for "there is no configuration yet".
fn read_error(status: StatusCode, body: &[u8]) -> StoreError {
    let body: ErrorBody = serde_json::from_slice(body).unwrap_or_default();
    match (status, body.current_version) {
        (StatusCode::NOT_FOUND, _) if body.error == NOT_FOUND => StoreError::NotFound,
        (StatusCode::CONFLICT, Some(current_version)) => StoreError::Conflict(current_version),
        (StatusCode::PAYLOAD_TOO_LARGE, _) => StoreError::TooLarge,
        (StatusCode::GONE, _) => StoreError::RevisionGone,
        (StatusCode::TOO_MANY_REQUESTS, _) => {
            StoreError::NotApplied("rate limit exceeded".to_owned())
        }
        (status, _) if status.is_server_error() => StoreError::Failed(format!("status {status}")),
        _ => StoreError::Malformed(format!("status {status} with error {:?}", body.error)),
    }
}

fn read_configuration(object: &Object) -> DecodeResult<ConfigurationDocument> {
    serde_json::from_value(object.value.clone()).map_err(|error| error.to_string())
}

fn write_configuration(configuration: &ConfigurationDocument) -> DecodeResult<Value> {
    serde_json::to_value(configuration).map_err(|error| error.to_string())
}
