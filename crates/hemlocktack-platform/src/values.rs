//! Objects as the platform gives them.

use serde::Deserialize;
use serde_json::Value;

/// Revision of the store at an object's last write; 0: the object does not exist.
pub type Version = u64;
/// Number of the store's last write.
pub type Revision = u64;

/// One object.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Object {
    /// Its key.
    pub key: String,
    /// Its version, for the next conditional write.
    pub version: Version,
    /// Its value.
    pub value: Value,
}

/// Objects under a prefix at one revision.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Listing {
    /// Revision to watch from.
    pub revision: Revision,
    /// In order of keys.
    pub objects: Vec<Object>,
    /// Entries that are no objects: somebody else wrote them. The others are of
    /// use all the same.
    #[serde(default)]
    pub unreadable_count: usize,
}

/// An object that changed while a watch was waiting.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchedObject {
    /// Its key.
    pub key: String,
    /// Version of the change.
    pub version: Version,
    /// Its value; null where it was deleted.
    pub value: Value,
    /// Whether it was deleted.
    #[serde(default)]
    pub deleted: bool,
}

/// Answer of a watch; empty where nothing changed in time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchResponse {
    /// Revision to watch from next.
    pub revision: Revision,
    /// In order of keys.
    pub objects: Vec<WatchedObject>,
}
