//! Computes the shed level of one upstream from its queue and its demand.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{ClassRank, RootRequestId};

use super::ShedLevel;
use crate::queue::{MAX_CLASSES, class_of};

/// Parameters of [`ShedController`].
#[derive(Clone, Copy, Debug)]
pub struct ShedPolicy {
    /// Time between two changes of the level: long enough for the entries to have applied the
    /// last one (about two hops and a call).
    pub interval: Duration,
    /// Target queue under overload, as a share of the limit, so that a freed slot always finds a
    /// waiting call: the arrivals of one interval vary by less than this.
    pub target_queue_share: f64,
    /// Shedding starts when the queue has been above its target for this long, or for four
    /// service times if that is longer. A burst that the queue absorbs by itself is no reason to
    /// refuse calls.
    pub start_after: Duration,
    /// Shedding starts at once when the queue reaches this share of its bound: the node would
    /// soon have to refuse calls itself, which costs a hop.
    pub start_at_queue_share: f64,
    /// Number of service times over which the queue above its target is drained. A queue of four
    /// times the limit then cuts the admitted load to almost nothing, and one at its target does
    /// not cut it at all.
    pub drain_service_times: f64,
    /// Minimum factor applied to the admitted load in one interval.
    pub min_step_factor: f64,
    /// Maximum factor applied to the admitted load in one interval while calls wait.
    pub max_step_factor: f64,
    /// Rise that is always allowed, as a share of capacity, for a level that admits almost
    /// nothing.
    pub min_rise_share: f64,
    /// Factor applied to the admitted load per interval while slots are idle: it returns from a
    /// twentieth to everything within six intervals, so that shedding ends with the pressure.
    pub idle_step_factor: f64,
    /// Utilisation below which slots count as idle.
    pub idle_utilisation: f64,
}

impl Default for ShedPolicy {
    fn default() -> Self {
        ShedPolicy {
            interval: Duration::from_millis(50),
            target_queue_share: 0.25,
            start_after: Duration::from_millis(250),
            start_at_queue_share: 0.75,
            drain_service_times: 4.0,
            min_step_factor: 0.5,
            max_step_factor: 1.2,
            min_rise_share: 0.1,
            idle_step_factor: 1.8,
            idle_utilisation: 0.8,
        }
    }
}

/// State of the upstream at the end of an interval.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pressure {
    /// Queued calls of each class and of all more important ones.
    pub(crate) cumulative_queued: [usize; MAX_CLASSES],
    /// Maximum number of queued calls.
    pub(crate) queue_bound: usize,
    pub(crate) in_flight: usize,
    pub(crate) limit: u32,
    /// Mean time of a call; zero until one has finished.
    pub(crate) service_time: Duration,
}

impl Pressure {
    fn queued(&self) -> usize {
        self.cumulative_queued[MAX_CLASSES - 1]
    }
}

/// Computes the shed level of one upstream.
///
/// If demand stays above capacity for longer than a queue can absorb, calls wait until their
/// callers have timed out, and the chain does work that nobody uses. The level admits what the
/// upstream can finish plus a short queue. The rest is refused at the entry, least important
/// class first, before any work is spent on it. Since the queue runs more important classes
/// first, a class is cut only for calls that wait in it or in a more important one.
#[derive(Debug)]
pub struct ShedController {
    policy: ShedPolicy,
    level: ShedLevel,
    /// Ring buffer of the levels of the last intervals.
    recent: [ShedLevel; RECENT_LEVELS],
    interval_count: usize,
    /// Strictest of the recent levels. What it admits has been admitted by every entry, however
    /// late it learnt of the last change.
    strictest_recent: ShedLevel,
    /// Arrivals in this interval that `strictest_recent` admits.
    arrived: [u32; MAX_CLASSES],
    /// Estimated demand per second of each class, including what is shed.
    demand: [f64; MAX_CLASSES],
    interval_began: Instant,
    above_target_since: Option<Instant>,
}

/// Number of recent levels kept. A request of a deep chain takes some hundred milliseconds from
/// the entry that admitted it to this node. The additional load of a raised level is not visible
/// until then; demand would be underestimated and the level raised too far.
const RECENT_LEVELS: usize = 8;
/// Demand is averaged over this time plus two service times: at five arrivals per interval, a
/// shorter average would be mostly noise.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_millis(100);
/// Minimum admitted share of a class from which its demand is estimated; a smaller one gives too
/// few samples.
const MIN_OBSERVED_SHARE: f64 = 0.02;
/// Decay per interval of the estimated demand of a class that is shed entirely: none of it is
/// observed, and after some seconds the old estimate is meaningless.
const UNOBSERVED_DECAY: f64 = 0.98;

