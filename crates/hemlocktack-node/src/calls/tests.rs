//! Looking up running calls by request id.

use std::sync::Arc;
use std::time::Instant;

use hemlocktack_protocol::{Call, ClassRank};

use super::context::{ContextTable, RunningCall};

fn running() -> RunningCall {
    RunningCall::new(&Call::default(), ClassRank::MAX, None, Instant::now())
}

/// Guards against child calls that lose their parent: a request was sent here twice, the later
/// send has ended, and the earlier one still runs.
#[test]
fn a_run_is_found_by_its_request_after_a_second_send_has_ended() {
    let table = ContextTable::default();
    let first = table.open(running(), "request");
    let second = table.open(running(), "request");
    drop(second);
    let found = table.find_by_request("request");
    assert!(found.is_some_and(|found| Arc::ptr_eq(&found, &first.running)));
    drop(first);
    assert!(table.find_by_request("request").is_none());
}
