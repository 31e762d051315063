//! `nodes`: lists every node known to the queried node.

use hemlocktack_protocol::ListNodesRequest;

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::{Output, Table};
use crate::rpc::methods::LIST_NODES;
use crate::signature::{Effect, Example, Signature, no_flags};

pub(crate) const SIGNATURE: Signature = Signature {
    words: "nodes",
    operands: "",
    effect: Effect::Query,
    summary: "List the nodes with their states.",
    flags: no_flags,
    examples: &[Example {
        line: "nodes",
        meaning: "which nodes are ready, draining, suspect or dead",
    }],
    run,
};

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let client = arguments.client();
    arguments.finish()?;
    let response = client.call(&LIST_NODES, &ListNodesRequest {})?;
    let mut table = Table::new(&[
        "node",
        "service",
        "data centre",
        "region",
        "state",
        "upstream",
        "link address",
    ]);
    for node in &response.nodes {
        table.row(vec![
            node.node_id.clone(),
            node.service.clone(),
            node.data_centre.clone(),
            node.region.clone(),
            <&'static str>::from(node.state()).to_owned(),
            <&'static str>::from(node.upstream()).to_owned(),
            node.link_address.clone(),
        ]);
    }
    output.report(&table.to_text(), &response)
}
