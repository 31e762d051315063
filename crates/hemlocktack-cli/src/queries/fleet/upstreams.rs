//! `upstreams`: lists every announced upstream.

use getopts::Options;
use hemlocktack_protocol::ListUpstreamsRequest;

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::{Output, Table};
use crate::rpc::methods::LIST_UPSTREAMS;
use crate::signature::{Effect, Example, Signature};

const SERVICE: &str = "service";

pub(crate) const SIGNATURE: Signature = Signature {
    words: "upstreams",
    operands: "",
    effect: Effect::Query,
    summary: "List the upstreams with their states and slots.",
    flags,
    examples: &[Example {
        line: "upstreams --service listings",
        meaning: "the upstreams of one service",
    }],
    run,
};

fn flags(options: &mut Options) {
    options.optopt("", SERVICE, "only this service", "NAME");
}

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let service = arguments.text(SERVICE).unwrap_or_default();
    let client = arguments.client();
    arguments.finish()?;
    let request = ListUpstreamsRequest { service };
    let response = client.call(&LIST_UPSTREAMS, &request)?;
    let mut table = Table::new(&["service", "node", "data centre", "state", "slots"]);
    for upstream in &response.upstreams {
        table.row(vec![
            upstream.service.clone(),
            upstream.node_id.clone(),
            upstream.data_centre.clone(),
            <&'static str>::from(upstream.state()).to_owned(),
            upstream.slots.to_string(),
        ]);
    }
    output.report(&table.to_text(), &response)
}
