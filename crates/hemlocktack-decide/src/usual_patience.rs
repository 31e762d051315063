//! How long a caller has waited already, told from how long it still waits.

use std::time::Duration;

/// Patiences told apart for one kind of request. Callers' programs have one or
/// two each; the rest are what is left to those who come back.
const CANDIDATES: usize = 4;
/// Requests with one patience before it counts as usual.
const SEEN_BEFORE_USUAL: u32 = 4;
/// Counts are halved from here on, so that a new release of the callers'
/// programs with another patience is noticed.
const COUNTED_AT_MOST: u32 = 1_000;
/// Differences below this are a caller's own rounding.
const ROUNDING: Duration = Duration::from_millis(10);

/// Learns the patience with which callers of one kind of request begin.
///
/// Load: an overload in which refused callers come back. Harm: a request that
/// has waited once looks as fresh as any and is taken to have its whole
/// objective left; it gets a slot, its answer comes late, and a fresh one that
/// would have been answered in time is refused in its place. A caller that
/// comes back waits only the rest of its patience, and most requests are fresh,
/// so the patience that is met most is the whole one (Misra-Gries counts).
#[derive(Clone, Debug, Default)]
pub struct CallerTimeoutEstimator {
    candidates: [Candidate; CANDIDATES],
}

#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    patience: Duration,
    count: u32,
}

impl CallerTimeoutEstimator {
    /// Takes in how long a caller says it waits; how long it has waited before.
    pub fn estimate_waited(&mut self, patience: Duration) -> Duration {
        self.count(patience);
        let usual = self
            .candidates
            .iter()
            .max_by_key(|candidate| candidate.count);
        let usual = usual.filter(|usual| usual.count >= SEEN_BEFORE_USUAL);
        let waited = usual.map_or(Duration::ZERO, |usual| {
            usual.patience.saturating_sub(patience)
        });
        if waited < ROUNDING {
            Duration::ZERO
        } else {
            waited
        }
    }

    fn count(&mut self, patience: Duration) {
        let known = self.candidates.iter_mut();
        let mut known = known.filter(|candidate| candidate.count > 0);
        if let Some(same) = known.find(|candidate| candidate.patience == patience) {
            same.count += 1;
            if same.count >= COUNTED_AT_MOST {
                self.candidates
                    .iter_mut()
                    .for_each(|candidate| candidate.count /= 2);
            }
            return;
        }
        match self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.count == 0)
        {
            Some(free) => *free = Candidate { patience, count: 1 },
            None => self
                .candidates
                .iter_mut()
                .for_each(|candidate| candidate.count -= 1),
        }
    }
}
