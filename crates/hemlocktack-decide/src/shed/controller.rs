//! The level of one upstream, from its queue and its demand.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{ClassRank, RootRequestId};

use super::ShedLevel;
use crate::queue::{MAX_CLASSES, class_of};

/// Numbers of [`ShedController`].
#[derive(Clone, Copy, Debug)]
pub struct ShedPolicy {
    /// Time between two changes of the level: long enough for the entries to
    /// have applied the last one (two hops and a call or so).
    pub interval: Duration,
    /// Queue that is kept standing under overload, as a share of the limit, so
    /// that a freed slot always finds a call: arrivals of one interval vary
    /// by less than this.
    pub target_queue: f64,
    /// Shedding begins when the queue has been above its target for this long,
    /// or for four service times: a burst that the queue works off by itself
    /// is not a reason to refuse anybody.
    pub begins_after: Duration,
    /// It begins at once when the queue is filled to this share of its bound:
    /// soon the node would refuse, which costs a hop.
    pub begins_at: f64,
    /// Service times in which the queue beyond its target is worked off. A
    /// queue of four times the limit then cuts the admitted load to nearly
    /// nothing, one at its target not at all.
    pub drain_service_times: f64,
    /// Largest cut of the admitted load in one interval.
    pub least_step: f64,
    /// Largest rise in one interval while calls wait.
    pub most_step: f64,
    /// The same as a share of capacity, for a level that lets next to nothing in.
    pub least_rise: f64,
    /// Rise in one interval when slots are idle: back from a twentieth to all
    /// within six intervals, so that shedding ends with the pressure.
    pub idle_step: f64,
    /// Utilisation below which slots count as idle.
    pub idle_below: f64,
}

impl Default for ShedPolicy {
    fn default() -> Self {
        ShedPolicy {
            interval: Duration::from_millis(50),
            target_queue: 0.25,
            begins_after: Duration::from_millis(250),
            begins_at: 0.75,
            drain_service_times: 4.0,
            least_step: 0.5,
            most_step: 1.2,
            least_rise: 0.1,
            idle_step: 1.8,
            idle_below: 0.8,
        }
    }
}

/// What the controller sees of its upstream at the end of an interval.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pressure {
    /// Calls of this class and the more important ones that wait.
    pub(crate) queued_up_to: [usize; MAX_CLASSES],
    /// Most calls that may wait.
    pub(crate) queue_bound: usize,
    pub(crate) in_flight: usize,
    pub(crate) limit: u32,
    /// Mean time of a call; zero while none has finished.
    pub(crate) service_time: Duration,
}

impl Pressure {
    fn queued(&self) -> usize {
        self.queued_up_to[MAX_CLASSES - 1]
    }
}

/// Works out the level of one upstream.
///
/// Load: demand above capacity for longer than a queue can absorb. Harm: calls
/// wait until their callers have gone, and the chain works for nobody. The
/// level lets in what the upstream can finish plus a short standing queue;
/// what it cuts off is refused at the entry, the least important class first,
/// before anything was spent on it. Since the queue runs more important classes
/// first, a class is cut only for calls that wait in it or before it.
#[derive(Debug)]
pub struct ShedController {
    policy: ShedPolicy,
    level: ShedLevel,
    /// Levels of the last intervals, in a ring.
    recent: [ShedLevel; RECENT_LEVELS],
    intervals: usize,
    /// Strictest of the recent levels: what it admits, every entry has let in,
    /// however late it heard of the last change.
    settled: ShedLevel,
    /// Arrivals of this interval that the settled level admits.
    arrived: [u32; MAX_CLASSES],
    /// Estimated demand per second of each class, shed or not.
    demand: [f64; MAX_CLASSES],
    began: Instant,
    above_target_since: Option<Instant>,
}

/// Levels looked back at. A request of a deep chain takes some hundred
/// milliseconds from the entry that admitted it to here: after the level has
/// risen, what it lets in more is not seen for as long, and demand would be
/// taken for lower than it is, and the level raised too far.
const RECENT_LEVELS: usize = 8;
/// Demand is averaged over this and two service times: at five arrivals in an
/// interval, a shorter average would be noise.
const DEMAND_AVERAGED_OVER: Duration = Duration::from_millis(100);
/// A smaller admitted share than this is too thin to estimate demand from.
const LEAST_SEEN_SHARE: f64 = 0.02;
/// Decay of the demand of a class that is shed whole, per interval: nothing is
/// seen of it, and after some seconds the old value means nothing.
const UNSEEN_DECAY: f64 = 0.98;

