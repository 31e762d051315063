//! Histogram of durations, updated without a lock on the request path.

use std::fmt::Error;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hemlocktack_protocol::whole_micros;

use prometheus_client::encoding::{EncodeMetric, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::{MetricType, TypedMetric};

/// Upper bounds of the buckets in microseconds. A hop takes some hundred microseconds; the
/// longest caller timeouts are minutes.
const BOUNDS_US: [u64; 13] = [
    100, 250, 500, 1_000, 2_500, 5_000, 10_000, 50_000, 100_000, 500_000, 1_000_000, 5_000_000,
    30_000_000,
];
const MICROS_PER_SECOND: f64 = 1e6;

/// Histogram of durations, exposed in seconds.
#[derive(Debug, Default)]
pub(crate) struct DurationHistogram {
    /// The last bucket has no upper bound.
    buckets: [AtomicU64; BOUNDS_US.len() + 1],
    sum_us: AtomicU64,
}

impl DurationHistogram {
    pub(crate) fn observe(&self, duration: Duration) {
        let micros = whole_micros(duration);
        let bucket = BOUNDS_US.partition_point(|bound| *bound < micros);
        self.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        self.sum_us.fetch_add(micros, Ordering::Relaxed);
    }
}

/// Values of a histogram for one scrape.
#[derive(Debug)]
pub(crate) struct HistogramSnapshot {
    counts: Vec<(f64, u64)>,
    sum_seconds: f64,
}

impl DurationHistogram {
    pub(crate) fn snapshot(&self) -> HistogramSnapshot {
        let bounds = BOUNDS_US
            .iter()
            .map(|bound| *bound as f64 / MICROS_PER_SECOND);
        let bounds = bounds.chain([f64::INFINITY]);
        let counts = self
            .buckets
            .iter()
            .map(|count| count.load(Ordering::Relaxed));
        HistogramSnapshot {
            counts: bounds.zip(counts).collect(),
            sum_seconds: self.sum_us.load(Ordering::Relaxed) as f64 / MICROS_PER_SECOND,
        }
    }
}

impl TypedMetric for HistogramSnapshot {
    const TYPE: MetricType = MetricType::Histogram;
}

impl EncodeMetric for HistogramSnapshot {
    fn encode(&self, mut encoder: MetricEncoder<'_>) -> Result<(), Error> {
        let total = self.counts.iter().map(|(_, count)| count).sum();
        encoder.encode_histogram::<NoLabelSet>(self.sum_seconds, total, &self.counts, None)
    }

    fn metric_type(&self) -> MetricType {
        MetricType::Histogram
    }
}
