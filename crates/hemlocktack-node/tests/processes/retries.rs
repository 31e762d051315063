//! Retries of one request over a whole call chain.

use hemlocktack_testkit::upstream::{Fault, Switches};

use crate::harness::{Fleet, Plan};

/// Retry allowance of the caller kind `family`, which is the default kind.
const RETRY_ALLOWANCE: u64 = 2;
const DEPTH: u64 = 3;
const REQUESTS: u64 = 20;

/// `listings` calls `diaries`, which calls `keys`, and every answer of `keys` is truncated. If each
/// hop retried as often as the caller may, one page would start `keys` 27 times. All retries of a
/// request, over all hops together, must stay within its one allowance.
#[tokio::test(flavor = "multi_thread")]
async fn all_hops_share_the_retry_allowance_of_a_request() {
    let fleet = Fleet::start(&[
        Plan::new("listings", 2).with_upstream_flags(&["--deeper", "GET diaries/slots"]),
        Plan::new("diaries", 2).with_upstream_flags(&["--deeper", "GET keys/box"]),
        Plan::new("keys", 2),
    ])
    .await;
    let switches = Switches {
        fault: Some(Fault::ShortBody),
        ..Switches::default()
    };
    for position in fleet.positions_of("keys") {
        fleet.nodes[position]
            .upstream
            .set_switches(switches.clone())
            .await;
    }
    let mut max_starts = 0;
    for request in 0..REQUESTS {
        let marker = format!("page {request}");
        fleet.caller(0).get("listings/flats", &marker).await;
        let mut starts = 0;
        for service in ["listings", "diaries", "keys"] {
            starts += fleet.starts(service, &marker).await;
        }
        assert!(
            starts <= DEPTH + RETRY_ALLOWANCE,
            "{marker}: {starts} starts"
        );
        max_starts = max_starts.max(starts);
    }
    assert!(
        max_starts > DEPTH,
        "no retry was seen, so the limit was not tested"
    );
}
