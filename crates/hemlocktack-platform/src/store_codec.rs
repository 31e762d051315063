//! How a store encodes the calls of the object API.
//!
//! Budget, backoff and lost answers are the client's, whatever the wire format.

use std::time::Duration;

use bytes::Bytes;
use hemlocktack_protocol::ConfigurationDocument;
use reqwest::{Method, StatusCode};
use serde_json::Value;

use crate::{Listing, Object, Revision, Version, WatchResponse};

/// One call as it goes over the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// HTTP method.
    pub method: Method,
    /// Path without a leading slash, as it stands in the URL.
    pub path: String,
    /// Query parameters.
    pub query: Vec<(&'static str, String)>,
    /// Body, where the call has one.
    pub body: Option<Bytes>,
}

/// One answer to a list; a long list takes several.
#[derive(Clone, Debug, PartialEq)]
pub struct ListingPage {
    /// Objects of this page and the revision that it was read at.
    pub listing: Listing,
    /// Where the next page begins; `None` on the last one.
    pub next_after: Option<String>,
}

/// What an answer without success means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The object does not exist.
    NotFound,
    /// It has another version than the expected one; 0: it does not exist.
    Conflict(Version),
    /// The value is over the limit.
    TooLarge,
    /// The store does not know the changes after this revision any more.
    RevisionGone,
    /// Nothing was done, and the same call may succeed later.
    NotApplied(String),
    /// The store failed; a write may have been done.
    Failed(String),
    /// Something else than the interface says.
    Malformed(String),
}

/// Result of reading an answer's body; the error is what was found wrong.
pub type DecodeResult<T> = std::result::Result<T, String>;

/// How one store encodes calls and answers. Keys are ours: `nodes/NAME`,
/// `configuration/current`.
#[derive(Clone, Copy, Debug)]
pub struct StoreCodec {
    /// Reads one object.
    pub get: fn(key: &str) -> StoreCall,
    /// Reads all objects under a prefix; `after` is a page's `next_after`.
    pub list: fn(prefix: &str, after: Option<&str>, keys_only: bool) -> StoreCall,
    /// Waits for changes under a prefix.
    pub watch: fn(prefix: &str, after: Revision, wait: Duration) -> StoreCall,
    /// Stores a value if the object has the version; 0: it must not exist.
    pub put: fn(key: &str, expected_version: Version, value: &Value) -> StoreCall,
    /// Deletes the object if it has the version.
    pub delete: fn(key: &str, expected_version: Version) -> StoreCall,
    /// Reads the answer to `get`.
    pub read_object: fn(key: &str, body: &[u8]) -> DecodeResult<Object>,
    /// Reads an answer to `list`.
    pub read_listing: fn(prefix: &str, body: &[u8]) -> DecodeResult<ListingPage>,
    /// Reads the answer to `watch`.
    pub read_watched: fn(prefix: &str, body: &[u8]) -> DecodeResult<WatchResponse>,
    /// Reads the new version from the answer to `put`.
    pub read_written: fn(body: &[u8]) -> DecodeResult<Version>,
    /// Checks the answer to `delete`.
    pub read_deleted: fn(body: &[u8]) -> DecodeResult<()>,
    /// Reads an answer without success.
    pub read_refusal: fn(StatusCode, body: &[u8]) -> StoreError,
    /// Reads the operators' configuration from its object.
    pub read_configuration: fn(&Object) -> DecodeResult<ConfigurationDocument>,
    /// Encodes the configuration as a value; `None` where operators write it
    /// with tools of their own and nodes only read it.
    pub write_configuration: Option<fn(&ConfigurationDocument) -> DecodeResult<Value>>,
}
