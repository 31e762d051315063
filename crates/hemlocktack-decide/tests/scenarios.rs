//! Outcomes for callers under load and faults, in virtual time, with the driver of the example
//! `scenarios` and shorter runs.

#[allow(dead_code, reason = "the example uses the rest")]
#[path = "../examples/scenarios/driver/mod.rs"]
mod driver;
#[allow(dead_code, reason = "the example uses the rest")]
#[path = "../examples/scenarios/report.rs"]
mod report;

use std::time::Duration;

use driver::{Deployment, Fault, Policy, Scenario, bhadralok, pases_dorados, quickstart, run};
use report::Row;

const SEED: u64 = 7;

/// Returns the named scenario with three seconds of pressure.
fn short(name: &str) -> Scenario {
    let scenario = driver::all_scenarios()
        .into_iter()
        .find(|scenario| scenario.name == name)
        .unwrap_or_else(|| panic!("no scenario {name}"));
    Scenario {
        begins: Duration::from_secs(2),
        ends: Duration::from_secs(5),
        lasts: Duration::from_secs(14),
        ..scenario
    }
}

fn outcome(deployment: &Deployment, scenario: &Scenario) -> Row {
    let outcomes = run(deployment, scenario, Policy::Hemlocktack, SEED);
    Row::new(deployment, scenario, Policy::Hemlocktack, outcomes)
}

/// Checks what holds in every scenario and returns one line per deployment, in whole percent.
fn table(name: &str) -> String {
    let scenario = short(name);
    let mut lines = Vec::new();
    for deployment in [bhadralok(), pases_dorados()] {
        let row = outcome(&deployment, &scenario);
        assert!(row.most_retries <= 3, "{row:?}");
        assert_eq!(row.ran_after_refusal, 0, "a refused call ran");
        assert_eq!(row.ran_twice, 0, "a booking or renewal ran twice");
        assert!(row.recovery_secs.is_some_and(|secs| secs <= 1.0), "{row:?}");
        assert!(row.goodput_share >= 0.95, "{row:?}");
        if row.critical_demand_share < 0.8 {
            assert!(row.critical_answered_share >= 0.99, "{row:?}");
        }
        assert!(row.wasted_share <= most_wasted(name), "{row:?}");
        lines.push(line(&row));
    }
    lines.join("\n")
}

/// Long calls that cannot be told from short ones exceed their callers' timeout in a fifth of
/// all cases, whatever the load; otherwise the target is 3%.
fn most_wasted(scenario: &str) -> f64 {
    if scenario == "short-long-2x" {
        0.15
    } else {
        0.03
    }
}

fn line(row: &Row) -> String {
    let percent = |share: &f64| format!("{:.0}%", share * 100.0);
    let classes: Vec<_> = row.class_shares.iter().map(percent).collect();
    format!(
        "{:<13} all {} | by class {} | critical answered {} | wasted {}",
        row.deployment,
        percent(&row.goodput_share),
        classes.join(" "),
        percent(&row.critical_answered_share),
        percent(&row.wasted_share),
    )
}

#[test]
fn nothing_is_refused_without_pressure() {
    for deployment in [bhadralok(), pases_dorados(), quickstart()] {
        let row = outcome(&deployment, &short("quiet"));
        assert_eq!(row.refused, 0, "{}", row.deployment);
    }
}

/// Three times the capacity arrives for 150 ms in each second. The queue absorbs the burst and
/// is empty again before the next one, so that callers only see a short wait.
#[test]
fn bursts_are_queued_and_not_refused() {
    insta::assert_snapshot!(table("bursts"));
}

/// Twice the capacity arrives for some seconds, and refused callers retry. Browsing is refused
/// while bookings and renewals are answered.
#[test]
fn a_surge_of_twice_the_capacity_costs_the_least_important_requests() {
    insta::assert_snapshot!(table("surge-2x"));
}