impl ShedController {
    /// Creates a controller that sheds nothing.
    pub fn new(policy: ShedPolicy, now: Instant) -> Self {
        ShedController {
            policy,
            level: ShedLevel::OPEN,
            recent: [ShedLevel::OPEN; RECENT_LEVELS],
            interval_count: 0,
            strictest_recent: ShedLevel::OPEN,
            arrived: [0; MAX_CLASSES],
            demand: [0.0; MAX_CLASSES],
            interval_began: now,
            above_target_since: None,
        }
    }

    /// Returns the current level.
    pub fn level(&self) -> ShedLevel {
        self.level
    }

    /// Returns demand over capacity, minus one; 0 when there is spare capacity.
    pub(crate) fn excess_demand(&self, capacity_per_sec: f64) -> f64 {
        let demand: f64 = self.demand.iter().sum();
        if capacity_per_sec > 0.0 {
            (demand / capacity_per_sec - 1.0).max(0.0)
        } else {
            0.0
        }
    }

    /// Counts an arriving call.
    pub(crate) fn arrived(&mut self, rank: ClassRank, root_request_id: RootRequestId) {
        if self.strictest_recent.admits(rank, root_request_id) {
            self.arrived[class_of(rank)] += 1;
        }
    }

    pub(crate) fn is_interval_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.interval_began) >= self.policy.interval
    }

    pub(crate) fn next_due(&self) -> Instant {
        self.interval_began + self.policy.interval
    }

    /// Ends the interval and sets the level for the next one.
    pub(crate) fn end_interval(&mut self, pressure: &Pressure, now: Instant) {
        let elapsed = now.saturating_duration_since(self.interval_began);
        self.estimate_demand(elapsed, pressure.service_time);
        self.arrived = [0; MAX_CLASSES];
        self.interval_began = now;
        let target = f64::from(pressure.limit) * self.policy.target_queue_share;
        let is_above = pressure.queued() as f64 > target;
        self.above_target_since = is_above.then(|| self.above_target_since.unwrap_or(now));
        if self.level != ShedLevel::OPEN || self.should_start(pressure, now) {
            self.level = self.next_level(pressure);
        }
        self.recent[self.interval_count % RECENT_LEVELS] = self.level;
        self.interval_count += 1;
        self.strictest_recent = self.recent.into_iter().min().unwrap_or(self.level);
    }

    fn should_start(&self, pressure: &Pressure, now: Instant) -> bool {
        let full = pressure.queue_bound as f64 * self.policy.start_at_queue_share;
        let after = self.policy.start_after.max(pressure.service_time * 4);
        let is_sustained = self
            .above_target_since
            .is_some_and(|since| now.saturating_duration_since(since) >= after);
        is_sustained || pressure.queued() as f64 >= full
    }

    fn estimate_demand(&mut self, elapsed: Duration, service_time: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let over = DEMAND_AVERAGING_TIME + service_time * 2;
        let weight = elapsed / (elapsed + over.as_secs_f64());
        for class in 0..MAX_CLASSES {
            let share = self.strictest_recent.share_of(class);
            if share < MIN_OBSERVED_SHARE {
                self.demand[class] *= UNOBSERVED_DECAY;
                continue;
            }
            let observed = f64::from(self.arrived[class]) / elapsed / share;
            self.demand[class] += (observed - self.demand[class]) * weight;
        }
    }

    fn next_level(&self, pressure: &Pressure) -> ShedLevel {
        let limit = f64::from(pressure.limit);
        if pressure.service_time.is_zero() {
            return ShedLevel::OPEN;
        }
        let admitted = self.admitted();
        let in_flight = pressure.in_flight as f64;
        if pressure.queued() == 0 && in_flight < limit * self.policy.idle_utilisation {
            let risen = self.level_for(|_| admitted * self.policy.idle_step_factor);
            return risen.max(self.level);
        }
        let capacity = limit / pressure.service_time.as_secs_f64();
        let target_queue = limit * self.policy.target_queue_share;
        let drain_secs = pressure.service_time.as_secs_f64() * self.policy.drain_service_times;
        // A level that admits nothing cannot grow by a factor.
        let max_rate =
            (admitted * self.policy.max_step_factor).max(capacity * self.policy.min_rise_share);
        self.level_for(|class| {
            let surplus = pressure.cumulative_queued[class] as f64 - target_queue;
            (capacity - surplus / drain_secs)
                .min(max_rate)
                .max(admitted * self.policy.min_step_factor)
        })
    }

    /// Returns the calls per second that the current level admits.
    fn admitted(&self) -> f64 {
        let classes = self.demand.iter().enumerate();
        classes
            .map(|(class, demand)| demand * self.level.share_of(class))
            .sum()
    }

    /// Returns the level that admits `rate(class)` calls per second of each class and all more
    /// important ones together.
    fn level_for(&self, rate: impl Fn(usize) -> f64) -> ShedLevel {
        let mut before = 0.0;
        for (class, &demand) in self.demand.iter().enumerate() {
            let left = rate(class) - before;
            if left < demand {
                return ShedLevel::at(class, left / demand);
            }
            before += demand;
        }
        ShedLevel::OPEN
    }
}
