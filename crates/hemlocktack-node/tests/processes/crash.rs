//! A request that crashes each upstream that runs it.

use std::time::Duration;

use crate::harness::{Fleet, Plan, wait_until};

const CRASHING_PATH: &str = "diaries/slots?fault=crash";
/// More than any limit on retries or crashes.
const SENDS: usize = 30;
const UPSTREAMS: usize = 3;
/// Each node quarantines a request that has crashed its upstream twice, even if it never learns of
/// the crashes at other nodes.
const MAX_CRASHES_PER_NODE: usize = 2;

/// A request crashes every upstream that runs it. Its caller sends it repeatedly, and crashed
/// upstreams are restarted. After a few crashes all nodes refuse it as `not-run`, and other
/// requests are answered. A send that crashed an upstream is never reported as `not-run`, even if
/// its own retry met the quarantine that this crash caused.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_upstreams_is_stopped() {
    let diaries = Plan::new("diaries", UPSTREAMS);
    let mut fleet = Fleet::start(&[Plan::new("listings", 1), diaries]).await;
    let caller = fleet.caller(0);
    let mut sends = Vec::new();
    for _ in 0..SENDS {
        let summary = caller.get(CRASHING_PATH, "poison").await.summary();
        let crashes = restart_crashed(&mut fleet).await;
        sends.push((summary, crashes));
    }
    for (summary, crashes) in &sends {
        assert!(*crashes == 0 || !summary.contains("not-run"), "{sends:#?}");
    }
    let crashes: usize = sends.iter().map(|(_, crashes)| crashes).sum();
    let is_refused = |summary: &String| summary.contains("not-run quarantined");
    let refused = sends.iter().filter(|(summary, _)| is_refused(summary));
    assert!(refused.count() > SENDS / 2, "{sends:#?}");
    assert!(
        crashes <= UPSTREAMS * MAX_CRASHES_PER_NODE,
        "{crashes} crashes: {sends:#?}"
    );
    wait_until("other requests are answered", || async {
        caller.get("diaries/slots", "innocent").await.is_answered()
    })
    .await;
    let still = caller.get(CRASHING_PATH, "poison").await;
    assert_eq!(still.outcome, "not-run", "{still:?}");
}

/// A booking crashes its upstream and its caller sends it again. It may have run, so it must not
/// run again and crashes one upstream only.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_that_crashes_its_upstream_crashes_one() {
    let mut fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 2)]).await;
    let caller = fleet.caller(0);
    let path = "diaries/appointments?fault=crash";
    let ticket = caller.ticket(path, "poison").await;
    let mut crashes = 0;
    for _ in 0..6 {
        let reply = caller.post_with(path, "poison", &ticket).await;
        assert_eq!(reply.outcome, "unknown", "{reply:?}");
        crashes += restart_crashed(&mut fleet).await;
    }
    assert_eq!(crashes, 1);
}

/// Restarts crashed upstreams and waits until they are announced; returns their number.
async fn restart_crashed(fleet: &mut Fleet) -> usize {
    // The process ends shortly after its connections are closed.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut crashed = 0;
    for node in &mut fleet.nodes {
        if !node.upstream.process.has_ended() {
            continue;
        }
        crashed += 1;
        node.upstream.restart();
        let upstream = &node.upstream;
        wait_until("the upstream is announced again", || async {
            let counts = upstream.try_counts().await;
            counts.is_some_and(|counts| counts.announcements > 0)
        })
        .await;
    }
    crashed
}
