//! One upstream: it runs a limited number of calls at a time; the others wait inside, first
//! come, first served.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use super::arena::CallKey;

#[derive(Debug, Default)]
pub(crate) struct Upstream {
    pub(crate) data_centre: usize,
    /// Slots that it actually has.
    pub(crate) slots: usize,
    pub(crate) announced_slots: u32,
    pub(crate) connections: u32,
    pub(crate) slowness: f64,
    /// Time at which it restarted cold.
    pub(crate) cold_since: Option<Duration>,
    pub(crate) is_down: bool,
    running: HashSet<CallKey>,
    inside: VecDeque<CallKey>,
}

/// Time in which a cold upstream warms up, and its initial slowness.
const WARM_UP: Duration = Duration::from_secs(3);
const COLD_SLOWNESS: f64 = 5.0;

impl Upstream {
    pub(crate) fn new(data_centre: usize, slots: u32, connections: u32) -> Self {
        Upstream {
            data_centre,
            slots: slots as usize,
            announced_slots: slots,
            connections,
            slowness: 1.0,
            ..Upstream::default()
        }
    }

    /// Accepts a call; returns true if it starts now.
    pub(crate) fn take(&mut self, call: CallKey) -> bool {
        if self.running.len() < self.slots {
            self.running.insert(call);
            true
        } else {
            self.inside.push_back(call);
            false
        }
    }

    /// Removes a call; returns the next one to start, if one waits inside.
    pub(crate) fn remove(&mut self, call: CallKey) -> Option<CallKey> {
        if !self.running.remove(&call) {
            self.inside.retain(|other| *other != call);
            return None;
        }
        let next = self.inside.pop_front()?;
        self.running.insert(next);
        Some(next)
    }

    /// Crashes; returns all calls that were inside.
    pub(crate) fn crash(&mut self) -> Vec<CallKey> {
        self.is_down = true;
        let mut calls: Vec<_> = self.running.drain().collect();
        calls.sort_unstable();
        calls.extend(self.inside.drain(..));
        calls
    }

    /// Returns the number of calls inside, running or waiting.
    pub(crate) fn len(&self) -> usize {
        self.running.len() + self.inside.len()
    }

    /// Returns the factor by which work takes longer at this time.
    pub(crate) fn slowness_at(&self, at: Duration) -> f64 {
        let Some(since) = self.cold_since else {
            return self.slowness;
        };
        let warm = (at.saturating_sub(since)).as_secs_f64() / WARM_UP.as_secs_f64();
        let cold = (COLD_SLOWNESS - 1.0) * (1.0 - warm.min(1.0));
        self.slowness * (1.0 + cold)
    }
}
