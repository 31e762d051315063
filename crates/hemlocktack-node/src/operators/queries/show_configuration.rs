//! `ShowConfiguration`: returns a stored document.

use hemlocktack_platform::ConfigurationStore;
use hemlocktack_protocol::{
    ConfigurationDocument, Generation, OperatorErrorCode, ShowConfigurationRequest,
    ShowConfigurationResponse,
};

use crate::node::Node;
use crate::operators::{Failure, Result};

pub(in crate::operators) async fn run(
    node: &Node,
    request: ShowConfigurationRequest,
) -> Result<ShowConfigurationResponse> {
    let configuration = match request.generation {
        0 => newest(node).await?,
        generation => Some(one(node, generation).await?),
    };
    Ok(ShowConfigurationResponse { configuration })
}

/// Reads the newest document from the platform. The one that is active here may be a few
/// seconds older, and an edit of it would be refused as a conflict.
async fn newest(node: &Node) -> Result<Option<ConfigurationDocument>> {
    let store = ConfigurationStore::new(node.platform.clone());
    let newest = store.read_newest().await.map_err(|error| {
        let active = node.active_configuration();
        let generation = active.map_or(0, |active| active.generation);
        Failure::from_platform(&error).with_current_generation(generation)
    })?;
    Ok(newest.map(|stored| stored.configuration))
}

/// Returns the document of a generation. A generation never changes, so the active one is
/// returned without a read from the platform.
async fn one(node: &Node, generation: Generation) -> Result<ConfigurationDocument> {
    if let Some(active) = node.active_configuration()
        && active.generation == generation
    {
        return Ok(active.stored.clone());
    }
    let store = ConfigurationStore::new(node.platform.clone());
    let stored = store.read(generation).await;
    let stored = stored.map_err(|error| Failure::from_platform(&error))?;
    stored.ok_or_else(|| {
        let message = format!("generation {generation} is no longer kept or does not exist yet");
        Failure::new(OperatorErrorCode::UnknownGeneration, message)
    })
}
