//! From text to a checked document, or to all findings at once.

use derive_more::{Display, Error};
use hemlocktack_protocol::Finding;
use toml::de::DeTable;

use crate::bounds::DOCUMENT_LIMIT_BYTES;
use crate::entry::Reading;
use crate::places;
use crate::{Document, check, read};

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
///
/// # Errors
/// All findings, each with its place; nothing is taken then.
pub fn parse(text: &str) -> Result<Document> {
    let mut reading = Reading::new(text);
    check_size(text, &mut reading);
    reading.end_if_faulty()?;
    let (table, faults) = DeTable::parse_recoverable(text);
    add_syntax_faults(&faults, &mut reading);
    reading.end_if_faulty()?;
    let document = read::document(table.get_ref(), &mut reading);
    let relations = check::document(&document);
    add_relations(relations, &mut reading);
    reading.end_if_faulty()?;
    Ok(document)
}

impl Reading {
    fn end_if_faulty(&mut self) -> Result<()> {
        if self.findings.is_empty() {
            return Ok(());
        }
        let mut findings = std::mem::take(&mut self.findings);
        findings.sort_by_key(|finding| finding.line);
        Err(Error { findings })
    }
}

fn check_size(text: &str, reading: &mut Reading) {
    if text.len() <= DOCUMENT_LIMIT_BYTES {
        return;
    }
    let label = format!("the document has {} bytes", text.len());
    let help = format!("keep it to {DOCUMENT_LIMIT_BYTES}");
    reading.add("", label, help);
}

/// Faults of the notation itself. What stands around them cannot be trusted,
/// so that nothing else is checked until they are mended.
fn add_syntax_faults(faults: &[toml::de::Error], reading: &mut Reading) {
    for fault in faults {
        let line = fault
            .span()
            .map_or(0, |span| reading.places.line_of_offset(span.start));
        reading.findings.push(Finding {
            place: String::new(),
            line,
            label: fault.message().to_owned(),
            help: "mend the notation (TOML); the rest is checked after that".to_owned(),
        });
    }
}

/// Adds what the check of relations found, but for places that could not be
/// read: their stand-in value would be reported a second time.
fn add_relations(relations: Vec<Finding>, reading: &mut Reading) {
    let unread = reading
        .findings
        .iter()
        .map(|finding| finding.place.clone())
        .collect::<Vec<_>>();
    for mut finding in relations {
        let is_unread = |place: &String| places::is_within(&finding.place, place);
        if unread.iter().any(is_unread) {
            continue;
        }
        finding.line = reading.places.line(&finding.place);
        reading.findings.push(finding);
    }
}
