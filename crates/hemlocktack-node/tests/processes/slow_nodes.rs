//! A node that accepts calls and answers nothing.

use crate::harness::{Fleet, Load, Plan, wait_until};

const BROWSERS: usize = 6;

/// One of two diaries' nodes is frozen while families browse through other
/// nodes. Nothing refuses: sends to it just get no answer. Each family loses
/// one page at most before everyone has turned to the living node; when the
/// frozen one wakes, it is called again and all is as before.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_costs_each_family_one_page_at_most() {
    let fleet = Fleet::start(&[Plan::new("listings", 2), Plan::new("diaries", 2)]).await;
    let load = Load::start(BROWSERS, 0, &[fleet.caller(0), fleet.caller(1)]);
    load.wait_for_more(100).await;
    let frozen = fleet.of("diaries")[0];
    fleet.nodes[frozen].process.signal("STOP");
    load.wait_for_more(600).await;
    fleet.nodes[frozen].process.signal("CONT");
    let upstream = &fleet.nodes[frozen].upstream;
    let starts_before = upstream.counts().await.all_starts();
    wait_until("the woken node is called again", || async {
        upstream.counts().await.all_starts() > starts_before + 20
    })
    .await;
    load.wait_for_more(100).await;
    let asked = load.end().await;
    let lost: Vec<String> = asked
        .iter()
        .filter(|asked| !asked.last().is_answered())
        .map(|asked| format!("{}: {}", asked.marker, asked.last().verdict()))
        .collect();
    assert!(
        lost.len() <= BROWSERS,
        "{} of {}: {lost:#?}",
        lost.len(),
        asked.len()
    );
}
