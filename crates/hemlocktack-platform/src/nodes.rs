//! One record per node, through which other nodes and operators discover it.
//!
//! Records are only hints; no guarantee depends on them. Nodes detect each other's failures
//! themselves, so a record is refreshed rarely.

use std::sync::{Arc, Mutex, PoisonError};

use hemlocktack_protocol::{Incarnation, Member};
use serde_json::Value;

use crate::{Client, Effect, Error, Object, Result, StoreRevision};

const PREFIX: &str = "nodes/";
/// Attempts of one publication; after as many conflicting writes the next refresh tries again.
const ATTEMPT_LIMIT: usize = 3;

/// Result of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Publication {
    /// The record is stored.
    Published(RecordChange),
    /// A later start of the same node has written the record; it was not overwritten.
    Replaced {
        /// Incarnation of the later start.
        by_incarnation: Incarnation,
    },
}

/// How a published record changed the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// The node had no record.
    Created,
    /// The record of an earlier start was replaced.
    ReplacedEarlierStart {
        /// Link address of the earlier start.
        link_address: String,
    },
    /// This start's own record was replaced.
    Refreshed,
}

/// A record with its stored version.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedNode {
    /// Version to pass to `delete`.
    pub version: StoreRevision,
    /// The node's description of itself.
    pub member: Member,
}

/// All records at one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedNodes {
    /// Revision at which the records were read.
    pub revision: StoreRevision,
    /// Records in order of node ids.
    pub nodes: Vec<PublishedNode>,
    /// Keys of records that cannot be decoded or name another node; the others are returned all the same.
    pub malformed_keys: Vec<String>,
    /// Number of listed entries that are not even objects with a key.
    pub unreadable_count: usize,
    /// Place of the first such entry in the response.
    pub first_unreadable: Option<String>,
}

impl PublishedNodes {
    /// Returns whether a record that cannot be decoded is stored under the node's name.
    pub fn is_malformed(&self, node_id: &str) -> bool {
        self.malformed_keys.contains(&key(node_id))
    }
}

/// Publishes this node's record and reads those of the others.
#[derive(Debug)]
pub struct NodeRecords {
    client: Arc<Client>,
    /// Version of this node's record; `None` until this start has published it.
    own_version: Mutex<Option<StoreRevision>>,
}

impl NodeRecords {
    /// Creates a store of records that uses the client and its budget.
    pub fn new(client: Arc<Client>) -> NodeRecords {
        NodeRecords {
            client,
            own_version: Mutex::new(None),
        }
    }

    /// Stores this node's record.
    ///
    /// Replaces the record of an earlier start. Once this start has published, a record that does
    /// not rank below it may belong to a later start that replaced this process while it was
    /// paused. That record is kept: otherwise both processes would overwrite each other's record
    /// forever. Another writer can store such a record, too, so it proves nothing.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn publish(&self, member: &Member) -> Result<Publication> {
        self.publish_over(member, None).await
    }

    /// Like `publish`, but also replaces the record of an incarnation that is known to be no later
    /// start.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn publish_over(
        &self,
        member: &Member,
        no_start: Option<Incarnation>,
    ) -> Result<Publication> {
        let key = key(&member.node_id);
        let value = serde_json::to_value(member).map_err(|error| malformed(&key, &error))?;
        let mut expected_version = self.own_version();
        let mut change = match self.own_version() {
            Some(_) => RecordChange::Refreshed,
            None => RecordChange::Created,
        };
        for _ in 0..ATTEMPT_LIMIT {
            let stored = self.client.put_confirmed(&key, expected_version, &value);
            match stored.await {
                Ok(version) => {
                    self.set_own_version(Some(version));
                    return Ok(Publication::Published(change));
                }
                Err(Error::Conflict { .. } | Error::EraEnded { .. }) => {}
                Err(error) => return Err(error),
            }
            let found = self.client.get(&key).await?;
            let replaced_by = self.replaced_by(member, found.as_ref());
            if let Some(by_incarnation) = replaced_by.filter(|by| Some(*by) != no_start) {
                return Ok(Publication::Replaced { by_incarnation });
            }
            expected_version = found.as_ref().map(|object| object.version);
            change = change_of(member, found);
        }
        Err(Error::Conflict {
            current_version: expected_version.map_or(0, |version| version.number),
        })
    }

    /// Reads the record that is stored under a node's name; `None` if there is none or it cannot be
    /// decoded.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn read(&self, node_id: &str) -> Result<Option<Member>> {
        let object = self.client.get(&key(node_id)).await?;
        Ok(object.and_then(|object| decode(object.value)))
    }

    /// Deletes this node's record at a planned stop.
    ///
    /// # Errors
    /// See [`Error`]; `Conflict` if another start has written the record since.
    pub async fn withdraw(&self, node_id: &str) -> Result<()> {
        let Some(version) = self.own_version() else {
            return Ok(());
        };
        self.client.delete(&key(node_id), version).await?;
        self.set_own_version(None);
        Ok(())
    }

    /// Lists all records.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn list(&self) -> Result<PublishedNodes> {
        let listing = self.client.list(PREFIX).await?;
        let mut nodes = Vec::new();
        let mut malformed_keys = Vec::new();
        for object in listing.objects {
            let Object {
                key,
                version,
                value,
            } = object;
            let member = decode(value).filter(|member| self::key(&member.node_id) == key);
            match member {
                Some(member) => nodes.push(PublishedNode { version, member }),
                None => malformed_keys.push(key),
            }
        }
        Ok(PublishedNodes {
            revision: listing.revision,
            nodes,
            malformed_keys,
            unreadable_count: listing.unreadable_count,
            first_unreadable: listing.first_unreadable,
        })
    }

    /// Deletes the record of a node that is gone, unless it has changed since it was read.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn delete(&self, node: &PublishedNode) -> Result<()> {
        let key = key(&node.member.node_id);
        self.client.delete(&key, node.version).await
    }

    fn replaced_by(&self, own: &Member, found: Option<&Object>) -> Option<Incarnation> {
        self.own_version()?;
        let found = decode(found?.value.clone())?;
        let is_earlier_start = found.start_order < own.start_order;
        let is_other_start = found.incarnation != own.incarnation && !is_earlier_start;
        is_other_start.then_some(found.incarnation)
    }

    fn own_version(&self) -> Option<StoreRevision> {
        *self
            .own_version
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn set_own_version(&self, version: Option<StoreRevision>) {
        *self
            .own_version
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = version;
    }
}

/// Returns the change that replacing the record that was found will be. A record of the same start
/// whose write was not confirmed counts as created now.
fn change_of(own: &Member, found: Option<Object>) -> RecordChange {
    let earlier = found.and_then(|object| decode(object.value));
    match earlier.filter(|earlier| earlier.incarnation != own.incarnation) {
        Some(earlier) => RecordChange::ReplacedEarlierStart {
            link_address: earlier.link_address,
        },
        None => RecordChange::Created,
    }
}

fn key(node_id: &str) -> String {
    format!("{PREFIX}{node_id}")
}

fn decode(value: Value) -> Option<Member> {
    serde_json::from_value(value).ok()
}

fn malformed(key: &str, error: &serde_json::Error) -> Error {
    Error::Malformed {
        effect: Effect::None,
        detail: format!("{key}: {error}"),
        retry_after: None,
    }
}
