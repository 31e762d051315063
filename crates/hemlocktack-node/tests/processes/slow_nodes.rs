//! A node that accepts calls and does not answer them.

use crate::harness::{Fleet, Load, Plan, wait_until};

const BROWSERS: usize = 6;

/// One of two nodes of a service is frozen under load: calls to it are not refused but get no
/// answer. Each caller loses at most one page before all calls go to the other node. When the
/// frozen node resumes, it receives calls again.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_costs_each_caller_at_most_one_page() {
    let fleet = Fleet::start(&[Plan::new("listings", 2), Plan::new("diaries", 2)]).await;
    let load = Load::start(BROWSERS, 0, &[fleet.caller(0), fleet.caller(1)]);
    load.wait_for_more(100).await;
    let frozen = fleet.positions_of("diaries")[0];
    fleet.nodes[frozen].process.signal("STOP");
    load.wait_for_more(600).await;
    fleet.nodes[frozen].process.signal("CONT");
    let upstream = &fleet.nodes[frozen].upstream;
    let starts_before = upstream.counts().await.all_starts();
    wait_until("the resumed node is called again", || async {
        upstream.counts().await.all_starts() > starts_before + 20
    })
    .await;
    load.wait_for_more(100).await;
    let requests = load.end().await;
    let lost: Vec<String> = requests
        .iter()
        .filter(|requests| !requests.last().is_answered())
        .map(|requests| format!("{}: {}", requests.marker, requests.last().summary()))
        .collect();
    assert!(
        lost.len() <= BROWSERS,
        "{} of {}: {lost:#?}",
        lost.len(),
        requests.len()
    );
}
