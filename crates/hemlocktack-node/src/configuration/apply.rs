//! Command: store a change in the platform.

use hemlocktack_platform::{Applied, Change, ConfigurationStore};
use hemlocktack_protocol::{
    ApplyConfigurationRequest, ApplyConfigurationResponse, Finding, Generation,
};

use crate::node::Node;

/// Why a change was not accepted.
pub(crate) enum ApplyError {
    Findings(Vec<Finding>),
    Conflict { current_generation: Generation },
    Platform(String),
}

/// Checks the document and stores it if the expected generation is the newest.
pub(crate) async fn apply(
    node: &Node,
    request: ApplyConfigurationRequest,
) -> Result<ApplyConfigurationResponse, ApplyError> {
    if let Err(error) = hemlocktack_config::parse(&request.document) {
        return Err(ApplyError::Findings(error.findings));
    }
    let change = Change {
        document: request.document,
        expected_generation: request.expected_generation,
        change_id: request.change_id,
        author: request.author,
    };
    let store = ConfigurationStore::new(node.platform.clone());
    match store.apply(&change).await {
        Ok(Applied::Stored { generation }) => Ok(ApplyConfigurationResponse {
            generation,
            already_applied: false,
        }),
        Ok(Applied::AlreadyApplied { generation }) => Ok(ApplyConfigurationResponse {
            generation,
            already_applied: true,
        }),
        Ok(Applied::GenerationConflict { current_generation }) => {
            Err(ApplyError::Conflict { current_generation })
        }
        Ok(Applied::ChangeIdReused { generation }) => Err(ApplyError::Conflict {
            current_generation: generation,
        }),
        Err(error) => Err(ApplyError::Platform(error.to_string())),
    }
}
