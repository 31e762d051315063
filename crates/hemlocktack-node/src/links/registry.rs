//! Tables of what waits on a link, by the id of its call or query.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Id of a call or a query.
type Id = u64;

/// A table whose entries are removed with their registrations.
pub(super) struct Registry<T> {
    entries: Arc<Mutex<HashMap<Id, T>>>,
}

/// Registration of an entry. Dropping it removes the entry.
pub(super) struct Registered<T> {
    registry: Registry<T>,
    pub(super) id: Id,
}

impl<T> Registry<T> {
    pub(super) fn register(&self, id: Id, entry: T) -> Registered<T> {
        self.lock().insert(id, entry);
        Registered {
            registry: self.clone(),
            id,
        }
    }

    /// Removes and returns an entry, which may have been removed before.
    pub(super) fn remove(&self, id: Id) -> Option<T> {
        self.lock().remove(&id)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, HashMap<Id, T>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T> Clone for Registry<T> {
    fn clone(&self) -> Self {
        Self {
            entries: self.entries.clone(),
        }
    }
}

impl<T> Default for Registry<T> {
    fn default() -> Self {
        Self {
            entries: Arc::default(),
        }
    }
}

impl<T> Drop for Registered<T> {
    fn drop(&mut self) {
        self.registry.remove(self.id);
    }
}
