//! Whether the platform's store serves this node.

use std::time::{Duration, Instant};

use hemlocktack_protocol::StoreContact;
use rand::{Rng, RngExt};

/// Intervals and limits by which a node judges its access to the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreContactSettings {
    /// Time without an answer after which a node that watches sends a probe.
    pub probe_interval: Duration,
    /// Time for which a call may be unanswered before the store counts as silent. Above the time
    /// that a slow store takes to answer.
    pub silence_limit: Duration,
    /// Failures in a row after which the store counts as refusing this node. A single one may be a
    /// connection that was closed while idle.
    pub refusing_failures: u32,
    /// Delay of the probe after a first failure.
    pub confirm_delay: Duration,
    /// Shortest interval of the probes of a refused node.
    pub retry_base: Duration,
    /// Share of each node of the data centre in that interval, while the store serves none of them.
    /// The probes of a data centre then do not grow with its nodes.
    pub retry_per_node: Duration,
    /// Longest interval while the store serves another node of the data centre.
    pub retry_limit: Duration,
    /// Time for which the store must have served a node before earlier refusals are forgotten.
    pub stable_time: Duration,
}

impl Default for StoreContactSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(400),
            silence_limit: Duration::from_millis(750),
            refusing_failures: 2,
            confirm_delay: Duration::from_millis(50),
            retry_base: Duration::from_secs(1),
            retry_per_node: Duration::from_millis(100),
            retry_limit: Duration::from_secs(30),
            stable_time: Duration::from_secs(60),
        }
    }
}

/// Current information from membership.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContactView {
    /// Whether this node watches the store, or asks it for others.
    pub is_active: bool,
    /// Live nodes of the data centre, this one included.
    pub local_nodes: usize,
    /// Whether the store serves as many other live nodes of the data centre as shall watch.
    pub are_others_served: bool,
}

/// State machine for the access of one node to the store.
///
/// An idle watch and a store that has become silent look alike, so a node that watches also sends
/// probes. Calls that the schedule of others starts count in place of probes.
#[derive(Debug)]
pub struct StoreContactState {
    settings: StoreContactSettings,
    contact: StoreContact,
    is_active: bool,
    /// Failures of reads since the last answer to a read or a watch.
    read_failures: u32,
    /// Failures of probes since the last answer to any call.
    probe_failures: u32,
    /// Start of the first call since the last answer.
    unanswered_since: Option<Instant>,
    next_probe: Instant,
    /// When the store last refused this node or was last probed after that.
    last_try: Instant,
    /// Random factor of the interval to the next probe of a refused node.
    retry_factor: f64,
    refusals: u32,
    served_since: Option<Instant>,
    last_tick: Instant,
}

impl StoreContactState {
    /// Creates the state of a node that has not called the store.
    pub fn new(settings: StoreContactSettings, now: Instant) -> Self {
        Self {
            settings,
            contact: StoreContact::Unknown,
            is_active: false,
            read_failures: 0,
            probe_failures: 0,
            unanswered_since: None,
            next_probe: now,
            last_try: now,
            retry_factor: 1.0,
            refusals: 0,
            served_since: None,
            last_tick: now,
        }
    }

    /// Returns what this node knows of its access to the store.
    pub fn contact(&self) -> StoreContact {
        self.contact
    }

    /// Records the start of a call that the store answers at once, which a watch is not.
    pub fn asked(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
        self.next_probe = now + self.settings.probe_interval;
    }

    /// Records an answer to a read or a watch.
    pub fn answered(&mut self, now: Instant) {
        self.read_failures = 0;
        self.record_answer(now);
    }

    /// Records an answer to a probe. It does not make up for failed reads: the store may reject
    /// those, and answer probes, for which it may use old data.
    pub fn probe_answered(&mut self, now: Instant) {
        if self.contact == StoreContact::Refused {
            self.read_failures = 0;
        }
        self.record_answer(now);
    }

    fn record_answer(&mut self, now: Instant) {
        self.probe_failures = 0;
        self.unanswered_since = None;
        self.next_probe = now + self.settings.probe_interval;
        self.served_since.get_or_insert(now);
        self.contact = self.contact_once_served();
    }

    /// Records the failure of a read that was started at `started`. One that took long is no refusal
    /// but silence, which counts by its time.
    pub fn failed(&mut self, now: Instant, started: Instant, rng: &mut impl Rng) {
        if !self.is_silence(now, started) {
            self.read_failures = self.read_failures.saturating_add(1);
            self.judge_failures(now, rng);
        }
    }

