//! In-memory store of versioned objects.

use std::collections::BTreeMap;
use std::sync::Mutex;

use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;

/// One object, as included in answers.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Object {
    pub(crate) key: String,
    pub(crate) version: u64,
    pub(crate) value: Value,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) deleted: bool,
}

/// Objects with the revision at which they were read.
#[derive(Debug, Serialize)]
pub(crate) struct Listing {
    pub(crate) revision: u64,
    pub(crate) objects: Vec<Object>,
}

/// The object has another version than expected; 0 if it does not exist.
#[derive(Debug)]
pub(crate) struct Conflict {
    pub(crate) current_version: u64,
}

/// Deleted objects are kept as tombstones, so that watches report them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Objects {
    revision: u64,
    by_key: BTreeMap<String, Object>,
}

#[derive(Debug)]
pub(crate) struct Store {
    objects: Mutex<Objects>,
    revision: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            objects: Mutex::default(),
            revision: watch::Sender::new(0),
        }
    }
}

impl Store {
    pub(crate) fn get(&self, key: &str) -> Option<Object> {
        let objects = self.lock();
        let object = objects.by_key.get(key)?;
        (!object.deleted).then(|| object.clone())
    }

    pub(crate) fn list(&self, prefix: &str) -> Listing {
        let mut listing = self.changes(prefix, 0);
        listing.objects.retain(|object| !object.deleted);
        listing
    }

    /// Returns the objects under the prefix that changed after the revision, including deleted ones.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> Listing {
        let objects = self.lock();
        let changed = objects
            .by_key
            .values()
            .filter(|object| object.key.starts_with(prefix) && object.version > after);
        Listing {
            revision: objects.revision,
            objects: changed.cloned().collect(),
        }
    }

    /// Stores the value, or deletes the object if `value` is `None`.
    pub(crate) fn write(
        &self,
        key: &str,
        expected_version: u64,
        value: Option<Value>,
    ) -> Result<u64, Conflict> {
        let mut objects = self.lock();
        let current_version = objects
            .by_key
            .get(key)
            .filter(|object| !object.deleted)
            .map_or(0, |object| object.version);
        if current_version != expected_version {
            return Err(Conflict { current_version });
        }
        objects.revision += 1;
        let version = objects.revision;
        let object = Object {
            key: key.to_owned(),
            version,
            deleted: value.is_none(),
            value: value.unwrap_or(Value::Null),
        };
        objects.by_key.insert(key.to_owned(), object);
        drop(objects);
        self.revision.send_replace(version);
        Ok(version)
    }

    pub(crate) fn copy(&self) -> Objects {
        self.lock().clone()
    }

    pub(crate) fn restore(&self, copy: &Objects) {
        self.lock().clone_from(copy);
    }

    pub(crate) fn revisions(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Objects> {
        self.objects
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
