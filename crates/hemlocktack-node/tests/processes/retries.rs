//! Retries of one user request over a whole chain.

use hemlocktack_testkit::upstream::{Fault, Switches};

use crate::harness::{Fleet, Plan};

/// Of the caller kind `family`, which stands for callers that name none.
const ALLOWANCE: u64 = 2;
const DEPTH: u64 = 3;
const REQUESTS: u64 = 20;

/// Listings ask diaries, diaries ask keys, and every answer of the keys is cut
/// short. Each hop could send again: were each to do so as often as the caller
/// may, one page would start the keys 27 times. All sends beyond the first, at
/// every hop together, stay within the one allowance of the page.
#[tokio::test(flavor = "multi_thread")]
async fn one_request_has_one_allowance_however_deep_it_goes() {
    let fleet = Fleet::start(&[
        Plan::new("listings", 2).with(&["--deeper", "GET diaries/slots"]),
        Plan::new("diaries", 2).with(&["--deeper", "GET keys/box"]),
        Plan::new("keys", 2),
    ])
    .await;
    let switches = Switches {
        fault: Some(Fault::ShortBody),
        ..Switches::default()
    };
    for position in fleet.of("keys") {
        fleet.nodes[position].upstream.set(switches.clone()).await;
    }
    let mut most = 0;
    for request in 0..REQUESTS {
        let marker = format!("page {request}");
        fleet.caller(0).get("listings/flats", &marker).await;
        let mut starts = 0;
        for service in ["listings", "diaries", "keys"] {
            starts += fleet.starts(service, &marker).await;
        }
        assert!(starts <= DEPTH + ALLOWANCE, "{marker}: {starts} starts");
        most = most.max(starts);
    }
    assert!(most > DEPTH, "no retry was seen, so nothing was tested");
}