impl ShedController {
    /// Nothing shed.
    pub fn new(policy: ShedPolicy, now: Instant) -> Self {
        ShedController {
            policy,
            level: ShedLevel::OPEN,
            recent: [ShedLevel::OPEN; RECENT_LEVELS],
            intervals: 0,
            settled: ShedLevel::OPEN,
            arrived: [0; MAX_CLASSES],
            demand: [0.0; MAX_CLASSES],
            began: now,
            above_target_since: None,
        }
    }

    /// Level in force.
    pub fn level(&self) -> ShedLevel {
        self.level
    }

    /// Demand over capacity, less one; 0 when there is room.
    pub(crate) fn excess(&self, capacity_per_sec: f64) -> f64 {
        let demand: f64 = self.demand.iter().sum();
        if capacity_per_sec > 0.0 {
            (demand / capacity_per_sec - 1.0).max(0.0)
        } else {
            0.0
        }
    }

    /// Counts an arriving call.
    pub(crate) fn arrived(&mut self, rank: ClassRank, root_request_id: RootRequestId) {
        if self.settled.admits(rank, root_request_id) {
            self.arrived[class_of(rank)] += 1;
        }
    }

    pub(crate) fn due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.began) >= self.policy.interval
    }

    pub(crate) fn next_due(&self) -> Instant {
        self.began + self.policy.interval
    }

    /// Ends the interval and sets the level for the next one.
    pub(crate) fn end_interval(&mut self, pressure: &Pressure, now: Instant) {
        let elapsed = now.saturating_duration_since(self.began);
        self.estimate_demand(elapsed, pressure.service_time);
        self.arrived = [0; MAX_CLASSES];
        self.began = now;
        let target = f64::from(pressure.limit) * self.policy.target_queue;
        let is_above = pressure.queued() as f64 > target;
        self.above_target_since = is_above.then(|| self.above_target_since.unwrap_or(now));
        if self.level != ShedLevel::OPEN || self.begins(pressure, now) {
            self.level = self.next_level(pressure);
        }
        self.recent[self.intervals % RECENT_LEVELS] = self.level;
        self.intervals += 1;
        self.settled = self.recent.into_iter().min().unwrap_or(self.level);
    }

    fn begins(&self, pressure: &Pressure, now: Instant) -> bool {
        let full = pressure.queue_bound as f64 * self.policy.begins_at;
        let after = self.policy.begins_after.max(pressure.service_time * 4);
        let stands = self
            .above_target_since
            .is_some_and(|since| now.saturating_duration_since(since) >= after);
        stands || pressure.queued() as f64 >= full
    }

    fn estimate_demand(&mut self, elapsed: Duration, service_time: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let over = DEMAND_AVERAGED_OVER + service_time * 2;
        let weight = elapsed / (elapsed + over.as_secs_f64());
        for class in 0..MAX_CLASSES {
            let share = self.settled.share_of(class);
            if share < LEAST_SEEN_SHARE {
                self.demand[class] *= UNSEEN_DECAY;
                continue;
            }
            let seen = f64::from(self.arrived[class]) / elapsed / share;
            self.demand[class] += (seen - self.demand[class]) * weight;
        }
    }

    fn next_level(&self, pressure: &Pressure) -> ShedLevel {
        let limit = f64::from(pressure.limit);
        if pressure.service_time.is_zero() {
            return ShedLevel::OPEN;
        }
        let admitted = self.admitted();
        let in_flight = pressure.in_flight as f64;
        if pressure.queued() == 0 && in_flight < limit * self.policy.idle_below {
            let risen = self.level_for(|_| admitted * self.policy.idle_step);
            return risen.max(self.level);
        }
        let capacity = limit / pressure.service_time.as_secs_f64();
        let standing = limit * self.policy.target_queue;
        let drain_secs = pressure.service_time.as_secs_f64() * self.policy.drain_service_times;
        // A level that lets nothing in has nothing to grow from.
        let most = (admitted * self.policy.most_step).max(capacity * self.policy.least_rise);
        self.level_for(|class| {
            let surplus = pressure.queued_up_to[class] as f64 - standing;
            (capacity - surplus / drain_secs)
                .min(most)
                .max(admitted * self.policy.least_step)
        })
    }

    /// Calls a second that the level in force lets in.
    fn admitted(&self) -> f64 {
        let classes = self.demand.iter().enumerate();
        classes
            .map(|(class, demand)| demand * self.level.share_of(class))
            .sum()
    }

    /// Level that lets in `rate(class)` calls a second of each class and those
    /// before it together.
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
