//! Objects of the platform's store.

use std::fmt;

use derive_more::Display;
use serde::Deserialize;
use serde_json::Value;

/// Store revision of an object's last write, as in the store's bodies; 0 if the object does not
/// exist.
pub type Version = u64;
/// Sequence number of a write to the store, as in the store's bodies.
pub type Revision = u64;
/// Number of the store's history. It rises when the store comes back from a copy.
pub type Era = u64;

/// A revision together with the era that it belongs to.
///
/// A store that comes back from a copy gives revisions out again, so that a bare revision can stand
/// for two contents. There is no order between revisions of two eras, and so none here at all.
#[derive(Clone, Copy, Default, PartialEq, Eq, Display, Deserialize)]
#[serde(from = "Revision")]
#[display("{number}{}", era.map(|era| format!(" of era {era}")).unwrap_or_default())]
pub struct StoreRevision {
    /// Era of the store; `None` if the store does not name one.
    pub era: Option<Era>,
    /// Revision within the era.
    pub number: Revision,
}

impl From<Revision> for StoreRevision {
    /// Converts a revision from a body; the client adds the era, which is in the answer's head.
    fn from(number: Revision) -> StoreRevision {
        StoreRevision { era: None, number }
    }
}

/// A stored object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Version to expect in the next conditional write.
    pub version: StoreRevision,
    /// Value of the object.
    pub value: Value,
}

/// Objects under a prefix at one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Revision to watch from.
    pub revision: StoreRevision,
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
    pub version: StoreRevision,
    /// New value; null if the object was deleted.
    pub value: Value,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// Response to a watch; without objects if nothing changed in time.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchResponse {
    /// Revision to watch from next.
    pub revision: StoreRevision,
    /// Changed objects in order of keys.
    pub objects: Vec<WatchedObject>,
    /// Number of changes that are not valid; the others are returned all the same.
    pub unreadable_count: usize,
    /// Place of the first such change in the response.
    pub first_unreadable: Option<String>,
    /// Whether one of them may be a change of the only object that the prefix names.
    pub is_own_unreadable: bool,
}

impl fmt::Debug for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl StoreRevision {
    pub(crate) fn in_era(self, era: Option<Era>) -> StoreRevision {
        StoreRevision { era, ..self }
    }
}

impl Object {
    pub(crate) fn in_era(self, era: Option<Era>) -> Object {
        Object {
            version: self.version.in_era(era),
            ..self
        }
    }
}

impl Listing {
    pub(crate) fn in_era(self, era: Option<Era>) -> Listing {
        let objects = self.objects.into_iter();
        Listing {
            revision: self.revision.in_era(era),
            objects: objects.map(|object| object.in_era(era)).collect(),
            ..self
        }
    }
}

impl WatchResponse {
    pub(crate) fn in_era(self, era: Option<Era>) -> WatchResponse {
        let objects = self.objects.into_iter();
        let in_era = |object: WatchedObject| WatchedObject {
            version: object.version.in_era(era),
            ..object
        };
        WatchResponse {
            revision: self.revision.in_era(era),
            objects: objects.map(in_era).collect(),
            ..self
        }
    }
}
