//! Wire format of a store's object API, as a table of functions.
//!
//! The client handles budget, backoff and lost responses in the same way for every wire format.

use std::time::Duration;

use bytes::Bytes;
use hemlocktack_protocol::ConfigurationDocument;
use reqwest::{Method, StatusCode};
use serde_json::Value;

use crate::{Listing, Object, Revision, Version, WatchResponse};

/// One HTTP request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// HTTP method.
    pub method: Method,
    /// Path without a leading slash, as in the URL.
    pub path: String,
    /// Query parameters.
    pub query: Vec<(&'static str, String)>,
    /// Body, if the call has one.
    pub body: Option<Bytes>,
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListingPage {
    /// Objects of this page and the revision at which it was read.
    pub listing: Listing,
    /// Cursor of the next page; `None` on the last one.
    pub next_after: Option<String>,
}

/// Meaning of an error response of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The object does not exist.
    NotFound,
    /// The object has this version and not the expected one; 0 if it does not exist.
    Conflict(Version),
    /// The value is over the limit.
    TooLarge,
    /// The store no longer knows the changes after this revision.
    RevisionGone,
    /// The call had no effect and may succeed later.
    NotApplied(String),
    /// The store failed; a write may have taken effect.
    Failed(String),
    /// The response does not conform to the interface.
    Malformed(String),
}

/// Result of decoding a response body; the error describes what is wrong.
pub type DecodeResult<T> = std::result::Result<T, String>;

/// Encodes calls to one kind of store and decodes its responses. Keys are this project's own, such
/// as `nodes/NAME` and `configuration/current`.
#[derive(Clone, Copy, Debug)]
pub struct StoreCodec {
    /// Header of all answers that names the store's era, in lower case.
    pub era_header: &'static str,
    /// Encodes a read of one object.
    pub get: fn(key: &str) -> StoreCall,
    /// Encodes a read of all objects under a prefix; `after` is the previous page's `next_after`.
    pub list: fn(prefix: &str, after: Option<&str>, keys_only: bool) -> StoreCall,
    /// Encodes a read of the store's revision: a list without entries.
    pub revision: fn() -> StoreCall,
    /// Smallest read that shows whether the store answers; its contents may be outdated.
    /// `read_listing` decodes the response.
    pub probe: fn() -> StoreCall,
    /// Encodes a watch for changes under a prefix.
    pub watch: fn(prefix: &str, after: Revision, wait: Duration) -> StoreCall,
    /// Encodes a conditional write: the object must have the version; 0 means it must not exist.
    pub put: fn(key: &str, expected_version: Version, value: &Value) -> StoreCall,
    /// Encodes a conditional delete: the object must have the version.
    pub delete: fn(key: &str, expected_version: Version) -> StoreCall,
    /// Decodes the response to `get`.
    pub read_object: fn(key: &str, body: &[u8]) -> DecodeResult<Object>,
    /// Decodes a response to `list`.
    pub read_listing: fn(prefix: &str, body: &[u8]) -> DecodeResult<ListingPage>,
    /// Decodes the response to `watch`.
    pub read_watched: fn(prefix: &str, body: &[u8]) -> DecodeResult<WatchResponse>,
    /// Decodes the new version from the response to `put`.
    pub read_written: fn(body: &[u8]) -> DecodeResult<Version>,
    /// Checks the response to `delete`.
    pub read_deleted: fn(body: &[u8]) -> DecodeResult<()>,
    /// Decodes an error response.
    pub read_error: fn(StatusCode, body: &[u8]) -> StoreError,
    /// Decodes the operators' configuration from its object.
    pub read_configuration: fn(&Object) -> DecodeResult<ConfigurationDocument>,
    /// Encodes the operators' configuration as a value; `None` if operators write it with their own
    /// tools and nodes only read it.
    pub write_configuration: Option<fn(&ConfigurationDocument) -> DecodeResult<Value>>,
}
