//! The results table and the targets.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use serde::Serialize;

use crate::driver::with_long_calls;
use crate::driver::{BIN, Deployment, Fault, Outcomes, Policy, Scenario, allowed};

/// Results of one run, as printed.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) scenario: &'static str,
    pub(crate) deployment: &'static str,
    pub(crate) policy: String,
    /// Requests answered in time under pressure, as a share of what capacity allows.
    pub(crate) goodput_share: f64,
    /// The same, with each request weighted by the slot time it takes.
    pub(crate) work_share: f64,
    pub(crate) class_shares: Vec<f64>,
    pub(crate) kinds: Vec<KindRow>,
    /// Requests of the most important class answered in time under pressure, as a share of its
    /// demand.
    pub(crate) critical_answered_share: f64,
    /// Demand of the most important class, as a share of capacity.
    pub(crate) critical_demand_share: f64,
    /// `None` if the run ended before recovery.
    pub(crate) recovery_secs: Option<f64>,
    pub(crate) wasted_share: f64,
    pub(crate) retries_per_request: f64,
    pub(crate) most_retries: u32,
    pub(crate) resends_per_request: f64,
    pub(crate) p99_ms: f64,
    pub(crate) refused: u64,
    pub(crate) ran_twice: u64,
    pub(crate) ran_after_refusal: u64,
    pub(crate) crashes: u32,
    pub(crate) series: Vec<Point>,
}

/// Requests of one kind under pressure.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct KindRow {
    pub(crate) name: &'static str,
    pub(crate) asked: u64,
    pub(crate) allowed: u64,
    pub(crate) answered: u64,
    pub(crate) ends: BTreeMap<String, u64>,
}

/// One bin of the time series.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Point {
    pub(crate) at_secs: f64,
    pub(crate) goodput_per_sec: f64,
    pub(crate) waiting: u32,
}

impl Row {
    pub(crate) fn new(
        deployment: &Deployment,
        scenario: &Scenario,
        policy: Policy,
        outcomes: Outcomes,
    ) -> Self {
        let demand = demand(scenario, &outcomes);
        let effective = with_long_calls(deployment, scenario);
        let allowed_rates = allowed(&effective, &demand, &slots(deployment, scenario));
        let pressure_secs = (scenario.ends - scenario.begins).as_secs_f64();
        let answered = |class: Option<u8>| -> f64 {
            let kinds = deployment.kinds.iter().zip(&outcomes.kinds);
            kinds
                .filter(|(kind, _)| class.is_none_or(|class| kind.class_rank == class))
                .map(|(_, outcome)| outcome.answered_under_pressure as f64)
                .sum()
        };
        let allowed = |class: Option<u8>| -> f64 {
            let kinds = deployment.kinds.iter().zip(&allowed_rates.per_kind);
            let per_sec: f64 = kinds
                .filter(|(kind, _)| class.is_none_or(|class| kind.class_rank == class))
                .map(|(_, rate)| rate)
                .sum();
            per_sec * pressure_secs
        };
        let rows = deployment.kinds.iter().enumerate();
        let kinds: Vec<_> = rows
            .map(|(index, kind)| KindRow {
                name: kind.name,
                asked: outcomes.kinds[index].under_pressure,
                allowed: (allowed_rates.per_kind[index] * pressure_secs) as u64,
                answered: outcomes.kinds[index].answered_under_pressure,
                ends: outcomes.kinds[index].ends.clone(),
            })
            .collect();
        let last_class = deployment.kinds.iter().map(|kind| kind.class_rank).max();
        let classes = 0..=last_class.unwrap_or(0);
        let requests: u64 = outcomes.kinds.iter().map(|kind| kind.arrived).sum();
        let critical: u64 = outcomes.kinds[0].under_pressure;
        let timeout = deployment.kinds.iter().map(|kind| kind.timeout).max();
        Row {
            scenario: scenario.name,
            deployment: deployment.name,
            policy: policy.to_string(),
            goodput_share: answered(None) / allowed(None),
            work_share: work_share(&effective, &kinds),
            class_shares: classes
                .map(|class| answered(Some(class)) / allowed(Some(class)))
                .collect(),
            kinds,
            critical_answered_share: answered(Some(0)) / critical.max(1) as f64,
            critical_demand_share: critical_demand(deployment, scenario, &demand),
            recovery_secs: outcomes
                .recovery(scenario.begins, scenario.ends, timeout.unwrap_or_default())
                .map(|recovery| recovery.as_secs_f64()),
            wasted_share: outcomes.wasted_share(),
            retries_per_request: outcomes.retries as f64 / requests as f64,
            most_retries: outcomes.most_retries,
            resends_per_request: outcomes.caller_resends as f64 / requests as f64,
            p99_ms: outcomes.latency.value_at_quantile(0.99) as f64 / 1e3,
            refused: outcomes.kinds.iter().map(|kind| kind.refused).sum(),
            ran_twice: outcomes.ran_twice,
            ran_after_refusal: outcomes.ran_after_refusal,
            crashes: outcomes.crashes,
            series: series(&outcomes),
        }
    }
}

