//! `ShowConfiguration`: a stored document.

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

/// The newest one is what the platform says: what is in force here may be a
/// few seconds older, and an edit of it would be refused as a conflict.
async fn newest(node: &Node) -> Result<Option<ConfigurationDocument>> {
    let store = ConfigurationStore::new(node.platform.clone());
    let newest = store.read_newest().await.map_err(|error| {
        let in_force = node.active_configuration();
        let generation = in_force.map_or(0, |in_force| in_force.generation);
        Failure::of_platform(&error).with_current_generation(generation)
    })?;
    Ok(newest.map(|stored| stored.configuration))
}

/// A generation never changes, so the one in force needs no platform.
async fn one(node: &Node, generation: Generation) -> Result<ConfigurationDocument> {
    if let Some(in_force) = node.active_configuration()
        && in_force.generation == generation
    {
        return Ok(in_force.stored.clone());
    }
    let store = ConfigurationStore::new(node.platform.clone());
    let stored = store.read(generation).await;
    let stored = stored.map_err(|error| Failure::of_platform(&error))?;
    stored.ok_or_else(|| {
        let message = format!("generation {generation} is not kept, or does not exist yet");
        Failure::new(OperatorErrorCode::UnknownGeneration, message)
    })
}
