//! `config apply`: stores a document as the next generation.

use getopts::Options;
use hemlocktack_protocol::ApplyConfigurationRequest;
use sha2::{Digest, Sha256};

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::Output;
use crate::rpc::methods::APPLY_CONFIGURATION;
use crate::signature::{Effect, Example, Signature};

const EXPECT_GENERATION: &str = "expect-generation";
const AUTHOR: &str = "author";
const AUTHOR_VARIABLES: [&str; 2] = ["HEMLOCKTACK_AUTHOR", "USER"];
const UNKNOWN_AUTHOR: &str = "unknown";
const CHANGE_ID_BYTES: usize = 16;

pub(crate) const SIGNATURE: Signature = Signature {
    words: "config apply",
    operands: "FILE",
    effect: Effect::Command,
    summary: "Store a document as the next generation.",
    flags,
    examples: &[
        Example {
            line: "config apply docs/examples/bhadralok.toml --expect-generation 0",
            meaning: "the first configuration",
        },
        Example {
            line: "config apply docs/examples/bhadralok.toml --expect-generation 7 --author asha",
            meaning: "a change based on generation 7",
        },
    ],
    run,
};

fn flags(options: &mut Options) {
    options.optopt(
        "",
        EXPECT_GENERATION,
        "generation that the edit is based on; 0 for the first one",
        "N",
    );
    options.optopt(
        "",
        AUTHOR,
        "name for the history (HEMLOCKTACK_AUTHOR, then USER)",
        "NAME",
    );
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let document = arguments.document().text;
    let help = "generation that the edit is based on: see `hemlocktack config show`";
    let expected_generation = arguments.required_number(EXPECT_GENERATION, help);
    let author = author(arguments);
    let client = arguments.client();
    arguments.finish()?;
    let request = ApplyConfigurationRequest {
        change_id: change_id(&document, expected_generation, &author),
        document,
        expected_generation,
        author,
    };
    let response = client.call(&APPLY_CONFIGURATION, &request)?;
    let note = match response.already_applied {
        true => " (by an earlier send of the same change)",
        false => "",
    };
    let text = format!("stored as generation {}{note}\n", response.generation);
    output.report(&text, &response)
}

fn author(arguments: &Arguments<'_>) -> String {
    let from_environment = || {
        AUTHOR_VARIABLES
            .into_iter()
            .find_map(|name| arguments.variable(name))
    };
    arguments
        .text(AUTHOR)
        .or_else(from_environment)
        .unwrap_or_else(|| UNKNOWN_AUTHOR.to_owned())
}

/// Returns an id that is the same whenever the same command line is run.
///
/// If the response is lost after the change took effect, the operator or a script runs the command
/// again. With a new id, the second run would be refused as a conflict with the operator's own change.
/// A digest of everything that makes up the change is sufficient: another change, or the same document
/// on top of another generation, has another id.
fn change_id(document: &str, expected_generation: u64, author: &str) -> String {
    let mut digest = Sha256::new();
    digest.update(expected_generation.to_be_bytes());
    digest.update((author.len() as u64).to_be_bytes());
    digest.update(author);
    digest.update(document);
    let digest = digest.finalize();
    digest[..CHANGE_ID_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