/// Returns the answered slot time as a share of what capacity allows.
fn work_share(deployment: &Deployment, kinds: &[KindRow]) -> f64 {
    let weighed = |count: fn(&KindRow) -> u64| -> f64 {
        let kinds = deployment.kinds.iter().zip(kinds);
        kinds
            .map(|(kind, row)| deployment.slot_time(kind.root).as_secs_f64() * count(row) as f64)
            .sum()
    };
    weighed(|row| row.answered) / weighed(|row| row.allowed)
}

/// Returns the demand under pressure, in requests per second of each kind.
fn demand(scenario: &Scenario, outcomes: &Outcomes) -> Vec<f64> {
    let pressure_secs = (scenario.ends - scenario.begins).as_secs_f64();
    let kinds = outcomes.kinds.iter();
    kinds
        .map(|kind| kind.under_pressure as f64 / pressure_secs)
        .collect()
}

/// Capacity lost by the restart of one upstream: a second down, then three seconds in which work
/// takes 5 times as long at first, decreasing linearly to normal, which loses (1 - ln 5 / 4) of
/// them.
const COLD_START_LOSS: Duration = Duration::from_millis(1000 + 1793);

/// Returns the slots of each service, minus what the fault takes away.
fn slots(deployment: &Deployment, scenario: &Scenario) -> Vec<f64> {
    let services = deployment.services.iter().enumerate();
    services
        .map(|(index, spec)| {
            let upstreams = spec.upstreams as f64;
            let whole = upstreams * f64::from(spec.slots);
            match scenario.fault {
                Fault::SlowUpstream { service, factor } if service == index => {
                    whole - f64::from(spec.slots) * (1.0 - 1.0 / factor)
                }
                Fault::ColdStart => {
                    let under_pressure = scenario.ends - scenario.begins;
                    let lost = COLD_START_LOSS.as_secs_f64() / under_pressure.as_secs_f64();
                    whole - f64::from(spec.slots) * lost
                }
                Fault::OverstatedSlots => whole - f64::from(spec.slots / 2),
                Fault::SlowService { service, factor } if service == index => whole / factor,
                _ => whole,
            }
        })
        .collect()
}

fn critical_demand(deployment: &Deployment, scenario: &Scenario, demand: &[f64]) -> f64 {
    let mut alone = vec![0.0; demand.len()];
    alone[0] = 1e9;
    let most = allowed(deployment, &alone, &slots(deployment, scenario)).per_kind[0];
    demand[0] / most
}

fn series(outcomes: &Outcomes) -> Vec<Point> {
    let bins = outcomes.bins.iter().enumerate();
    bins.map(|(index, bin)| Point {
        at_secs: (BIN * index as u32).as_secs_f64(),
        goodput_per_sec: f64::from(bin.goodput) / BIN.as_secs_f64(),
        waiting: bin.waiting,
    })
    .collect()
}

const TARGET_GOODPUT: f64 = 0.95;
const TARGET_CRITICAL: f64 = 0.99;
const CRITICAL_DEMAND: f64 = 0.8;
const TARGET_RECOVERY: Duration = Duration::from_secs(1);
const TARGET_WASTED: f64 = 0.03;
const ALLOWANCE: u32 = 3;

