//! The wire format described in docs/interfaces/platform.md.

use std::time::Duration;

use bytes::Bytes;
use hemlocktack_protocol::ConfigurationDocument;
use reqwest::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::json_pieces::{decode, elements, member, place, read_value};
use crate::store_codec::{DecodeResult, ListingPage, StoreCall, StoreCodec, StoreError};
use crate::{Listing, Object, Revision, Version, WatchResponse, WatchedObject};

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
    read_object: |_, body| object(body).ok_or_else(|| "not an object with a key".to_owned()),
    read_listing,
    read_watched,
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

/// Decodes an object. Its value is read as far as possible: another writer may have stored it.
fn object(entry: &[u8]) -> Option<Object> {
    Some(Object {
        key: decode(member(entry, "key")?)?,
        version: decode(member(entry, "version")?)?,
        value: read_value(member(entry, "value")?),
    })
}

fn revision(body: &[u8]) -> DecodeResult<Revision> {
    let revision = member(body, "revision").and_then(decode);
    revision.ok_or_else(|| "revision: missing or not valid".to_owned())
}

fn objects(body: &[u8]) -> DecodeResult<Vec<&[u8]>> {
    let objects = member(body, "objects").and_then(elements);
    objects.ok_or_else(|| "objects: not a list".to_owned())
}

/// Decodes each object by itself, so that an unreadable one hides no other one.
fn read_listing(_prefix: &str, body: &[u8]) -> DecodeResult<ListingPage> {
    let mut listing = Listing {
        revision: revision(body)?.into(),
        objects: Vec::new(),
        unreadable_count: 0,
        first_unreadable: None,
        is_complete: true,
    };
    for (index, entry) in objects(body)?.into_iter().enumerate() {
        if let Some(object) = object(entry) {
            listing.objects.push(object);
            continue;
        }
        listing.unreadable_count += 1;
        listing
            .first_unreadable
            .get_or_insert_with(|| place("objects", index, key_of(entry).as_deref()));
    }
    Ok(ListingPage {
        listing,
        next_after: None,
    })
}

/// Decodes each change by itself, so that an unreadable one hides no other one.
fn read_watched(prefix: &str, body: &[u8]) -> DecodeResult<WatchResponse> {
    let mut watched = WatchResponse {
        revision: revision(body)?.into(),
        objects: Vec::new(),
        unreadable_count: 0,
        first_unreadable: None,
        is_own_unreadable: false,
    };
    for (index, entry) in objects(body)?.into_iter().enumerate() {
        if let Some(changed) = watched_object(entry) {
            watched.objects.push(changed);
            continue;
        }
        let key = key_of(entry);
        watched.is_own_unreadable |= key.as_deref().is_none_or(|key| key == prefix);
        watched.unreadable_count += 1;
        watched
            .first_unreadable
            .get_or_insert_with(|| place("objects", index, key.as_deref()));
    }
    Ok(watched)
}

fn watched_object(entry: &[u8]) -> Option<WatchedObject> {
    let deleted = match member(entry, "deleted") {
        Some(deleted) => decode(deleted)?,
        None => false,
    };
    let Object {
        key,
        version,
        value,
    } = object(entry)?;
    Some(WatchedObject {
        key,
        version,
        value,
        deleted,
    })
}

fn key_of(entry: &[u8]) -> Option<String> {
    decode(member(entry, "key")?)
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
