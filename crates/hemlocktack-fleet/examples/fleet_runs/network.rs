//! Simulated network: which datagrams and pulls arrive, and when.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// A network partition between two sets of nodes, in both directions.
pub(crate) struct Cut {
    pub(crate) side: Vec<usize>,
    pub(crate) other: Vec<usize>,
    pub(crate) ends: Duration,
}

/// Present faults of the network.
#[derive(Default)]
pub(crate) struct Network {
    pub(crate) cuts: Vec<Cut>,
    /// Share of datagrams lost, and the virtual time at which that ends.
    pub(crate) loss: f64,
    pub(crate) loss_ends: Duration,
}

impl Network {
    /// Ends faults whose time is over; returns whether a partition ended.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let before = self.cuts.len();
        self.cuts.retain(|cut| cut.ends > now);
        if now >= self.loss_ends {
            self.loss = 0.0;
        }
        self.cuts.len() < before
    }

    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        let crosses = |cut: &Cut, a, b| cut.side.contains(&a) && cut.other.contains(&b);
        self.cuts
            .iter()
            .any(|cut| crosses(cut, from, to) || crosses(cut, to, from))
    }

    /// Returns the delay of each copy of a datagram that arrives: none, one, or two.
    pub(crate) fn deliveries(&self, from: usize, to: usize, rng: &mut StdRng) -> Vec<Duration> {
        const DUPLICATE_SHARE: f64 = 0.02;
        const LATE_SHARE: f64 = 0.02;
        if self.is_cut(from, to) || rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if rng.random_bool(DUPLICATE_SHARE) {
            2
        } else {
            1
        };
        let delay = |rng: &mut StdRng| match rng.random_bool(LATE_SHARE) {
            true => Duration::from_millis(rng.random_range(5..400)),
            false => Duration::from_micros(rng.random_range(200..3_000)),
        };
        (0..copies).map(|_| delay(rng)).collect()
    }
}
