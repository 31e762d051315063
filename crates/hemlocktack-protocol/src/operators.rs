//! What both ends of the operators' remote procedure calls have to agree on
//! beside the schema.

use strum::{EnumIter, EnumString, IntoStaticStr};

/// First part of the path of each call; the method is the second.
pub const OPERATORS_SERVICE: &str = "hemlocktack.v1.Operators";

/// Values of [`OperatorError::code`](crate::OperatorError::code).
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OperatorErrorCode {
    /// The body is not a message of the method.
    MalformedRequest,
    /// The body is longer than the node takes.
    BodyTooLarge,
    /// The body is neither protobuf nor JSON.
    UnsupportedMediaType,
    /// No token, or not the right one.
    Unauthorized,
    /// The schema has no such method.
    UnknownMethod,
    /// No such node is known.
    UnknownNode,
    /// No such generation is kept.
    UnknownGeneration,
    /// The document has findings; nothing was stored.
    InvalidConfiguration,
    /// The stored generation is not the expected one; nothing was stored.
    GenerationConflict,
    /// Another document was stored under this change id; nothing was stored.
    ChangeIdReused,
    /// Another node that had to take part could not be reached; repeating is safe.
    NodeUnreachable,
    /// The platform cannot be reached; nothing was stored.
    PlatformUnavailable,
    /// The platform's answer was lost, and what became of the write could not be
    /// read back; repeat with the same change id.
    OutcomeUnknown,
}

impl OperatorErrorCode {
    /// HTTP status of an answer with this code.
    pub fn status(self) -> u16 {
        match self {
            OperatorErrorCode::MalformedRequest => 400,
            OperatorErrorCode::Unauthorized => 401,
            OperatorErrorCode::UnknownMethod
            | OperatorErrorCode::UnknownNode
            | OperatorErrorCode::UnknownGeneration => 404,
            OperatorErrorCode::GenerationConflict | OperatorErrorCode::ChangeIdReused => 409,
            OperatorErrorCode::BodyTooLarge => 413,
            OperatorErrorCode::UnsupportedMediaType => 415,
            OperatorErrorCode::InvalidConfiguration => 422,
            OperatorErrorCode::NodeUnreachable
            | OperatorErrorCode::PlatformUnavailable
            | OperatorErrorCode::OutcomeUnknown => 503,
        }
    }

    /// Whether the same request may succeed a little later.
    pub fn is_transient(self) -> bool {
        self.status() == 503
    }
}
