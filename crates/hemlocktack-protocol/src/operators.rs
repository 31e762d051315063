//! Parts of the operators' remote procedure calls that the schema does not define.

use strum::{EnumIter, EnumString, IntoStaticStr};

/// First path segment of each call; the second is the method.
pub const OPERATORS_SERVICE: &str = "hemlocktack.v1.Operators";

/// Values of [`OperatorError::code`](crate::OperatorError::code).
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OperatorErrorCode {
    /// The body is not a message of the method.
    MalformedRequest,
    /// The body is longer than the node accepts.
    BodyTooLarge,
    /// The body is neither protobuf nor JSON.
    UnsupportedMediaType,
    /// The token is missing or wrong.
    Unauthorized,
    /// The schema has no such method.
    UnknownMethod,
    /// The node is not known.
    UnknownNode,
    /// The generation is not stored, or no longer.
    UnknownGeneration,
    /// The document has findings; nothing was stored.
    InvalidConfiguration,
    /// The stored generation is not the expected one; nothing was stored.
    GenerationConflict,
    /// Another document was stored under this change id; nothing was stored.
    ChangeIdReused,
    /// Another node that the call needs could not be reached; repeating the call is safe.
    NodeUnreachable,
    /// The platform cannot be reached; nothing was stored.
    PlatformUnavailable,
    /// The platform's response was lost, and the result of the write could not be read back; repeat
    /// the call with the same change id.
    OutcomeUnknown,
}

impl OperatorErrorCode {
    /// Returns the HTTP status of a response with this code.
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

    /// Returns whether the same request may succeed later.
    pub fn is_transient(self) -> bool {
        self.status() == 503
    }
}
