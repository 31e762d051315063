//! Metrics of a node and resource usage of its process.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::time::Instant;

use crate::fleet::Result;

/// Ticks per second of the CPU times in `/proc`: `USER_HZ` of Linux.
const CLOCK_TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;

/// Metrics and resource usage of one node at one time.
pub(crate) struct Scrape {
    pub(crate) at: Instant,
    values: BTreeMap<String, f64>,
    pub(crate) process_id: u32,
    pub(crate) cpu_s: f64,
    pub(crate) resident_bytes: f64,
}

impl Scrape {
    pub(crate) fn value(&self, name: &str) -> f64 {
        self.values.get(name).copied().unwrap_or(0.0)
    }

    /// Values whose name begins with the prefix.
    pub(crate) fn values<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, f64)> {
        let named = self.values.iter();
        named
            .filter(move |(name, _)| name.starts_with(prefix))
            .map(|(name, value)| (name.as_str(), *value))
    }

    /// Adds CPU time and memory of the process as the operating system reports them.
    pub(crate) fn read_process(&mut self, process_id: u32) -> Result<()> {
        const USER_TICKS: usize = 11;
        const SYSTEM_TICKS: usize = 12;
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat"))?;
        // The name in parentheses may hold spaces; the fields after it do not.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse().ok());
        let used: f64 = ticks(USER_TICKS).unwrap_or(0.0) + ticks(SYSTEM_TICKS).unwrap_or(0.0);
        let pages = fs::read_to_string(format!("/proc/{process_id}/statm"))?;
        let resident = pages.split_whitespace().nth(1);
        let resident: f64 = resident.and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
        self.process_id = process_id;
        self.cpu_s = used / CLOCK_TICKS_PER_S;
        self.resident_bytes = resident * PAGE_BYTES;
        Ok(())
    }
}

/// Reads a node's metrics; `None` if it does not answer.
pub(crate) async fn scrape(http: &reqwest::Client, control: SocketAddr) -> Option<Scrape> {
    let url = format!("http://{control}/metrics");
    let text = http.get(url).send().await.ok()?.text().await.ok()?;
    let values = text.lines().filter(|line| !line.starts_with('#'));
    let values = values.filter_map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    });
    Some(Scrape {
        at: Instant::now(),
        values: values.collect(),
        process_id: 0,
        cpu_s: 0.0,
        resident_bytes: 0.0,
    })
}
