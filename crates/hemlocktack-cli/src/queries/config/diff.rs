//! `config diff`: shows what a document would change.

use hemlocktack_config::{Change, Document, diff, parse};
use hemlocktack_protocol::ShowConfigurationRequest;
use serde::Serialize;

use crate::arguments::Arguments;
use crate::error::{Error, Result};
use crate::output::Output;
use crate::rpc::methods::SHOW_CONFIGURATION;
use crate::signature::{Effect, Example, Signature, no_flags};

pub(crate) const SIGNATURE: Signature = Signature {
    words: "config diff",
    operands: "FILE",
    effect: Effect::Query,
    summary: "Show the differences between the newest stored document and this one.",
    flags: no_flags,
    examples: &[Example {
        line: "config diff docs/examples/bhadralok.toml",
        meaning: "list the changes before a review",
    }],
    run,
};

/// Report of the differences.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Difference {
    generation: u64,
    changes: Vec<ChangeLine>,
}

/// One change.
#[derive(Serialize)]
struct ChangeLine {
    kind: &'static str,
    text: String,
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let new = arguments.document().document;
    let client = arguments.client();
    arguments.finish()?;
    let newest = ShowConfigurationRequest { generation: 0 };
    let response = client.call(&SHOW_CONFIGURATION, &newest)?;
    let stored = response.configuration.unwrap_or_default();
    let old = stored_document(&stored.document)?;
    let changes = diff(&old, &new).iter().map(change_line).collect();
    let difference = Difference {
        generation: stored.generation,
        changes,
    };
    output.report(&difference.to_text(), &difference)
}

/// Parses the stored document. Before the first change there is none, and the default is returned.
fn stored_document(text: &str) -> Result<Document> {
    if text.is_empty() {
        return Ok(Document::default());
    }
    parse(text).map_err(|invalid| Error::Input {
        findings: invalid.findings,
    })
}

fn change_line(change: &Change) -> ChangeLine {
    ChangeLine {
        kind: change.into(),
        text: change.to_string(),
    }
}

impl Difference {
    fn to_text(&self) -> String {
        let mut text = match self.changes.len() {
            0 => format!("no difference to generation {}\n", self.generation),
            1 => format!("1 change to generation {}\n", self.generation),
            count => format!("{count} changes to generation {}\n", self.generation),
        };
        for change in &self.changes {
            text += &format!("  {}\n", change.text);
        }
        text
    }
}
