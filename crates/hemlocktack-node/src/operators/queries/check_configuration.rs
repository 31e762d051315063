//! `CheckConfiguration`: validates a document without storing it.

use hemlocktack_protocol::{CheckConfigurationRequest, CheckConfigurationResponse};

pub(in crate::operators) fn run(request: CheckConfigurationRequest) -> CheckConfigurationResponse {
    let checked = hemlocktack_config::parse(&request.document);
    let findings = checked.err().map(|error| error.findings);
    CheckConfigurationResponse {
        findings: findings.unwrap_or_default(),
    }
}
