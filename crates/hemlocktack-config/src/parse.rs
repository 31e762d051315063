//! Parses and checks the text of a document; reports all findings at once.

use derive_more::{Display, Error};
use hemlocktack_protocol::Finding;
use toml::de::DeTable;

use crate::bounds::DOCUMENT_LIMIT_BYTES;
use crate::places;
use crate::table_reader::ParseState;
use crate::{Document, check, read};

/// Result of reading a document.
pub type Result<T> = std::result::Result<T, Error>;

/// An invalid document, with all findings.
#[derive(Clone, Debug, Display, Error)]
#[display("the configuration has {} findings", findings.len())]
pub struct Error {
    /// The findings, ordered by line.
    pub findings: Vec<Finding>,
}

/// Parses and checks a document.
///
/// # Errors
/// Returns all findings, each with its place, if there are any.
pub fn parse(text: &str) -> Result<Document> {
    let mut state = ParseState::new(text);
    check_size(text, &mut state);
    state.fail_on_findings()?;
    let (table, faults) = DeTable::parse_recoverable(text);
    add_syntax_findings(&faults, &mut state);
    state.fail_on_findings()?;
    let document = read::document(table.get_ref(), &mut state);
    let relations = check::document(&document);
    add_check_findings(relations, &mut state);
    state.fail_on_findings()?;
    Ok(document)
}

impl ParseState {
    fn fail_on_findings(&mut self) -> Result<()> {
        if self.findings.is_empty() {
            return Ok(());
        }
        let mut findings = std::mem::take(&mut self.findings);
        findings.sort_by_key(|finding| finding.line);
        Err(Error { findings })
    }
}

fn check_size(text: &str, state: &mut ParseState) {
    if text.len() <= DOCUMENT_LIMIT_BYTES {
        return;
    }
    let label = format!("the document is {} bytes long", text.len());
    let help = format!("the maximum is {DOCUMENT_LIMIT_BYTES}");
    state.add("", label, help);
}

/// Adds the TOML syntax errors. The text around them cannot be interpreted reliably, so nothing
/// else is checked until they are fixed.
fn add_syntax_findings(faults: &[toml::de::Error], state: &mut ParseState) {
    for fault in faults {
        let line = fault
            .span()
            .map_or(0, |span| state.places.line_of_offset(span.start));
        state.findings.push(Finding {
            place: String::new(),
            line,
            label: fault.message().to_owned(),
            help: "fix the TOML syntax; everything else is checked after that".to_owned(),
        });
    }
}

/// Adds the findings of the checks between fields, except those at places that could not be read:
/// their placeholder values would be reported a second time.
fn add_check_findings(relations: Vec<Finding>, state: &mut ParseState) {
    let unreadable = state
        .findings
        .iter()
        .map(|finding| finding.place.clone())
        .collect::<Vec<_>>();
    for mut finding in relations {
        let is_unreadable = |place: &String| places::is_within(&finding.place, place);
        if unreadable.iter().any(is_unreadable) {
            continue;
        }
        finding.line = state.places.line(&finding.place);
        state.findings.push(finding);
    }
}