    /// Records the failure of a probe that was started at `started`.
    pub fn probe_failed(&mut self, now: Instant, started: Instant, rng: &mut impl Rng) {
        if !self.is_silence(now, started) {
            self.probe_failures = self.probe_failures.saturating_add(1);
            self.judge_failures(now, rng);
        }
    }

    fn is_silence(&self, now: Instant, started: Instant) -> bool {
        now.saturating_duration_since(started) >= self.settings.silence_limit / 2
    }

    fn judge_failures(&mut self, now: Instant, rng: &mut impl Rng) {
        if self.read_failures + self.probe_failures >= self.settings.refusing_failures {
            self.refuse(now, rng);
            return;
        }
        self.next_probe = now + self.settings.confirm_delay;
    }

    /// Records that a watch failed. The store may cut off a watch and serve the next one, so this
    /// is no refusal; a probe follows at once.
    pub fn watch_failed(&mut self, now: Instant) {
        self.next_probe = now;
    }

    /// Returns whether a probe is due, which counts as started; must be called several times per
    /// interval.
    pub fn tick(&mut self, now: Instant, view: &StoreContactView, rng: &mut impl Rng) -> bool {
        self.skip_own_pause(now);
        self.set_active(view.is_active);
        self.forget_refusals(now);
        if self.is_silent(now) {
            self.refuse(now, rng);
        }
        if !self.is_probe_due(now, view) {
            return false;
        }
        self.last_try = now;
        self.retry_factor = retry_factor(rng);
        self.asked(now);
        true
    }

    /// Excludes a pause of this process, in which it could read no answer.
    fn skip_own_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < self.settings.silence_limit / 2 {
            return;
        }
        if let Some(since) = &mut self.unanswered_since {
            *since = (*since + gap).min(now);
        }
    }

    fn set_active(&mut self, is_active: bool) {
        self.is_active = is_active;
        // Nobody checks any longer whether the store still serves an inactive node.
        if self.contact != StoreContact::Refused && !is_active {
            self.contact = StoreContact::Unknown;
        }
    }

    fn contact_once_served(&self) -> StoreContact {
        match self.is_active {
            true => StoreContact::Served,
            false => StoreContact::Unknown,
        }
    }

    fn forget_refusals(&mut self, now: Instant) {
        let served_for = self
            .served_since
            .map(|since| now.saturating_duration_since(since));
        if served_for.is_some_and(|time| time >= self.settings.stable_time) {
            self.refusals = 0;
        }
    }

    fn is_silent(&self, now: Instant) -> bool {
        let limit = self.settings.silence_limit;
        let since = self.unanswered_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= limit)
    }

    fn refuse(&mut self, now: Instant, rng: &mut impl Rng) {
        self.unanswered_since = None;
        self.served_since = None;
        self.refusals = self.refusals.saturating_add(1);
        // The interval to the next probe begins with the last one, and not with its failure.
        if self.contact != StoreContact::Refused {
            self.last_try = now;
            self.retry_factor = retry_factor(rng);
        }
        self.contact = StoreContact::Refused;
    }

    fn is_probe_due(&self, now: Instant, view: &StoreContactView) -> bool {
        match (self.contact, view.is_active) {
            // A refused node that is active all the same calls by the schedules of its tasks.
            (StoreContact::Refused, true) => false,
            (StoreContact::Refused, false) => {
                let interval = self.retry_interval(view).mul_f64(self.retry_factor);
                now >= self.last_try + interval
            }
            (_, is_active) => is_active && now >= self.next_probe,
        }
    }

    /// Returns the interval of the probes of a refused node. While the store serves another one, it
    /// doubles with each refusal, so that a node that the store serves by turns seldom takes over
    /// the watch.
    fn retry_interval(&self, view: &StoreContactView) -> Duration {
        const MAX_DOUBLINGS: u32 = 16;
        let settings = &self.settings;
        if view.are_others_served {
            let doublings = self.refusals.saturating_sub(1).min(MAX_DOUBLINGS);
            return (settings.retry_base * 2u32.pow(doublings)).min(settings.retry_limit);
        }
        let nodes = u32::try_from(view.local_nodes).unwrap_or(u32::MAX);
        let share = settings.retry_per_node.saturating_mul(nodes);
        settings.retry_base.max(share)
    }
}

fn retry_factor(rng: &mut impl Rng) -> f64 {
    rng.random_range(0.5..1.0)
}
