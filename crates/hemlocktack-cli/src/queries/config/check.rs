//! `config check`: runs the same checks as a node, without contacting one.

use hemlocktack_protocol::CheckConfigurationResponse;

use crate::arguments::Arguments;
use crate::error::{Error, Result};
use crate::output::Output;
use crate::signature::{Effect, Example, Signature, no_flags};

pub(crate) const SIGNATURE: Signature = Signature {
    words: "config check",
    operands: "FILE",
    effect: Effect::Query,
    summary: "Check a document as a node would; needs no node and stores nothing.",
    flags: no_flags,
    examples: &[Example {
        line: "config check docs/examples/bhadralok.toml",
        meaning: "list all findings with their places; - reads standard input",
    }],
    run,
};

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let text = arguments.file();
    arguments.finish()?;
    let checked = hemlocktack_config::parse(&text);
    let findings = checked.err().map(|error| error.findings);
    let response = CheckConfigurationResponse {
        findings: findings.unwrap_or_default(),
    };
    if response.findings.is_empty() {
        return output.report("no findings\n", &response);
    }
    output.report("", &response)?;
    let findings = response.findings;
    Err(Error::Input { findings })
}
