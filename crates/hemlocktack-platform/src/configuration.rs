//! The operators' configuration, stored in the platform.
//!
//! A change is accepted if and only if it replaces `configuration/current`. Before the object is
//! replaced, it is copied to the history, so that the history contains every replaced generation.
//! That is how a repeated change is recognised after newer changes have followed it.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_protocol::{ConfigurationDocument, Generation};
use serde_json::Value;

use crate::{Client, Effect, Error, Object, Result, StoreRevision};

const CURRENT_KEY: &str = "configuration/current";
const HISTORY_PREFIX: &str = "configuration/history/";
/// Number of replaced generations that are kept: more than one team's changes of half a day.
pub const HISTORY_LENGTH: u64 = 64;
/// Each entry costs a read, so this keeps a query below the burst of the read budget.
const HISTORY_QUERY_LIMIT: usize = 20;
/// Old entries deleted per change. One would keep the length constant; the second catches up after
/// failed deletions.
const PRUNE_LIMIT: usize = 2;

/// A configuration with its stored version.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfiguration {
    /// Version to expect in the next conditional write.
    pub version: StoreRevision,
    /// The stored document.
    pub configuration: ConfigurationDocument,
}

/// The configuration at one revision of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationSnapshot {
    /// Store revision to watch from next. It grows with writes to any object, so the store still
    /// knows it after it has compacted the configuration's own version.
    pub revision: StoreRevision,
    /// The configuration; `None` if there is none, or none newer in response to a watch.
    pub stored: Option<StoredConfiguration>,
    /// Place of the first entry of another writer that cannot be read.
    pub first_unreadable: Option<String>,
}

/// A configuration change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Text of the document, already checked.
    pub document: String,
    /// Generation that the edit is based on; 0 for the first configuration.
    pub expected_generation: Generation,
    /// Idempotency key chosen by the operator's client; not empty, the same in every repeat.
    pub change_id: String,
    /// Who requested the change.
    pub author: String,
}

/// Result of applying a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change is stored.
    Stored {
        /// Generation of the change.
        generation: Generation,
    },
    /// An earlier request with the same change stored it.
    AlreadyApplied {
        /// Generation of the change.
        generation: Generation,
    },
    /// The edit is not based on the newest generation; nothing is stored.
    GenerationConflict {
        /// The newest generation; 0 if there is none.
        current_generation: Generation,
    },
    /// Another document was stored under this change id; nothing is stored.
    ChangeIdReused {
        /// Generation of the other document.
        generation: Generation,
    },
}

/// Reads and replaces the configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationStore {
    client: Arc<Client>,
}

impl ConfigurationStore {
    /// Creates a store that uses the client and its budget.
    pub fn new(client: Arc<Client>) -> ConfigurationStore {
        ConfigurationStore { client }
    }

