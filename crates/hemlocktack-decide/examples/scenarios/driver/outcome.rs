//! Results of a run as callers see them, and its cost.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Width of one bin of the time series.
pub(crate) const BIN: Duration = Duration::from_millis(250);

/// Results of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindOutcome {
    /// Requests that arrived under pressure.
    pub(crate) under_pressure: u64,
    /// Of these, answered in time.
    pub(crate) answered_under_pressure: u64,
    /// Requests of the whole run.
    pub(crate) arrived: u64,
    pub(crate) answered: u64,
    /// Refusals that reached a caller.
    pub(crate) refused: u64,
    /// Failed sends by reason, as the caller sees them.
    pub(crate) ends: BTreeMap<String, u64>,
}

/// One bin of the time series.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bin {
    /// Requests that arrived in the bin.
    pub(crate) arrived: u32,
    /// Of these, answered in time eventually.
    pub(crate) answered: u32,
    /// Answers that arrived in the bin.
    pub(crate) goodput: u32,
    /// Calls waiting at its end, inside and in front of upstreams.
    pub(crate) waiting: u32,
}

/// All results of one run.
#[derive(Debug)]
pub(crate) struct Outcomes {
    pub(crate) kinds: Vec<KindOutcome>,
    pub(crate) bins: Vec<Bin>,
    pub(crate) work: Duration,
    pub(crate) useful_work: Duration,
    pub(crate) latency: Histogram<u64>,
    pub(crate) calls: u64,
    pub(crate) caller_resends: u64,
    pub(crate) retries: u64,
    /// Maximum number of retries that one send of one request used in its chain.
    pub(crate) most_retries: u32,
    pub(crate) ran_twice: u64,
    pub(crate) crashes: u32,
    /// Calls that started in an upstream after being refused; must be 0.
    pub(crate) ran_after_refusal: u64,
}

impl Outcomes {
    pub(crate) fn new(kinds: usize, lasts: Duration) -> Self {
        let bins = lasts.as_millis() / BIN.as_millis() + 1;
        Outcomes {
            kinds: vec![KindOutcome::default(); kinds],
            bins: vec![Bin::default(); bins as usize],
            work: Duration::ZERO,
            useful_work: Duration::ZERO,
            latency: Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds are in range"),
            calls: 0,
            caller_resends: 0,
            retries: 0,
            most_retries: 0,
            ran_twice: 0,
            crashes: 0,
            ran_after_refusal: 0,
        }
    }

    pub(crate) fn bin(&mut self, at: Duration) -> Option<&mut Bin> {
        let index = at.as_millis() / BIN.as_millis();
        self.bins.get_mut(index as usize)
    }

    /// Returns the share of all work done for requests that were not answered in time.
    pub(crate) fn wasted_share(&self) -> f64 {
        if self.work.is_zero() {
            return 0.0;
        }
        1.0 - self.useful_work.as_secs_f64() / self.work.as_secs_f64()
    }

    /// Returns the time after `ends` from which every bin's requests are answered to 95% of the
    /// share before `begins`; `None` if that is not reached. The last bins are excluded, as
    /// their requests may still be in progress.
    pub(crate) fn recovery(
        &self,
        begins: Duration,
        ends: Duration,
        timeout: Duration,
    ) -> Option<Duration> {
        let index = |at: Duration| (at.as_millis() / BIN.as_millis()) as usize;
        let share = |bins: &[Bin]| {
            let arrived: u32 = bins.iter().map(|bin| bin.arrived).sum();
            let answered: u32 = bins.iter().map(|bin| bin.answered).sum();
            f64::from(answered) / f64::from(arrived.max(1))
        };
        let before = share(&self.bins[index(begins) / 3..index(begins)]);
        let end = self.bins.len().saturating_sub(index(timeout) + 2);
        let after = &self.bins[index(ends)..end];
        let last_bad = after
            .iter()
            .rposition(|bin| share(std::slice::from_ref(bin)) < 0.95 * before);
        match last_bad {
            None => Some(Duration::ZERO),
            Some(last) if last + 4 >= after.len() => None,
            Some(last) => Some(BIN * (last as u32 + 1)),
        }
    }
}