pub(crate) fn text(rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<17} {:<13} {:<11} {:>7} {:>7} {:>23} {:>6} {:>8} {:>6} {:>7} {:>4} {:>7} {:>5} {:>7} {:>7}",
        "scenario",
        "deployment",
        "policy",
        "goodput",
        "by work",
        "by class",
        "crit",
        "recovery",
        "wasted",
        "retries",
        "most",
        "resends",
        "twice",
        "p99 ms",
        "crashes"
    );
    for row in rows {
        let _ = writeln!(text, "{}", line(row));
    }
    let _ = writeln!(text, "\nTargets of the policy hemlocktack:");
    for row in rows.iter().filter(|row| row.policy == "hemlocktack") {
        let missed = missed_targets(row, rows);
        let result = if missed.is_empty() {
            "reached".to_owned()
        } else {
            format!("NOT reached: {}", missed.join("; "))
        };
        let _ = writeln!(text, "{:<17} {:<13} {result}", row.scenario, row.deployment);
    }
    text
}

fn line(row: &Row) -> String {
    let classes: Vec<_> = row
        .class_shares
        .iter()
        .map(|share| percent(*share))
        .collect();
    let recovery = match row.recovery_secs {
        Some(secs) => format!("{secs:.2} s"),
        None => "never".to_owned(),
    };
    format!(
        "{:<17} {:<13} {:<11} {:>7} {:>7} {:>23} {:>6} {:>8} {:>6} {:>7.3} {:>4} {:>7.2} {:>5} {:>7.0} {:>7}",
        row.scenario,
        row.deployment,
        row.policy,
        percent(row.goodput_share),
        percent(row.work_share),
        classes.join(" "),
        percent(row.critical_answered_share),
        recovery,
        percent(row.wasted_share),
        row.retries_per_request,
        row.most_retries,
        row.resends_per_request,
        row.ran_twice,
        row.p99_ms,
        row.crashes,
    )
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// Returns the targets that a row of policy hemlocktack misses, with the measured values.
pub(crate) fn missed_targets(row: &Row, rows: &[Row]) -> Vec<String> {
    let mut missed = Vec::new();
    let mut require = |reached: bool, what: String| {
        if !reached {
            missed.push(what);
        }
    };
    require(
        row.goodput_share >= TARGET_GOODPUT,
        format!("goodput {}", percent(row.goodput_share)),
    );
    for other in rows.iter().filter(|other| is_baseline_of(other, row)) {
        require(
            row.goodput_share >= other.goodput_share,
            format!(
                "goodput below {} ({})",
                other.policy,
                percent(other.goodput_share)
            ),
        );
    }
    if row.critical_demand_share < CRITICAL_DEMAND {
        require(
            row.critical_answered_share >= TARGET_CRITICAL,
            format!("critical class {}", percent(row.critical_answered_share)),
        );
    }
    let recovery = row.recovery_secs.unwrap_or(f64::INFINITY);
    require(
        recovery <= TARGET_RECOVERY.as_secs_f64(),
        format!("recovery {recovery} s"),
    );
    require(
        row.wasted_share <= TARGET_WASTED,
        format!("wasted {}", percent(row.wasted_share)),
    );
    require(
        row.most_retries <= ALLOWANCE,
        format!("{} retries", row.most_retries),
    );
    require(row.ran_twice == 0, format!("{} ran twice", row.ran_twice));
    require(
        row.ran_after_refusal == 0,
        format!("{} ran after refusal", row.ran_after_refusal),
    );
    if row.scenario == "quiet" {
        require(
            row.refused == 0,
            format!("{} refused at no load", row.refused),
        );
    }
    missed
}

fn is_baseline_of(other: &Row, row: &Row) -> bool {
    other.scenario == row.scenario
        && other.deployment == row.deployment
        && other.policy != row.policy
}

pub(crate) fn json(rows: &[Row]) -> String {
    serde_json::to_string_pretty(rows).expect("rows are plain numbers and names")
}
