//! Wrong load reports and missing announcements of an upstream.

use futures::future::join_all;
use hemlocktack_testkit::upstream::Switches;

use crate::harness::{Caller, Fleet, Plan, Reply, wait_until};

const SLOTS: usize = 2;

async fn one_slow_upstream() -> Fleet {
    let plan = Plan::new("diaries", 1).with_upstream_flags(&["--slots", "2"]);
    Fleet::start(&[plan]).await
}

async fn burst(caller: &Caller, count: usize) -> Vec<Reply> {
    let calls = (0..count).map(|_| caller.get("diaries/slots", "burst"));
    join_all(calls).await
}

/// The load endpoint always reports a full upstream. The report is only a hint: it does not lower
/// the concurrency limit, and callers are answered.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_reports_too_much_still_gets_calls() {
    let fleet = one_slow_upstream().await;
    let upstream = &fleet.nodes[0].upstream;
    let reports_full = Switches {
        reported_in_flight: Some(1_000),
        ..Switches::default()
    };
    upstream.set_switches(reports_full).await;
    wait_for_reports(&fleet).await;
    let replies = burst(&fleet.caller(0), 3 * SLOTS).await;
    assert!(replies.iter().all(Reply::is_answered), "{replies:#?}");
}

/// The load endpoint reports an idle upstream while it is full and sheds any further call. The node
/// counts its calls itself and sends no more than the upstream has slots.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_reports_too_little_is_not_flooded() {
    let fleet = one_slow_upstream().await;
    let upstream = &fleet.nodes[0].upstream;
    let reports_idle = Switches {
        reported_in_flight: Some(0),
        shed_above: Some(SLOTS as u64),
        service_time_ms: 50,
        ..Switches::default()
    };
    upstream.set_switches(reports_idle).await;
    wait_for_reports(&fleet).await;
    let replies = burst(&fleet.caller(0), 4 * SLOTS).await;
    assert!(replies.iter().any(Reply::is_answered), "{replies:#?}");
    assert_eq!(upstream.counts().await.shed, 0);
}

/// An upstream stops announcing itself. Once the announcement has expired, calls are refused as
/// `not-run`, including a booking whose ticket has this node as its home; they are answered when
/// the upstream announces itself again.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_upstream_gets_no_calls_until_it_announces_itself() {
    let fleet = one_slow_upstream().await;
    let upstream = &fleet.nodes[0].upstream;
    let caller = fleet.caller(0);
    let ticket = caller.ticket("diaries/appointments", "booking").await;
    let silent = Switches {
        announce: false,
        ..Switches::default()
    };
    upstream.set_switches(silent).await;
    wait_until("the announcement has expired", || async {
        caller.get("diaries/slots", "lapse").await.reason == "no-upstream"
    })
    .await;
    let starts_before = upstream.counts().await.all_starts();
    let replies = burst(&caller, 5).await;
    let is_refused = |reply: &Reply| reply.summary() == "503 not-run no-upstream";
    assert!(replies.iter().all(is_refused), "{replies:#?}");
    let booking = caller.post_with("diaries/appointments", "booking", &ticket);
    let booking = booking.await;
    assert!(is_refused(&booking), "{booking:?}");
    assert_eq!(upstream.counts().await.all_starts(), starts_before);
    upstream.set_switches(Switches::default()).await;
    wait_until("the upstream is back", || async {
        caller.get("diaries/slots", "back").await.is_answered()
    })
    .await;
}

/// Waits for two more reports: the node requests the second one after it has read the first.
async fn wait_for_reports(fleet: &Fleet) {
    let upstream = &fleet.nodes[0].upstream;
    let before = upstream.counts().await.load_reports;
    wait_until("a report has been read", || async {
        upstream.counts().await.load_reports >= before + 2
    })
    .await;
}
