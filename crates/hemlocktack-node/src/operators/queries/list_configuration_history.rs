//! `ListConfigurationHistory`: lists the latest changes of the configuration.

use hemlocktack_platform::ConfigurationStore;
use hemlocktack_protocol::{
    ConfigurationChange, ConfigurationDocument, ListConfigurationHistoryRequest,
    ListConfigurationHistoryResponse,
};

use crate::node::Node;
use crate::operators::{Failure, Result};

/// Largest number of entries; each one costs the platform a read.
const MAX_ENTRIES: usize = 20;

pub(in crate::operators) async fn run(
    node: &Node,
    request: ListConfigurationHistoryRequest,
) -> Result<ListConfigurationHistoryResponse> {
    let limit = match request.limit {
        0 => MAX_ENTRIES,
        limit => (limit as usize).min(MAX_ENTRIES),
    };
    let store = ConfigurationStore::new(node.platform.clone());
    let history = store.history(limit).await;
    let history = history.map_err(|error| Failure::from_platform(&error))?;
    Ok(ListConfigurationHistoryResponse {
        changes: history.into_iter().map(change).collect(),
    })
}

fn change(stored: ConfigurationDocument) -> ConfigurationChange {
    ConfigurationChange {
        generation: stored.generation,
        change_id: stored.change_id,
        author: stored.author,
    }
}