/// Bookings alone exceed the capacity: as many as fit are answered, and no work is spent on
/// requests that fail later.
#[test]
fn full_saturation_still_answers_what_capacity_allows() {
    insta::assert_snapshot!(table("saturation-8x"));
}

/// All requests enter in one data centre and call the same service.
#[test]
fn skewed_demand_spills_over_to_the_other_data_centres() {
    insta::assert_snapshot!(table("skewed-2x"));
}

/// One upstream becomes five times slower without reporting it. Callers would wait in its queue;
/// placement sees its latency and sends it what it can handle.
#[test]
fn one_slow_upstream_does_not_slow_the_service() {
    insta::assert_snapshot!(table("slow-upstream"));
}

/// The last service of the chain becomes four times slower, so that each hop above holds its
/// slots longer. Its shed level reaches the entry, and requests that cannot be finished there
/// are not started.
#[test]
fn a_slow_deep_service_is_shed_for_at_the_entry() {
    insta::assert_snapshot!(table("deep-slow"));
}

/// One browsing request in ten takes ten times as long, and nothing in the request shows which.
#[test]
fn long_calls_among_short_ones_do_not_cost_the_important_class() {
    insta::assert_snapshot!(table("short-long-2x"));
}

/// One upstream of each service crashes, is down for a second and restarts cold. Its calls fail;
/// idempotent ones are retried elsewhere.
#[test]
fn a_cold_upstream_is_filled_slowly() {
    insta::assert_snapshot!(table("cold-start"));
}

/// The load endpoints report every upstream as full, or as idle. Callers must not notice.
#[test]
fn wrong_load_reports_change_no_outcome() {
    let honest = Scenario {
        fault: Fault::Nothing,
        ..short("surge-2x")
    };
    for deployment in [bhadralok(), pases_dorados()] {
        let honest = outcome(&deployment, &honest);
        for name in ["reports-full-2x", "reports-idle-2x"] {
            let misreported = outcome(&deployment, &short(name));
            let change = (misreported.goodput_share - honest.goodput_share).abs();
            assert!(change < 0.02, "{name} {}: {change}", deployment.name);
            assert!(misreported.critical_answered_share >= 0.99);
        }
    }
}

/// Refused callers send up to eight times, 50 ms apart, and ignore Retry-After.
#[test]
fn callers_that_retry_hard_do_not_hold_the_overload_up() {
    insta::assert_snapshot!(table("hard-retries-2x"));
}

/// A request crashes each upstream that runs it and is sent every half second. After two crashes
/// it is refused everywhere.
#[test]
fn a_crashing_request_costs_two_upstreams_and_no_innocent() {
    let scenario = short("crashing-request");
    for deployment in [bhadralok(), pases_dorados()] {
        let row = outcome(&deployment, &scenario);
        assert!(row.crashes <= 2, "{}: {}", row.deployment, row.crashes);
    }
    insta::assert_snapshot!(table("crashing-request"));
}

/// A node hangs with its links open. Callers whose calls are placed there would wait for their
/// full timeout while other upstreams are idle. Placement avoids the node because of its
/// silence; once membership suspects it, idempotent calls are sent elsewhere.
#[test]
fn a_frozen_node_does_not_hold_its_callers() {
    let scenario = Scenario {
        ends: Duration::from_secs(7),
        ..short("frozen")
    };
    for deployment in [bhadralok(), pases_dorados()] {
        let row = outcome(&deployment, &scenario);
        assert!(row.goodput_share >= 0.99, "{row:?}");
        assert!(row.p99_ms < 1000.0, "{row:?}");
        assert!(row.most_retries <= 3, "{row:?}");
    }
}

/// The same seed gives the same outcome, so that a failure can be reproduced.
#[test]
fn a_run_can_be_repeated() {
    let scenario = short("surge-2x");
    let first = line(&outcome(&bhadralok(), &scenario));
    let second = line(&outcome(&bhadralok(), &scenario));
    assert_eq!(first, second);
}