    /// Reads the newest configuration; `None` before the first one.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn read_newest(&self) -> Result<Option<StoredConfiguration>> {
        let object = self.client.get(CURRENT_KEY).await?;
        object.map(|object| self.decode(object)).transpose()
    }

    /// Reads a configuration by its generation; `None` if it never existed or is no longer kept.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn read(&self, generation: Generation) -> Result<Option<ConfigurationDocument>> {
        let newest = self.read_newest().await?;
        let newest = newest.map(|stored| stored.configuration);
        match newest {
            Some(newest) if newest.generation == generation => Ok(Some(newest)),
            _ => self.read_history(generation).await,
        }
    }

    /// Returns the latest configurations with their documents, newest first.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn history(&self, limit: usize) -> Result<Vec<ConfigurationDocument>> {
        let limit = limit.min(HISTORY_QUERY_LIMIT);
        let Some(newest) = self.read_newest().await? else {
            return Ok(Vec::new());
        };
        let mut generation = newest.configuration.generation;
        let mut changes = vec![newest.configuration];
        while changes.len() < limit && generation > 1 {
            generation -= 1;
            let Some(older) = self.read_history(generation).await? else {
                break;
            };
            changes.push(older);
        }
        changes.truncate(limit);
        Ok(changes)
    }

    /// Reads the newest configuration and the revision to watch from.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn read_with_revision(&self) -> Result<ConfigurationSnapshot> {
        let listing = match self.client.list(CURRENT_KEY).await {
            Err(Error::Malformed { detail, .. }) => return self.read_by_name(detail).await,
            listing => listing?,
        };
        let mut objects = listing.objects.into_iter();
        let mut current = objects.find(|object| object.key == CURRENT_KEY);
        let may_be_hidden = listing.unreadable_count > 0 || !listing.is_complete;
        if current.is_none() && may_be_hidden {
            current = self.client.get(CURRENT_KEY).await?;
        }
        Ok(ConfigurationSnapshot {
            revision: listing.revision,
            stored: current.map(|object| self.decode(object)).transpose()?,
            first_unreadable: listing.first_unreadable,
        })
    }

    /// Reads the configuration by its name, where an entry of another writer makes the list
    /// unreadable as a whole.
    async fn read_by_name(&self, first_unreadable: String) -> Result<ConfigurationSnapshot> {
        let current = self.client.get(CURRENT_KEY).await?;
        let Some(current) = current else {
            return Err(malformed(first_unreadable));
        };
        Ok(ConfigurationSnapshot {
            // Changes after the configuration's own are reported once more.
            revision: current.version,
            stored: Some(self.decode(current)?),
            first_unreadable: Some(first_unreadable),
        })
    }

    /// Waits up to `wait` for a configuration stored after the revision; `stored` is `None` if
    /// there is none in time.
    ///
    /// # Errors
    /// See [`Error`]. After `RevisionGone`, pause, call `read_with_revision` and watch from the
    /// revision it returns.
    pub async fn watch_newer(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<ConfigurationSnapshot> {
        let watched = self.client.watch(CURRENT_KEY, after, wait).await?;
        if watched.is_own_unreadable {
            return self.read_with_revision().await;
        }
        let current = watched
            .objects
            .into_iter()
            .find(|object| object.key == CURRENT_KEY && !object.deleted);
        let current = current.map(|current| Object {
            key: current.key,
            version: current.version,
            value: current.value,
        });
        Ok(ConfigurationSnapshot {
            revision: watched.revision,
            stored: current.map(|object| self.decode(object)).transpose()?,
            first_unreadable: watched.first_unreadable,
        })
    }

    /// Stores a change if it is based on the newest generation.
    ///
    /// Accepted means stored: `Stored` and `AlreadyApplied` are returned only for a change that the
    /// platform has confirmed or that was read back.
    ///
    /// # Errors
    /// See [`Error`]. With `Effect::Possible` it is not known whether the change is stored; sending
    /// it again with the same change id is safe.
    pub async fn apply(&self, change: &Change) -> Result<Applied> {
        let newest = self.read_newest().await?;
        let newest_generation = newest
            .as_ref()
            .map_or(0, |stored| stored.configuration.generation);
        if newest_generation != change.expected_generation {
            return self.detect_repeat(change, newest.as_ref()).await;
        }
        let mut expected_version = None;
        if let Some(newest) = &newest {
            if newest.configuration.change_id == change.change_id {
                return Ok(Applied::ChangeIdReused {
                    generation: newest_generation,
                });
            }
            self.copy_to_history(&newest.configuration).await?;
            expected_version = Some(newest.version);
        }
        let next = ConfigurationDocument {
            generation: newest_generation + 1,
            change_id: change.change_id.clone(),
            author: change.author.clone(),
            document: change.document.clone(),
            ..ConfigurationDocument::default()
        };
        let stored = self
            .client
            .put_confirmed(CURRENT_KEY, expected_version, &self.encode(&next)?)
            .await;
        match stored {
            Ok(_) => {
                self.prune_history(next.generation).await;
                Ok(Applied::Stored {
                    generation: next.generation,
                })
            }
            Err(Error::Conflict { .. } | Error::EraEnded { .. }) => {
                self.detect_repeat_after_conflict(change).await
            }
            Err(error) => Err(error),
        }
    }

    /// Resolves a conflict: either another change came first, or this one was stored, its response
    /// was lost, and newer changes followed. If the store cannot be read, the change may be stored.
    async fn detect_repeat_after_conflict(&self, change: &Change) -> Result<Applied> {
        let repeat = async {
            let newest = self.read_newest().await?;
            self.detect_repeat(change, newest.as_ref()).await
        };
        repeat.await.map_err(|error| Error::Unavailable {
            effect: Effect::Possible,
            detail: format!("cannot read the stored configuration: {error}"),
            retry_after: error.retry_after().unwrap_or_default(),
        })
    }

    /// Decides, when the newest generation is not the expected one, whether the change repeats one
    /// that is already stored or conflicts with another operator's change.
    async fn detect_repeat(
        &self,
        change: &Change,
        newest: Option<&StoredConfiguration>,
    ) -> Result<Applied> {
        let newest = newest.map(|stored| &stored.configuration);
        let current_generation = newest.map_or(0, |newest| newest.generation);
        let conflict = Applied::GenerationConflict { current_generation };
        let generation = change.expected_generation.saturating_add(1);
        if generation > current_generation {
            return Ok(conflict);
        }
        let successor = match newest {
            Some(newest) if newest.generation == generation => Some(newest.clone()),
            _ => self.read_history(generation).await?,
        };
        let Some(successor) = successor else {
            return Ok(conflict);
        };
        if successor.change_id != change.change_id {
            return Ok(conflict);
        }
        if successor.document != change.document {
            return Ok(Applied::ChangeIdReused { generation });
        }
        Ok(Applied::AlreadyApplied { generation })
    }

    fn encode(&self, configuration: &ConfigurationDocument) -> Result<Value> {
        let Some(write) = self.client.codec().write_configuration else {
            let detail =
                "this platform's configuration can only be written with the operators' own tools";
            return Err(malformed(detail.to_owned()));
        };
        write(configuration).map_err(malformed)
    }

    fn decode(&self, object: Object) -> Result<StoredConfiguration> {
        let read = self.client.codec().read_configuration;
        let configuration =
            read(&object).map_err(|detail| malformed(format!("{}: {detail}", object.key)))?;
        Ok(StoredConfiguration {
            version: object.version,
            configuration,
        })
    }

    async fn read_history(&self, generation: Generation) -> Result<Option<ConfigurationDocument>> {
        let object = self.client.get(&history_key(generation)).await?;
        let stored = object.map(|object| self.decode(object)).transpose()?;
        Ok(stored.map(|stored| stored.configuration))
    }

    /// Copies a configuration to the history. A conflict means that the copy exists already:
    /// concurrent operators copy the same document.
    async fn copy_to_history(&self, configuration: &ConfigurationDocument) -> Result<()> {
        let key = history_key(configuration.generation);
        let value = self.encode(configuration)?;
        match self.client.put_confirmed(&key, None, &value).await {
            Ok(_) | Err(Error::Conflict { .. }) => Ok(()),
            Err(error) => Err(with_no_effect(error)),
        }
    }

    /// Deletes outdated entries of the history. Failed deletions are repeated with a later change.
    async fn prune_history(&self, newest_generation: Generation) {
        let Some(oldest_kept) = newest_generation.checked_sub(HISTORY_LENGTH) else {
            return;
        };
        let Ok(listing) = self.client.list_keys(HISTORY_PREFIX).await else {
            return;
        };
        let oldest_kept = history_key(oldest_kept);
        let outdated = listing
            .objects
            .into_iter()
            .filter(|object| object.key < oldest_kept);
        for object in outdated.take(PRUNE_LIMIT) {
            let deleted = self.client.delete(&object.key, object.version).await;
            if let Err(error) = deleted {
                tracing::debug!(%error, key = object.key, "cannot delete an old configuration yet");
            }
        }
    }
}

/// Returns the key of a generation, zero-padded so that keys sort in generation order.
fn history_key(generation: Generation) -> String {
    format!("{HISTORY_PREFIX}{generation:020}")
}

/// Clears the effect of a failed copy to the history: the change itself has not been sent yet.
fn with_no_effect(error: Error) -> Error {
    match error {
        Error::Unavailable {
            detail,
            retry_after,
            ..
        } => Error::Unavailable {
            effect: Effect::None,
            detail,
            retry_after,
        },
        Error::Malformed {
            detail,
            retry_after,
            ..
        } => Error::Malformed {
            effect: Effect::None,
            detail,
            retry_after,
        },
        other => other,
    }
}

fn malformed(detail: String) -> Error {
    Error::Malformed {
        effect: Effect::None,
        detail,
        retry_after: None,
    }
}
