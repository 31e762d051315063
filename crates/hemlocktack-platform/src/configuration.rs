//! The operators' configuration in the platform.
//!
//! `configuration/current` alone decides what is accepted. Before it is
//! replaced, it is copied to the history, so that every replaced generation
//! can be found there: that is how a repeated change is recognised after
//! others came on top of it.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_protocol::{ConfigurationDocument, Generation};
use serde_json::Value;

use crate::{Client, Effect, Error, Object, Result, Revision, Version};

const CURRENT_KEY: &str = "configuration/current";
const HISTORY_PREFIX: &str = "configuration/history/";
/// Replaced generations that are kept: more than half a day's changes of one team.
pub const HISTORY_LENGTH: u64 = 64;
/// Each entry costs a read, so a query stays below the saved-up budget.
const HISTORY_QUERY_LIMIT: usize = 20;
/// Old entries deleted with one change; one a change keeps the length, more catches up.
const PRUNE_LIMIT: usize = 2;

/// A configuration with the version it is stored under.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfiguration {
    /// For the next conditional write.
    pub version: Version,
    /// The stored document.
    pub configuration: ConfigurationDocument,
}

/// What an answer told of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationSnapshot {
    /// Revision of the store to watch from next. It grows with every object's
    /// writes, so the store still knows it when the configuration's own version
    /// is long forgotten.
    pub revision: Revision,
    /// The configuration, where there is one, or a newer one.
    pub stored: Option<StoredConfiguration>,
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Already checked text of the document.
    pub document: String,
    /// Generation that the edit started from; 0 for the first one.
    pub expected_generation: Generation,
    /// Chosen by the operator's side, not empty; the same in each repeat.
    pub change_id: String,
    /// Who asked for it.
    pub author: String,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is stored now.
    Stored {
        /// Its generation.
        generation: Generation,
    },
    /// An earlier send of the same change stored it.
    AlreadyApplied {
        /// Its generation.
        generation: Generation,
    },
    /// The edit started from a generation that is not the newest; nothing is stored.
    GenerationConflict {
        /// The newest generation, 0 where there is none.
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
    /// A store that shares the client's budget.
    pub fn new(client: Arc<Client>) -> ConfigurationStore {
        ConfigurationStore { client }
    }

    /// The newest configuration; `None` before the first one.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn read_newest(&self) -> Result<Option<StoredConfiguration>> {
        let object = self.client.get(CURRENT_KEY).await?;
        object.map(|object| self.decode(object)).transpose()
    }

    /// A configuration by its generation; `None` where it never was or is no longer kept.
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

    /// The newest configurations, newest first, with their documents.
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

    /// The newest configuration and the revision to watch from.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn read_with_revision(&self) -> Result<ConfigurationSnapshot> {
        let listing = self.client.list(CURRENT_KEY).await?;
        let mut objects = listing.objects.into_iter();
        let current = objects.find(|object| object.key == CURRENT_KEY);
        Ok(ConfigurationSnapshot {
            revision: listing.revision,
            stored: current.map(|object| self.decode(object)).transpose()?,
        })
    }

    /// Waits for a configuration stored after the revision, `wait` at most;
    /// none where there is none in time.
    ///
    /// # Errors
    /// See [`Error`]. `RevisionGone`: to be read with `read_with_revision`, and
    /// watched from the revision that it tells, after a pause.
    pub async fn watch_newer(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<ConfigurationSnapshot> {
        let watched = self.client.watch(CURRENT_KEY, after, wait).await?;
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
        })
    }

    /// Stores a change if the newest generation is the one it started from.
    ///
    /// Accepted means stored: `Stored` and `AlreadyApplied` are said only of
    /// what the platform has confirmed or what was read back.
    ///
    /// # Errors
    /// See [`Error`]. With `Effect::Possible` it is not known whether the
    /// change is stored; to send it again with the same change id is safe.
    pub async fn apply(&self, change: &Change) -> Result<Applied> {
        let newest = self.read_newest().await?;
        let newest_generation = newest
            .as_ref()
            .map_or(0, |stored| stored.configuration.generation);
        if newest_generation != change.expected_generation {
            return self.settle(change, newest.as_ref()).await;
        }
        let mut expected_version = 0;
        if let Some(newest) = &newest {
            if newest.configuration.change_id == change.change_id {
                return Ok(Applied::ChangeIdReused {
                    generation: newest_generation,
                });
            }
            self.copy_to_history(&newest.configuration).await?;
            expected_version = newest.version;
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
            Err(Error::Conflict { .. }) => self.settle_after_conflict(change).await,
            Err(error) => Err(error),
        }
    }

    /// The conflict may be with another's change, or with ones on top of this
    /// one after its answer was lost. While that cannot be read, the change
    /// may be stored.
    async fn settle_after_conflict(&self, change: &Change) -> Result<Applied> {
        let settled = async {
            let newest = self.read_newest().await?;
            self.settle(change, newest.as_ref()).await
        };
        settled.await.map_err(|error| Error::Unavailable {
            effect: Effect::Possible,
            detail: format!("cannot read what is stored: {error}"),
            retry_after: error.retry_after().unwrap_or_default(),
        })
    }

    /// The newest generation is not the expected one: a repeat of a change
    /// that was stored, or another one's change came first.
    async fn settle(
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
        let follower = match newest {
            Some(newest) if newest.generation == generation => Some(newest.clone()),
            _ => self.read_history(generation).await?,
        };
        let Some(follower) = follower else {
            return Ok(conflict);
        };
        if follower.change_id != change.change_id {
            return Ok(conflict);
        }
        if follower.document != change.document {
            return Ok(Applied::ChangeIdReused { generation });
        }
        Ok(Applied::AlreadyApplied { generation })
    }

    fn encode(&self, configuration: &ConfigurationDocument) -> Result<Value> {
        let Some(write) = self.client.codec().write_configuration else {
            let detail = "the configuration is written with the operators' own tools";
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

    /// A conflict means that it is there: racing operators copy the same document.
    async fn copy_to_history(&self, configuration: &ConfigurationDocument) -> Result<()> {
        let key = history_key(configuration.generation);
        let value = self.encode(configuration)?;
        match self.client.put_confirmed(&key, 0, &value).await {
            Ok(_) | Err(Error::Conflict { .. }) => Ok(()),
            Err(error) => Err(without_effect(error)),
        }
    }

    /// What fails here is caught up with a later change.
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
                tracing::debug!(%error, key = object.key, "an old configuration stays for now");
            }
        }
    }
}

/// Keys sort as generations do.
fn history_key(generation: Generation) -> String {
    format!("{HISTORY_PREFIX}{generation:020}")
}

/// The change itself was not sent yet, whatever became of the history's copy.
fn without_effect(error: Error) -> Error {
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
