//! `drain`: takes a node out of service without interrupting calls.

use hemlocktack_protocol::{DrainNodeRequest, NodeState};

use crate::arguments::Arguments;
use crate::error::Result;
use crate::output::Output;
use crate::rpc::methods::DRAIN_NODE;
use crate::signature::{Effect, Example, Signature, no_flags};

pub(crate) const SIGNATURE: Signature = Signature {
    words: "drain",
    operands: "NODE",
    effect: Effect::Command,
    summary: "Take a node out of service without interrupting calls.",
    flags: no_flags,
    examples: &[Example {
        line: "drain listings-1",
        meaning: "new calls go to other nodes, running ones finish; `nodes` shows when it has left",
    }],
    run,
};

fn run(arguments: &mut Arguments<'_>, output: &mut Output<'_>) -> Result<()> {
    let node_id = arguments.operand("NODE");
    let client = arguments.client();
    arguments.finish()?;
    let request = DrainNodeRequest { node_id };
    let response = client.call(&DRAIN_NODE, &request)?;
    let what = match response.state() {
        NodeState::Left => "has left",
        _ => "is draining: it accepts no new calls and finishes those in flight",
    };
    let text = format!("{} {what}\n", request.node_id);
    output.report(&text, &response)
}
