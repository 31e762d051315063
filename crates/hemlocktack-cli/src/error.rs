//! Errors of commands, with their exit codes.

use std::process::ExitCode;

use derive_more::{Display, Error, From};
use hemlocktack_protocol::{Finding, OperatorError};

/// Result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a command did not succeed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Error {
    /// The command line or a document is invalid.
    #[display("bad usage or input")]
    #[from(skip)]
    Input {
        /// All findings, each with its place.
        findings: Vec<Finding>,
    },
    /// The system understood the request and refused it.
    #[display("refused ({}): {}", _0.code, _0.message)]
    #[from(skip)]
    Refused(#[error(not(source))] OperatorError),
    /// No valid response was received.
    #[display("{node_url} is not reachable: {cause}")]
    #[from(skip)]
    Unreachable {
        /// URL that the request was sent to.
        node_url: String,
        /// Cause of the last attempt's failure.
        cause: String,
    },
    /// The report could not be written.
    #[display("cannot write the report: {_0}")]
    Output(std::io::Error),
}

impl Error {
    /// Returns 1 if the system refused, 2 for bad usage or input, 3 if no node is reachable or the
    /// report cannot be written.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Error::Refused(refusal) if refusal.findings.is_empty() => 1,
            Error::Refused(_) | Error::Input { .. } => 2,
            Error::Unreachable { .. } | Error::Output(_) => 3,
        };
        ExitCode::from(code)
    }

    /// Returns the findings that come with the error.
    pub(crate) fn findings(&self) -> &[Finding] {
        match self {
            Error::Input { findings } => findings,
            Error::Refused(refusal) => &refusal.findings,
            Error::Unreachable { .. } | Error::Output(_) => &[],
        }
    }

    /// Returns a hint about what the operator can do next.
    pub(crate) fn help(&self) -> Option<String> {
        match self {
            Error::Refused(refusal) if refusal.current_generation > 0 => Some(format!(
                "generation {0} is stored; see `hemlocktack config show`, \
                 merge its changes and repeat with --expect-generation {0}",
                refusal.current_generation
            )),
            Error::Unreachable { .. } => {
                Some("repeating the same command is safe; any node can answer it".to_owned())
            }
            _ => None,
        }
    }
}
