//! `config history`: lists the changes of the configuration with their authors.

use getopts::Options;
use hemlocktack_protocol::ListConfigurationHistoryRequest;

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::{Output, Table};
use crate::rpc::methods::LIST_CONFIGURATION_HISTORY;
use crate::signature::{Effect, Example, Signature};

const LIMIT: &str = "limit";
const DEFAULT_LIMIT: u32 = 20;

pub(crate) const SIGNATURE: Signature = Signature {
    words: "config history",
    operands: "",
    effect: Effect::Query,
    summary: "List the last changes of the configuration, newest first.",
    flags,
    examples: &[Example {
        line: "config history --limit 5",
        meaning: "the last five changes",
    }],
    run,
};

fn flags(options: &mut Options) {
    options.optopt("", LIMIT, "maximum number of changes; default: 20", "N");
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let limit = arguments.number(LIMIT).unwrap_or(DEFAULT_LIMIT);
    let client = arguments.client();
    arguments.finish()?;
    let request = ListConfigurationHistoryRequest { limit };
    let response = client.call(&LIST_CONFIGURATION_HISTORY, &request)?;
    let mut table = Table::new(&["generation", "author", "change id"]);
    for change in &response.changes {
        table.row(vec![
            change.generation.to_string(),
            change.author.escape_debug().to_string(),
            change.change_id.escape_debug().to_string(),
        ]);
    }
    output.report(&table.to_text(), &response)
}
