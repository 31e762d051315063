//! Load of a node on the platform, in virtual time and against the fake platform.

use std::time::{Duration, Instant};

use crate::support::{kind, settings, start_platform};
use hemlocktack_platform::{
    Backoff, BackoffSettings, Budget, BudgetSettings, Client, ClientSettings, Rate,
};
use hemlocktack_testkit::platform::Switches;
use serde_json::json;

const NODES: f64 = 560.0;
/// Calls per second that the platform accepts.
const PLATFORM_READS: f64 = 2_000.0;
const PLATFORM_WRITES: f64 = 300.0;

/// A node calls in an endless loop; after a day it has used its rate and its burst, no more.
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

/// Guards against a panic on an unrepresentable wait, which a wrong rate in a settings file would
/// give: the wait is bounded.
#[test]
fn an_invalid_rate_gives_a_bounded_wait() {
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
fn the_intended_fleet_fits_the_platforms_rates() {
    let settings = BudgetSettings::default();
    assert!(settings.reads.calls_per_second * NODES < PLATFORM_READS);
    assert!(settings.writes.calls_per_second * NODES < PLATFORM_WRITES);
}

/// During an hour's outage a node calls once per maximum wait and not at the rate of its budget,
/// and no wait delays the discovery of the end beyond the maximum.
#[test]
fn backoff_bounds_the_calls_and_waits_of_an_outage() {
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

/// Ten concurrent calls that fail together double the wait once, not ten times.
#[test]
fn concurrent_failures_count_once() {
    let mut backoff = Backoff::new(BackoffSettings::default());
    let now = Instant::now();
    for _ in 0..10 {
        backoff.failed(now, 0.0);
    }
    assert_eq!(backoff.wait(now), Some(Duration::from_millis(50)));
    backoff.succeeded();
    assert_eq!(backoff.wait(now), None);
}

/// With the budget used up, no request is sent, and the error says when to try again. Reads and
/// writes have separate budgets.
#[tokio::test]
async fn a_spent_budget_sends_no_request() {
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
    client.put_conditional("a", None, &json!(1)).await.unwrap();
    assert_eq!(platform.counts().gets, 2);
    assert_eq!(platform.counts().puts, 1);
}

/// The platform is down and the whole node keeps calling it: only one request is sent until the
/// backoff ends.
#[tokio::test]
async fn a_failing_platform_gets_one_request_per_wait() {
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

/// Failure: an object whose answer cannot be decoded delays the calls for all other objects, like
/// an outage. Only the call itself waits.
#[tokio::test]
async fn an_undecodable_answer_delays_only_its_own_call() {
    let platform = start_platform().await;
    let client = Client::new(ClientSettings {
        backoff: BackoffSettings {
            first: Duration::from_secs(3_600),
            longest: Duration::from_secs(3_600),
        },
        ..settings(platform.address())
    })
    .unwrap();
    platform.set(Switches {
        malformed: true,
        ..Switches::default()
    });
    let error = client.get("a").await.unwrap_err();
    assert_eq!(kind(&error), "Malformed, no effect");
    assert!(error.retry_after().unwrap() > Duration::from_secs(60));
    assert!(client.is_answering());
    platform.set(Switches::default());
    assert_eq!(client.get("b").await, Ok(None));
    client.put_conditional("a", None, &json!(1)).await.unwrap();
    client.list("a").await.unwrap();
    let blocked = client.get("a").await.unwrap_err();
    assert_eq!(kind(&blocked), "Unavailable, no effect");
    assert_eq!(platform.counts().gets, 2);
}
