//! Objects of the platform's store.

use serde_json::Value;

/// Store revision of an object's last write; 0 if the object does not exist.
pub type Version = u64;
/// Sequence number of a write to the store.
pub type Revision = u64;

/// A stored object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Version to expect in the next conditional write.
    pub version: Version,
    /// Value of the object.
    pub value: Value,
}

/// Objects under a prefix at one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Revision to watch from.
    pub revision: Revision,
    /// Objects in order of keys.
    pub objects: Vec<Object>,
    /// Number of entries that are not valid objects, written by something else. The others are
    /// returned all the same.
    pub unreadable_count: usize,
    /// Place of the first such entry in the response.
    pub first_unreadable: Option<String>,
    /// Whether all objects were listed. Behind a page without a readable name there may be more.
    pub is_complete: bool,
}

/// An object that changed while a watch was waiting.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchedObject {
    /// Key of the object.
    pub key: String,
    /// Version of the change.
    pub version: Version,
    /// New value; null if the object was deleted.
    pub value: Value,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// Response to a watch; without objects if nothing changed in time.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchResponse {
    /// Revision to watch from next.
    pub revision: Revision,
    /// Changed objects in order of keys.
    pub objects: Vec<WatchedObject>,
    /// Number of changes that are not valid; the others are returned all the same.
    pub unreadable_count: usize,
    /// Place of the first such change in the response.
    pub first_unreadable: Option<String>,
    /// Whether one of them may be a change of the only object that the prefix names.
    pub is_own_unreadable: bool,
}
