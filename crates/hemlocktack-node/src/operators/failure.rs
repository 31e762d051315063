//! Errors of operators' requests.

use hemlocktack_platform::{Effect, Error as PlatformError};
use hemlocktack_protocol::{Finding, Generation, OperatorError, OperatorErrorCode};

/// Result of an operator's request.
pub(crate) type Result<T> = std::result::Result<T, Failure>;

/// A failed request, with the details that the operator is told.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) code: OperatorErrorCode,
    message: String,
    findings: Vec<Finding>,
    current_generation: Generation,
}

impl Failure {
    pub(crate) fn new(code: OperatorErrorCode, message: impl Into<String>) -> Self {
        Failure {
            code,
            message: message.into(),
            findings: Vec::new(),
            current_generation: 0,
        }
    }

    pub(crate) fn with_findings(self, findings: Vec<Finding>) -> Self {
        Failure { findings, ..self }
    }

    pub(crate) fn with_current_generation(self, current_generation: Generation) -> Self {
        Failure {
            current_generation,
            ..self
        }
    }

    /// Converts a failed request to the platform.
    ///
    /// Only a write whose response was lost may have taken effect. The operator is told
    /// that the outcome is unknown and that the same change may be sent again.
    pub(crate) fn from_platform(error: &PlatformError) -> Self {
        let code = match error {
            PlatformError::TooLarge { .. } => OperatorErrorCode::BodyTooLarge,
            error if error.effect() == Effect::Possible => OperatorErrorCode::OutcomeUnknown,
            _ => OperatorErrorCode::PlatformUnavailable,
        };
        Failure::new(code, error.to_string())
    }

    pub(crate) fn into_message(self) -> OperatorError {
        OperatorError {
            code: <&'static str>::from(self.code).to_owned(),
            message: self.message,
            findings: self.findings,
            current_generation: self.current_generation,
        }
    }
}
