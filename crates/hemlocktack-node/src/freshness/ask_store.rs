//! Questions to the platform's store: which configuration is the newest, and which nodes are
//! recorded.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::freshness::{FreshnessProof, FreshnessSettings};
use hemlocktack_platform::{
    BackoffSettings, BudgetSettings, Client, ClientSettings, ConfigurationStore, NodeRecords, Rate,
    Result, StoreRevision,
};
use hemlocktack_protocol::{BootTime, ConfigurationDocument, Generation, Incarnation};

use super::boot_clock::boot_time;

/// The schedule of the questions limits them; a budget and a backoff of their own would delay the
/// first proof after an outage.
const UNLIMITED: Rate = Rate {
    calls_per_second: 1_000.0,
    burst: 1_000.0,
};
const NO_BACKOFF: BackoffSettings = BackoffSettings {
    first: Duration::ZERO,
    longest: Duration::ZERO,
};

/// The store's contents as of one of its revisions.
#[derive(Debug, Default)]
pub(crate) struct StoreContents {
    /// `None` if it was read at two revisions, or not yet.
    revision: Option<StoreRevision>,
    /// Changes of the store's era that were known before it was read.
    era_changes: u64,
    generation: Generation,
    /// Starts of nodes that have a record.
    recorded: Vec<NodeIncarnation>,
}

impl StoreContents {
    /// Returns whether this start of any node has a record.
    pub(super) fn is_recorded(&self, incarnation: Incarnation) -> bool {
        let mut recorded = self.recorded.iter();
        recorded.any(|node| node.incarnation == incarnation)
    }

    fn proof(&self, own: &NodeIncarnation, proven_at: BootTime) -> FreshnessProof {
        FreshnessProof {
            generation: self.generation,
            proven_at,
            recorded_nodes: u32::try_from(self.recorded.len()).unwrap_or(u32::MAX),
            is_recorded: self.is_recorded(own.incarnation),
        }
    }
}

/// Answer of the store.
pub(crate) struct StoreAnswer {
    pub(super) proof: FreshnessProof,
    /// The newest configuration, if it was read again.
    pub(super) configuration: Option<ConfigurationDocument>,
}

/// Asks the store, and remembers what it held.
pub(crate) struct StoreQuestions {
    own: NodeIncarnation,
    client: Arc<Client>,
    configurations: ConfigurationStore,
    records: NodeRecords,
    contents: Mutex<Arc<StoreContents>>,
}

impl StoreQuestions {
    /// Creates the questions with a client of their own; `settings` are those of the node's client.
    pub(crate) fn new(own: NodeIncarnation, settings: ClientSettings) -> Result<Self> {
        let client = Client::new(ClientSettings {
            budget: BudgetSettings {
                reads: UNLIMITED,
                writes: UNLIMITED,
            },
            rates: None,
            backoff: NO_BACKOFF,
            // Shorter than that of other calls: a question that takes longer proves nothing useful,
            // and the next one goes out over a new connection.
            call_timeout: FreshnessSettings::default().ask_timeout,
            ..settings
        })?;
        let client = Arc::new(client);
        Ok(Self {
            own,
            configurations: ConfigurationStore::new(client.clone()),
            records: NodeRecords::new(client.clone()),
            client,
            contents: Mutex::default(),
        })
    }

    /// Returns what the store held when it was last read.
    pub(super) fn contents(&self) -> Arc<StoreContents> {
        let contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        contents.clone()
    }

    /// Asks the store for the newest configuration.
    ///
    /// As long as the store's revision and era are the same, nothing in it has changed, so that a
    /// question costs an answer of some bytes and not the whole configuration.
    pub(super) async fn ask(&self) -> Result<StoreAnswer> {
        let known = self.contents();
        let asked_at = boot_time();
        let revision = self.client.revision().await?;
        let is_same_era = known.era_changes == self.client.eras().seen().changes;
        if is_same_era && known.revision == Some(revision) {
            return Ok(StoreAnswer {
                proof: known.proof(&self.own, asked_at),
                configuration: None,
            });
        }
        self.read().await
    }

    async fn read(&self) -> Result<StoreAnswer> {
        let asked_at = boot_time();
        let era_changes = self.client.eras().seen().changes;
        let (configuration, records) = futures::try_join!(
            self.configurations.read_with_revision(),
            self.records.list()
        )?;
        let stored = configuration.stored.map(|stored| stored.configuration);
        let is_one_state = configuration.revision == records.revision;
        let members = records.nodes.into_iter().map(|node| node.member);
        let contents = StoreContents {
            revision: is_one_state.then_some(records.revision),
            era_changes,
            generation: stored.as_ref().map_or(0, |stored| stored.generation),
            recorded: members
                .map(|member| NodeIncarnation::new(member.node_id.as_str(), member.incarnation))
                .collect(),
        };
        let contents = Arc::new(contents);
        let proof = contents.proof(&self.own, asked_at);
        *self.contents.lock().unwrap_or_else(PoisonError::into_inner) = contents;
        Ok(StoreAnswer {
            proof,
            configuration: stored,
        })
    }
}
