//! Nodes that start at the addresses of a former node.

use std::time::{Duration, Instant};

use crate::harness::{Fleet, Plan, wait_until};

/// Long enough for many calls to both services after the change.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Longest time that a caller may wait for its reply.
const MAX_REPLY_TIME: Duration = Duration::from_secs(2);

/// Starts a fleet, replaces the node of `diaries` by one of `keys` at the same addresses and waits
/// until the first node reaches it; returns the position of the new node.
async fn fleet_with_a_reused_address() -> (Fleet, usize) {
    let mut fleet = Fleet::start(&[Plan::new("listings", 3), Plan::new("diaries", 1)]).await;
    let replaced = fleet.positions_of("diaries")[0];
    fleet.replace(replaced, &Plan::new("keys", 1), 1);
    let caller = fleet.caller(0);
    wait_until("the new node is reached", || async {
        caller.get("keys/status", "first").await.is_answered()
    })
    .await;
    (fleet, replaced)
}

/// Guards against lost answers when a process runs at the address of a former node: calls to the
/// two nodes come over separate links, and each answer must reach its call.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_at_the_address_of_a_former_one_answers_all_its_calls() {
    let (fleet, _) = fleet_with_a_reused_address().await;
    let caller = fleet.caller(0);
    let until = Instant::now() + OBSERVATION_TIME;
    while Instant::now() < until {
        let asked = Instant::now();
        let gone = caller.get("diaries/slots", "gone").await;
        assert_eq!(gone.outcome, "not-run", "{gone:?}");
        let reply = caller.get("keys/status", "there").await;
        assert!(reply.is_answered(), "{reply:?}");
        assert!(asked.elapsed() < MAX_REPLY_TIME, "{:?}", asked.elapsed());
    }
}

/// Guards against calls that go to whatever node answers at the address of their target: a node of
/// another service can only refuse them, and one of the same service would be counted twice in
/// the placement of calls.
#[tokio::test(flavor = "multi_thread")]
async fn calls_go_only_to_their_target_node() {
    let (fleet, replaced) = fleet_with_a_reused_address().await;
    let caller = fleet.caller(0);
    for _ in 0..5 {
        let gone = caller.get("diaries/slots", "gone").await;
        assert_eq!(gone.outcome, "not-run", "{gone:?}");
    }
    let refused_calls = "hemlocktack_refused_calls_total{reason=\"no-upstream\"}";
    let refused_calls = fleet.nodes[replaced].metric(refused_calls).await;
    assert_eq!(refused_calls.unwrap_or("0".to_owned()), "0");
}
