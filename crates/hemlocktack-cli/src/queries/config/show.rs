//! `config show`: shows a stored document.

use getopts::Options;
use hemlocktack_protocol::{ConfigurationDocument, ShowConfigurationRequest};

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::Output;
use crate::rpc::methods::SHOW_CONFIGURATION;
use crate::signature::{Effect, Example, Signature};

const GENERATION: &str = "generation";

pub(crate) const SIGNATURE: Signature = Signature {
    words: "config show",
    operands: "",
    effect: Effect::Query,
    summary: "Show a stored document; the newest one unless a generation is given.",
    flags,
    examples: &[
        Example {
            line: "config show",
            meaning: "the newest one; its first line is a comment with its generation",
        },
        Example {
            line: "config show --generation 6",
            meaning: "an older one, to apply it again as the next generation",
        },
    ],
    run,
};

fn flags(options: &mut Options) {
    options.optopt(
        "",
        GENERATION,
        "generation to show, if it is still kept",
        "N",
    );
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let generation = arguments.number(GENERATION).unwrap_or_default();
    let client = arguments.client();
    arguments.finish()?;
    let request = ShowConfigurationRequest { generation };
    let response = client.call(&SHOW_CONFIGURATION, &request)?;
    let text = match &response.configuration {
        Some(configuration) => document_text(configuration),
        None => "# nothing is stored yet; apply with --expect-generation 0\n".to_owned(),
    };
    output.report(&text, &response)
}

/// Formats a document so that it can be edited and applied without other changes.
fn document_text(configuration: &ConfigurationDocument) -> String {
    let mut text = format!(
        "# generation {}, by {}\n{}",
        configuration.generation,
        configuration.author.escape_debug(),
        configuration.document
    );
    if !text.ends_with('\n') {
        text.push('\n');
    }
    text
}
