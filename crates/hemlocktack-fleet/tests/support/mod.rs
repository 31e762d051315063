//! Virtual time of the randomised runs: an agenda of events, and the number of seeds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Time since the begin of a run.
pub(crate) type Micros = u64;

pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;

/// Events in the order of their times; those of one time in the order in which they were added.
pub(crate) struct Agenda<E> {
    now: Micros,
    order: u64,
    times: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, E>,
}

impl<E> Agenda<E> {
    pub(crate) fn new() -> Self {
        Agenda {
            now: 0,
            order: 0,
            times: BinaryHeap::new(),
            events: BTreeMap::new(),
        }
    }

    pub(crate) fn now(&self) -> Micros {
        self.now
    }

    pub(crate) fn at(&mut self, time: Micros, event: E) {
        self.order += 1;
        self.times.push(Reverse((time, self.order)));
        self.events.insert(self.order, event);
    }

    pub(crate) fn after(&mut self, delay: Micros, event: E) {
        self.at(self.now + delay, event);
    }

    /// Takes the next event and moves on to its time; `None` if there is none until `end`.
    pub(crate) fn next(&mut self, end: Micros) -> Option<E> {
        let Reverse((time, order)) = self.times.pop()?;
        if time > end {
            return None;
        }
        self.now = time;
        self.events.remove(&order)
    }
}

/// Returns the number of seeds that this environment variable sets, or else the default.
pub(crate) fn seeds(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.map_or(default, |text| text.parse().unwrap())
}
