//! One record a node, from which other nodes and operators learn of it.
//!
//! A hint: no promise rests on it. Nodes learn of each other's end from each
//! other, so a record is refreshed seldom.

use std::sync::{Arc, Mutex, PoisonError};

use hemlocktack_protocol::{Incarnation, Member};
use serde_json::Value;

use crate::{Client, Effect, Error, Object, Result, Revision, Version};

const PREFIX: &str = "nodes/";
/// The record changed under a publication this many times: leave it for the next refresh.
const TRY_LIMIT: usize = 3;

/// What became of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Publication {
    /// The record is stored.
    Published,
    /// A later start of the same node has the record; it was left alone.
    Replaced {
        /// The other start.
        by_incarnation: Incarnation,
    },
}

/// A record with the version it is stored under.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedNode {
    /// For `delete`.
    pub version: Version,
    /// What the node says of itself.
    pub member: Member,
}

/// All records at one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedNodes {
    /// Revision they were read at.
    pub revision: Revision,
    /// In order of node ids.
    pub nodes: Vec<PublishedNode>,
    /// Records that cannot be read; the others are of use all the same.
    pub malformed_keys: Vec<String>,
    /// Entries among them that are not even records with a key.
    pub unreadable_count: usize,
}

/// Publishes the own record and reads the others.
#[derive(Debug)]
pub struct NodeRecords {
    client: Arc<Client>,
    /// Version of the own record; `None` until this start has published it.
    own_version: Mutex<Option<Version>>,
}

impl NodeRecords {
    /// Records that share the client's budget.
    pub fn new(client: Arc<Client>) -> NodeRecords {
        NodeRecords {
            client,
            own_version: Mutex::new(None),
        }
    }

    /// Stores the own record.
    ///
    /// The record of an earlier start is replaced. Once this start has
    /// published, a record of another incarnation is a later start's: this
    /// process was paused and its place taken, and were it to write on, each
    /// would replace the other's record for ever.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn publish(&self, member: &Member) -> Result<Publication> {
        let key = key(&member.node_id);
        let value = serde_json::to_value(member).map_err(|error| malformed(&key, &error))?;
        let mut expected_version = self.own_version().unwrap_or(0);
        for _ in 0..TRY_LIMIT {
            let stored = self.client.put_confirmed(&key, expected_version, &value);
            match stored.await {
                Ok(version) => {
                    self.set_own_version(Some(version));
                    return Ok(Publication::Published);
                }
                Err(Error::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
            let found = self.client.get(&key).await?;
            if let Some(by_incarnation) = self.later_start(member, found.as_ref()) {
                return Ok(Publication::Replaced { by_incarnation });
            }
            expected_version = found.map_or(0, |object| object.version);
        }
        Err(Error::Conflict {
            current_version: expected_version,
        })
    }

    /// Deletes the own record at a planned stop.
    ///
    /// # Errors
    /// See [`Error`]; `Conflict` where another start has the record by now.
    pub async fn withdraw(&self, node_id: &str) -> Result<()> {
        let Some(version) = self.own_version() else {
            return Ok(());
        };
        self.client.delete(&key(node_id), version).await?;
        self.set_own_version(None);
        Ok(())
    }

    /// All records.
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
            match decode(value) {
                Some(member) => nodes.push(PublishedNode { version, member }),
                None => malformed_keys.push(key),
            }
        }
        Ok(PublishedNodes {
            revision: listing.revision,
            nodes,
            malformed_keys,
            unreadable_count: listing.unreadable_count,
        })
    }

    /// Deletes the record of a node that is gone, if it is still the one that was read.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn delete(&self, node: &PublishedNode) -> Result<()> {
        let key = key(&node.member.node_id);
        self.client.delete(&key, node.version).await
    }

    fn later_start(&self, own: &Member, found: Option<&Object>) -> Option<Incarnation> {
        self.own_version()?;
        let found = decode(found?.value.clone())?;
        (found.incarnation != own.incarnation).then_some(found.incarnation)
    }

    fn own_version(&self) -> Option<Version> {
        *self
            .own_version
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn set_own_version(&self, version: Option<Version>) {
        *self
            .own_version
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = version;
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
