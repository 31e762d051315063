//! Measures direct calls and calls through the nodes in alternation.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use reqwest::Client;
use tokio::task::JoinHandle;

use crate::common::Result;

const WARM_UP_CALLS: usize = 200;
/// Number of calls before the path changes; small enough that a slow period of the machine affects
/// both paths.
const CALLS_PER_TURN: usize = 50;
/// Unit of the CPU times in `/proc/self/stat`.
const CPU_TICK_US: u64 = 10_000;
const MAX_TIME_US: u64 = 10_000_000;

/// Measurements of both paths in one cell.
pub(crate) struct Comparison {
    direct: PathMeasurement,
    through: PathMeasurement,
}

/// Measurements of one path.
struct PathMeasurement {
    times_us: Histogram<u64>,
    cpu_us: u64,
}

impl PathMeasurement {
    fn new() -> Result<Self> {
        Ok(Self {
            times_us: Histogram::new_with_bounds(1, MAX_TIME_US, 3)?,
            cpu_us: 0,
        })
    }

    fn quantile_us(&self, quantile: f64) -> i64 {
        self.times_us.value_at_quantile(quantile) as i64
    }

    fn cpu_us_per_call(&self) -> i64 {
        (self.cpu_us / self.times_us.len().max(1)) as i64
    }
}

impl Comparison {
    pub(crate) fn heading() -> String {
        format!(
            "{:>9}{:>8}{:>12}{:>12}{:>13}{:>13}{:>11}{:>11}{:>16}",
            "load /s",
            "body",
            "direct p50",
            "direct p99",
            "through p50",
            "through p99",
            "added p50",
            "added p99",
            "added CPU/call"
        )
    }

    pub(crate) fn line(&self, rate_per_s: u32, body_bytes: usize) -> String {
        let (direct, through) = (&self.direct, &self.through);
        let added = |quantile: f64| through.quantile_us(quantile) - direct.quantile_us(quantile);
        format!(
            "{rate_per_s:>9}{body_bytes:>8}{:>12}{:>12}{:>13}{:>13}{:>11}{:>11}{:>16}",
            direct.quantile_us(0.50),
            direct.quantile_us(0.99),
            through.quantile_us(0.50),
            through.quantile_us(0.99),
            added(0.50),
            added(0.99),
            self.added_cpu(rate_per_s),
        )
    }
}

impl Comparison {
    /// CPU time that the nodes add per call; `-` with background load, which uses CPU time of the
    /// same process.
    fn added_cpu(&self, rate_per_s: u32) -> String {
        if rate_per_s > 0 {
            return "-".to_owned();
        }
        let added_us = self.through.cpu_us_per_call() - self.direct.cpu_us_per_call();
        added_us.to_string()
    }
}

/// Sends at least `calls` calls on each path, over one keep-alive connection each.
pub(crate) async fn compare(
    direct_url: &str,
    through_url: &str,
    body_bytes: usize,
    calls: usize,
) -> Result<Comparison> {
    let client = Client::builder().no_proxy().tcp_nodelay(true).build()?;
    let body = vec![b'x'; body_bytes];
    let mut warm_up = PathMeasurement::new()?;
    send_turn(&client, direct_url, &body, WARM_UP_CALLS, &mut warm_up).await?;
    send_turn(&client, through_url, &body, WARM_UP_CALLS, &mut warm_up).await?;
    let mut comparison = Comparison {
        direct: PathMeasurement::new()?,
        through: PathMeasurement::new()?,
    };
    for _ in 0..calls.div_ceil(CALLS_PER_TURN) {
        send_turn(
            &client,
            direct_url,
            &body,
            CALLS_PER_TURN,
            &mut comparison.direct,
        )
        .await?;
        send_turn(
            &client,
            through_url,
            &body,
            CALLS_PER_TURN,
            &mut comparison.through,
        )
        .await?;
    }
    Ok(comparison)
}

async fn send_turn(
    client: &Client,
    url: &str,
    body: &[u8],
    calls: usize,
    measurement: &mut PathMeasurement,
) -> Result<()> {
    let cpu_before_us = process_cpu_us()?;
    for _ in 0..calls {
        let began = Instant::now();
        let answer = client.post(url).body(body.to_vec()).send().await?;
        if !answer.status().is_success() {
            return Err(format!("a call was not answered: {:?}", answer.headers()).into());
        }
        let received = answer.bytes().await?;
        measurement
            .times_us
            .record(began.elapsed().as_micros() as u64)?;
        if received.len() != body.len() {
            return Err("an answer is incomplete".into());
        }
    }
    measurement.cpu_us += process_cpu_us()? - cpu_before_us;
    Ok(())
}

/// CPU time of the whole process, which includes nodes, caller and upstream.
fn process_cpu_us() -> Result<u64> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    Ok(ticks * CPU_TICK_US)
}

/// Background load through the nodes while a cell is measured.
pub(crate) struct Background {
    task: JoinHandle<()>,
}

impl Background {
    pub(crate) fn start(url: &str, rate_per_s: u32) -> Self {
        Self {
            task: tokio::spawn(send_evenly(url.to_owned(), rate_per_s)),
        }
    }

    pub(crate) fn stop(self) {
        self.task.abort();
    }
}

async fn send_evenly(url: String, rate_per_s: u32) {
    if rate_per_s == 0 {
        return;
    }
    let client = Client::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate_per_s);
    loop {
        ticks.tick().await;
        tokio::spawn(client.post(&url).body("x").send());
    }
}
