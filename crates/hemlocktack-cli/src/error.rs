//! Why a command did not succeed, and its exit code.

use std::process::ExitCode;

use derive_more::{Display, Error, From};
use hemlocktack_protocol::{Finding, OperatorError};

/// Result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a command did not succeed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Error {
    /// Bad usage or a bad document, with all findings.
    #[display("bad usage or input")]
    #[from(skip)]
    Input {
        /// Each with its place.
        findings: Vec<Finding>,
    },
    /// The system understood the request and refused it.
    #[display("refused ({}): {}", _0.code, _0.message)]
    #[from(skip)]
    Refused(#[error(not(source))] OperatorError),
    /// No answer that could be understood came.
    #[display("{node_url} is not reachable: {cause}")]
    #[from(skip)]
    Unreachable {
        /// Where the request went.
        node_url: String,
        /// What happened at the last try.
        cause: String,
    },
    /// The report could not be written.
    #[display("cannot write the report: {_0}")]
    Output(std::io::Error),
}

impl Error {
    /// 1 refused by the system, 2 bad usage or input, 3 not reachable.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Error::Refused(refusal) if refusal.findings.is_empty() => 1,
            Error::Refused(_) | Error::Input { .. } => 2,
            Error::Unreachable { .. } | Error::Output(_) => 3,
        };
        ExitCode::from(code)
    }

    /// Findings that come with the error.
    pub(crate) fn findings(&self) -> &[Finding] {
        match self {
            Error::Input { findings } => findings,
            Error::Refused(refusal) => &refusal.findings,
            Error::Unreachable { .. } | Error::Output(_) => &[],
        }
    }

    /// What the operator can do next.
    pub(crate) fn help(&self) -> Option<String> {
        match self {
            Error::Refused(refusal) if refusal.current_generation > 0 => Some(format!(
                "generation {0} is stored; look at `hemlocktack config show`, \
                 take its changes in and repeat with --expect-generation {0}",
                refusal.current_generation
            )),
            Error::Unreachable { .. } => {
                Some("repeating the same command is safe; any node answers".to_owned())
            }
            _ => None,
        }
    }
}
