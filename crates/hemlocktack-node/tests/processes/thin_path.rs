//! Calls over the whole path: entry node, node, upstream, its own node, node, upstream, and back.

use crate::harness::{Fleet, Plan};

fn chain() -> [Plan; 2] {
    [
        Plan::new("listings", 2).with_upstream_flags(&["--deeper", "GET diaries/slots"]),
        Plan::new("diaries", 2),
    ]
}

/// A caller requests a page of `listings` through each of the four nodes, and the upstream calls
/// `diaries` through its own node. The caller gets one whole answer to its own request, and each
/// upstream on the path runs it once.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_goes_down_the_chain_and_comes_back_whole() {
    let fleet = Fleet::start(&chain()).await;
    for entry in 0..fleet.nodes.len() {
        let marker = format!("page {entry}");
        let reply = fleet
            .caller(entry)
            .get("listings/flats?area=7", &marker)
            .await;
        assert!(reply.is_answered(), "{reply:?}");
        assert_eq!(reply.body["marker"], marker);
        assert_eq!(reply.body["service"], "listings");
        assert_eq!(reply.body["path"], "flats");
        let child = &reply.body["deeper"][0];
        assert_eq!(child["outcome"], "answered");
        assert_eq!(child["body"]["service"], "diaries");
        assert_eq!(child["body"]["marker"], marker);
        assert_eq!(fleet.starts("listings", &marker).await, 1);
        assert_eq!(fleet.starts("diaries", &marker).await, 1);
    }
}

/// A caller books without a ticket, gets one, and books with it. It then sends the same booking
/// again through each node, as after a lost answer: it gets the same answer, and the booking runs
/// once.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_sent_again_is_answered_and_not_run_again() {
    let fleet = Fleet::start(&chain()).await;
    let path = "diaries/appointments";
    let ticket = fleet.caller(0).ticket(path, "viewing").await;
    assert_eq!(fleet.starts("diaries", "viewing").await, 0);
    let first = fleet.caller(0).post_with(path, "viewing", &ticket).await;
    assert!(first.is_answered(), "{first:?}");
    for entry in 0..fleet.nodes.len() {
        let again = fleet
            .caller(entry)
            .post_with(path, "viewing", &ticket)
            .await;
        assert_eq!(again.body, first.body, "{again:?}");
        assert!(again.is_answered());
    }
    assert_eq!(fleet.starts("diaries", "viewing").await, 1);
}
