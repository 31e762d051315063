//! Addresses that change hands.

use std::time::{Duration, Instant};

use crate::harness::{Fleet, Plan, wait_until};

/// Long enough for both services to be asked many times after the change.
const OBSERVED: Duration = Duration::from_secs(3);
/// Most of the time that callers of these tests wait.
const SOON: Duration = Duration::from_secs(2);

/// A node of the diaries is gone, and one of the keys that is reached from the first
/// node runs at its addresses; its position.
async fn fleet_with_a_taken_address() -> (Fleet, usize) {
    let mut fleet = Fleet::start(&[Plan::new("listings", 3), Plan::new("diaries", 1)]).await;
    let taken = fleet.of("diaries")[0];
    fleet.replace(taken, &Plan::new("keys", 1), 1);
    let caller = fleet.caller(0);
    wait_until("the new node is reached", || async {
        caller.get("keys/status", "first").await.is_answered()
    })
    .await;
    (fleet, taken)
}

/// Guards against answers that are lost because one process stands at the address
/// of a node that is gone: calls to either come over links of their own, and each
/// answer has to find its call.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_at_the_address_of_one_that_is_gone_answers_all_that_it_runs() {
    let (fleet, _) = fleet_with_a_taken_address().await;
    let caller = fleet.caller(0);
    let until = Instant::now() + OBSERVED;
    while Instant::now() < until {
        let asked = Instant::now();
        let gone = caller.get("diaries/slots", "gone").await;
        assert_eq!(gone.outcome, "not-run", "{gone:?}");
        let reply = caller.get("keys/status", "there").await;
        assert!(reply.is_answered(), "{reply:?}");
        assert!(asked.elapsed() < SOON, "{:?}", asked.elapsed());
    }
}

/// Guards against calls that go to whoever answers at the address of their node: one
/// of another service can only refuse them, and one that may run them is counted
/// twice by those who place calls.
#[tokio::test(flavor = "multi_thread")]
async fn calls_go_to_the_node_that_is_meant_and_to_no_other() {
    let (fleet, taken) = fleet_with_a_taken_address().await;
    let caller = fleet.caller(0);
    for _ in 0..5 {
        let gone = caller.get("diaries/slots", "gone").await;
        assert_eq!(gone.outcome, "not-run", "{gone:?}");
    }
    let strays = "hemlocktack_refused_calls_total{reason=\"no-upstream\"}";
    let strays = fleet.nodes[taken].metric(strays).await;
    assert_eq!(strays.unwrap_or("0".to_owned()), "0");
}
