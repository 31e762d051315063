//! From text to a checked document, or to all findings at once.

use derive_more::{Display, Error};
use hemlocktack_protocol::Finding;

use crate::Document;

/// Result of reading a document.
pub type Result<T> = std::result::Result<T, Error>;

/// A document that cannot be taken, with everything found wrong.
#[derive(Clone, Debug, Display, Error)]
#[display("the configuration has {} findings", findings.len())]
pub struct Error {
    /// Each with its place.
    pub findings: Vec<Finding>,
}

/// Reads and checks a document.
pub fn parse(text: &str) -> Result<Document> {
    toml::from_str(text).map_err(|error| Error {
        findings: vec![Finding {
            place: String::new(),
            line: 0,
            label: error.message().to_owned(),
            help: String::new(),
        }],
    })
}
