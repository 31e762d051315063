//! `ApplyConfiguration`: stores a document as the next generation.

use hemlocktack_platform::{Applied, Change, ConfigurationStore};
use hemlocktack_protocol::{
    ApplyConfigurationRequest, ApplyConfigurationResponse, ConfigurationDocument, OperatorErrorCode,
};
use hemlocktack_telemetry::{Event, log_event};

use crate::configuration;
use crate::node::Node;
use crate::operators::{Failure, Result};

/// Limit of change ids and authors, which are stored with each generation and displayed.
const NAME_LIMIT_CHARACTERS: usize = 128;

/// Stores the document. Success is returned only once the platform has confirmed the write,
/// or if a repeated request finds its document already stored.
pub(in crate::operators) async fn run(
    node: &Node,
    request: ApplyConfigurationRequest,
) -> Result<ApplyConfigurationResponse> {
    check_name("change_id", &request.change_id)?;
    check_name("author", &request.author)?;
    check_document(&request.document)?;
    let change = Change {
        document: request.document,
        expected_generation: request.expected_generation,
        change_id: request.change_id,
        author: request.author,
    };
    let store = ConfigurationStore::new(node.platform.clone());
    let applied = store.apply(&change).await;
    let response = answer(
        applied.map_err(|error| Failure::from_platform(&error))?,
        &change,
    )?;
    let stored = ConfigurationDocument {
        generation: response.generation,
        change_id: change.change_id.clone(),
        author: change.author.clone(),
        document: change.document.clone(),
        ..ConfigurationDocument::default()
    };
    node.send_configuration_event(configuration::Event::DocumentFound(stored))
        .await;
    log_event!(
        Event::ConfigurationStored,
        generation = response.generation,
        author = %change.author.escape_debug(),
        already_applied = response.already_applied
    );
    Ok(response)
}

fn check_name(field: &str, name: &str) -> Result<()> {
    let length = name.chars().count();
    let is_printable = !name.chars().any(char::is_control);
    if (1..=NAME_LIMIT_CHARACTERS).contains(&length) && is_printable {
        return Ok(());
    }
    let message = format!("{field} must have 1 to {NAME_LIMIT_CHARACTERS} printable characters");
    Err(Failure::new(OperatorErrorCode::MalformedRequest, message))
}

fn check_document(document: &str) -> Result<()> {
    let Err(invalid) = hemlocktack_config::parse(document) else {
        return Ok(());
    };
    let message = format!("{invalid}; nothing was stored");
    let failure = Failure::new(OperatorErrorCode::InvalidConfiguration, message);
    Err(failure.with_findings(invalid.findings))
}

fn answer(applied: Applied, change: &Change) -> Result<ApplyConfigurationResponse> {
    match applied {
        Applied::Stored { generation } => Ok(ApplyConfigurationResponse {
            generation,
            already_applied: false,
        }),
        Applied::AlreadyApplied { generation } => Ok(ApplyConfigurationResponse {
            generation,
            already_applied: true,
        }),
        Applied::GenerationConflict { current_generation } => {
            let message = format!(
                "generation {} was expected, but {current_generation} is stored",
                change.expected_generation
            );
            let failure = Failure::new(OperatorErrorCode::GenerationConflict, message);
            Err(failure.with_current_generation(current_generation))
        }
        Applied::ChangeIdReused { generation } => {
            let message =
                format!("generation {generation} has this change id with a different document");
            Err(Failure::new(OperatorErrorCode::ChangeIdReused, message))
        }
    }
}
