//! How much a node asks of the platform, in virtual time and against the stand-in.

use std::time::{Duration, Instant};

use crate::support::{kind, settings, start_platform};
use hemlocktack_platform::{
    Backoff, BackoffSettings, Budget, BudgetSettings, Client, ClientSettings, Rate,
};
use hemlocktack_testkit::platform::Switches;
use serde_json::json;

const NODES: f64 = 560.0;
/// What the platform takes a second.
const PLATFORM_READS: f64 = 2_000.0;
const PLATFORM_WRITES: f64 = 300.0;

/// A node in a loop asks for ever; a day later it has had its rate and its burst.
#[test]
fn a_node_in_a_loop_stays_within_its_rate() {
    let start = Instant::now();
    let mut budget = Budget::new(
        Rate {
            calls_per_second: 2.0,
            burst: 40.0,
        },
        start,
    );
    let mut taken = 0;
    for tick in 0..86_400 {
        let now = start + Duration::from_secs(tick);
        for _ in 0..10 {
            taken += u32::from(budget.take(now).is_ok());
        }
    }
    assert_eq!(taken, 40 + 2 * 86_399);
}

/// A rate that a settings file has wrong: the node waits, and does not end on a wait
/// without an end.
#[test]
fn a_rate_that_earns_nothing_is_a_long_wait() {
    const A_DAY: Duration = Duration::from_secs(24 * 60 * 60);
    let start = Instant::now();
    for calls_per_second in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE] {
        let rate = Rate {
            calls_per_second,
            burst: 1.0,
        };
        let mut budget = Budget::new(rate, start);
        assert_eq!(budget.take(start), Ok(()));
        let wait = budget.take(start).err().unwrap_or_default();
        assert!(wait <= A_DAY, "{calls_per_second}: {wait:?}");
    }
}

#[test]
fn the_fleet_of_the_aim_fits_the_platform() {
    let settings = BudgetSettings::default();
    assert!(settings.reads.calls_per_second * NODES < PLATFORM_READS);
    assert!(settings.writes.calls_per_second * NODES < PLATFORM_WRITES);
}

/// An hour of outage: a node asks at the longest wait, not at its budget.
#[test]
fn an_outage_is_asked_seldom_and_its_end_is_found_soon() {
    let settings = BackoffSettings::default();
    for random in [0.0, 0.5, 0.999] {
        let mut backoff = Backoff::new(settings);
        let mut now = Instant::now();
        let end = now + Duration::from_secs(3_600);
        let mut asked = 0;
        let mut longest = Duration::ZERO;
        while now < end {
            asked += 1;
            backoff.failed(now, random);
            let wait = backoff.wait(now).unwrap();
            longest = longest.max(wait);
            now += wait;
        }
        assert!(longest <= settings.longest);
        assert!(asked < 2 * 3_600 / settings.longest.as_secs() + 10);
    }
}

/// Ten calls under way fail together: that is one fault, not ten doublings.
#[test]
fn failures_at_once_count_as_one() {
    let mut backoff = Backoff::new(BackoffSettings::default());
    let now = Instant::now();
    for _ in 0..10 {
        backoff.failed(now, 0.0);
    }
    assert_eq!(backoff.wait(now), Some(Duration::from_millis(50)));
    backoff.succeeded();
    assert_eq!(backoff.wait(now), None);
}

/// The node has used up its share: the platform is not asked, and the caller
/// learns when it may come back. Reads and writes have shares of their own.
#[tokio::test]
async fn a_spent_budget_is_not_asked_of_the_platform() {
    let platform = start_platform().await;
    let two_a_day = Rate {
        calls_per_second: 2.0 / 86_400.0,
        burst: 2.0,
    };
    let client = Client::new(ClientSettings {
        budget: BudgetSettings {
            reads: two_a_day,
            writes: two_a_day,
        },
        ..settings(platform.address())
    })
    .unwrap();
    client.get("a").await.unwrap();
    client.get("a").await.unwrap();
    let error = client.get("a").await.unwrap_err();
    assert_eq!(kind(&error), "BudgetSpent");
    assert!(error.retry_after().unwrap() > Duration::from_secs(3_600));
    client.put_conditional("a", 0, &json!(1)).await.unwrap();
    assert_eq!(platform.counts().gets, 2);
    assert_eq!(platform.counts().puts, 1);
}

/// The platform is down and everything in the node asks for it: it sees one
/// call until the wait is over.
#[tokio::test]
async fn a_failing_platform_is_left_alone() {
    let platform = start_platform().await;
    platform.set(Switches {
        down: true,
        ..Switches::default()
    });
    let an_hour = Duration::from_secs(3_600);
    let client = Client::new(ClientSettings {
        backoff: BackoffSettings {
            first: an_hour,
            longest: an_hour,
        },
        ..settings(platform.address())
    })
    .unwrap();
    for _ in 0..50 {
        let error = client.get("a").await.unwrap_err();
        assert_eq!(kind(&error), "Unavailable, no effect");
    }
    assert_eq!(platform.counts().gets, 1);
}
