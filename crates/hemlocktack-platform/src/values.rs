//! Objects of the platform's store.

use serde::Deserialize;
use serde_json::Value;

/// Store revision of an object's last write; 0 if the object does not exist.
pub type Version = u64;
/// Sequence number of a write to the store.
pub type Revision = u64;

/// A stored object.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Version to expect in the next conditional write.
    pub version: Version,
    /// Value of the object.
    pub value: Value,
}

/// Objects under a prefix at one revision.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Listing {
    /// Revision to watch from.
    pub revision: Revision,
    /// Objects in order of keys.
    pub objects: Vec<Object>,
    /// Number of entries that are not valid objects, written by something else. The others are
    /// returned all the same.
    #[serde(default)]
    pub unreadable_count: usize,
}

/// An object that changed while a watch was waiting.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchedObject {
    /// Key of the object.
    pub key: String,
    /// Version of the change.
    pub version: Version,
    /// New value; null if the object was deleted.
    pub value: Value,
    /// Whether the object was deleted.
    #[serde(default)]
    pub deleted: bool,
}

/// Response to a watch; without objects if nothing changed in time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchResponse {
    /// Revision to watch from next.
    pub revision: Revision,
    /// Changed objects in order of keys.
    pub objects: Vec<WatchedObject>,
}
