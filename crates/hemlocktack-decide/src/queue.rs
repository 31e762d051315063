//! Queue of calls that wait for a slot. Each class has lanes for calls with prior work, one per
//! group of root requests, and a lane for fresh calls.

use std::collections::{HashMap, VecDeque};
use std::ops::Range;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallId, ClassRank, Fingerprint, RootRequestId};

use crate::mix::mix;
use crate::offer::{OfferedCall, WorkKind};

/// Maximum number of classes that operators may declare. Higher ranks are treated as the last
/// class.
pub const MAX_CLASSES: usize = 16;
/// Groups of root requests. Under overload, requests of one group still compete with each other
/// for the last free slots; with more groups less work is wasted on those that lose.
const ROOT_GROUPS: usize = 1 << ROOT_GROUP_BITS;
const ROOT_GROUP_BITS: u32 = 5;
/// Lanes of each class: calls with prior work by the group of their root request, then fresh
/// calls.
const LANES_PER_CLASS: usize = ROOT_GROUPS + 1;
const LANES: usize = MAX_CLASSES * LANES_PER_CLASS;
/// Calls with prior work that start before a fresh call of their class gets a turn.
///
/// Calls with prior work to a service that every request of a class needs several times can keep
/// its queue non-empty. A few fresh requests of the class, although they are a hundredth of the
/// work, would then wait until their callers time out. One turn in eight is many times what such
/// requests need, and if there are more of them, it takes at most an eighth of the slots from
/// calls with prior work.
const PRIOR_WORK_CALLS_PER_FRESH: usize = 7;

/// Time before its deadline at which a queued call is refused: one interval of the sweep
/// and as much for the refusal to reach the node that sent the call.
const REFUSAL_MARGIN: Duration = Duration::from_millis(20);
/// Maximum of that margin as a share of the time left when the call arrives.
const MAX_REFUSAL_MARGIN_SHARE: f64 = 0.5;

/// Stale entries that a lane may hold in addition to twice its calls.
const MAX_STALE_ENTRIES: usize = 32;

/// Order in which calls of one class leave the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct QueueOrder {
    /// The newest call goes first, not the oldest.
    pub(crate) is_newest_first: bool,
    /// Calls with prior work go by the group of their root request first.
    ///
    /// A request may need several calls of one service. If their age decided, each would compete
    /// anew, and while calls are lost here nearly every request would lose one after the others
    /// had run. In a stable order of root requests the same ones win each time. The shed level has
    /// the same order.
    pub(crate) is_by_root_request: bool,
}

/// Where a call belongs in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuePlace {
    pub(crate) class: usize,
    /// Group of the root request of a call with prior work.
    root_group: Option<usize>,
}

impl QueuePlace {
    pub(crate) fn of(offer: &OfferedCall) -> Self {
        let root_group = || root_group(offer.root_request_id);
        QueuePlace {
            class: class_of(offer.class_rank),
            root_group: offer.has_prior_work().then(root_group),
        }
    }

    pub(crate) fn has_prior_work(self) -> bool {
        self.root_group.is_some()
    }

    fn lane(self) -> usize {
        let group_lane = self.root_group.map(|group| first_lane(self.class) + group);
        group_lane.unwrap_or(fresh_lane(self.class))
    }

    /// Returns the last lane whose calls are as important as this one, whatever their group.
    fn last_equal_lane(self) -> usize {
        match self.has_prior_work() {
            true => fresh_lane(self.class) - 1,
            false => fresh_lane(self.class),
        }
    }
}

/// A call in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedCall {
    pub(crate) call_id: CallId,
    pub(crate) place: QueuePlace,
    /// Until when the call may wait and still be worth running.
    pub(crate) deadline: Instant,
    /// When the call is refused if it still waits.
    pub(crate) refuse_at: Instant,
    /// Time allowed for the answer, measured from the offer.
    pub(crate) objective: Option<Duration>,
    pub(crate) has_returned: bool,
    pub(crate) kind: WorkKind,
    pub(crate) fingerprint: Fingerprint,
}

impl QueuedCall {
    pub(crate) fn from_offer(offer: &OfferedCall, now: Instant) -> Self {
        let worth_until = offer.objective.unwrap_or(offer.deadline);
        QueuedCall {
            call_id: offer.call_id,
            place: QueuePlace::of(offer),
            deadline: offer.deadline.min(worth_until),
            refuse_at: refuse_at(offer.deadline, now).min(worth_until),
            objective: offer
                .objective
                .map(|objective| objective.saturating_duration_since(now)),
            has_returned: offer.has_returned,
            kind: offer.kind,
            fingerprint: offer.fingerprint,
        }
    }
}

/// Returns when a call with this deadline is refused if it still waits.
///
/// The node that sent the call answers its caller at the deadline. A refusal that is decided then
/// arrives too late, and the caller is told that the call may have run.
fn refuse_at(deadline: Instant, now: Instant) -> Instant {
    let time_left = deadline.saturating_duration_since(now);
    deadline - REFUSAL_MARGIN.min(time_left.mul_f64(MAX_REFUSAL_MARGIN_SHARE))
}

#[derive(Clone, Copy, Debug)]
struct LaneEntry {
    call_id: CallId,
    /// Increases with each call that is queued.
    arrival: u64,
}

/// Bounded queue. Each operation except [`ClassQueue::take_matching`] takes constant time,
/// amortized over cancelled entries.
#[derive(Debug)]
pub(crate) struct ClassQueue {
    lanes: [VecDeque<LaneEntry>; LANES],
    lane_lengths: [usize; LANES],
    last_arrival: u64,
    /// Per class: calls with prior work started since a fresh call of the class last started or
    /// began to wait.
    started_since_fresh: [usize; MAX_CLASSES],
    waiting: HashMap<CallId, QueuedCall>,
}

impl ClassQueue {
    pub(crate) fn new(capacity: usize) -> Self {
        ClassQueue {
            lanes: std::array::from_fn(|_| VecDeque::new()),
            lane_lengths: [0; LANES],
            last_arrival: 0,
            started_since_fresh: [0; MAX_CLASSES],
            waiting: HashMap::with_capacity(capacity),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of queued calls that would run before a new call at this place.
    pub(crate) fn calls_ahead_of(&self, place: QueuePlace, order: QueueOrder) -> usize {
        let before = self.queued_in(0..first_lane(place.class));
        let fresh = self.lane_lengths[fresh_lane(place.class)];
        if !place.has_prior_work() {
            let with_prior_work = self.queued_with_prior_work(place.class);
            return before + fresh + with_prior_work.min((fresh + 1) * PRIOR_WORK_CALLS_PER_FRESH);
        }
        let ahead = match order.is_by_root_request {
            true => self.queued_in(first_lane(place.class)..place.lane() + 1),
            false => self.queued_with_prior_work(place.class),
        };
        before + ahead + fresh.min(ahead / PRIOR_WORK_CALLS_PER_FRESH)
    }

    fn queued_with_prior_work(&self, class: usize) -> usize {
        self.queued_in(first_lane(class)..fresh_lane(class))
    }

    fn queued_in(&self, lanes: Range<usize>) -> usize {
        self.lane_lengths[lanes].iter().sum()
    }

    /// Returns, per class, the number of queued calls of the class and of all more important
    /// ones.
    pub(crate) fn cumulative_queued(&self) -> [usize; MAX_CLASSES] {
        let mut sum = 0;
        std::array::from_fn(|class| {
            sum += self.queued_in(first_lane(class)..first_lane(class + 1));
            sum
        })
    }

    pub(crate) fn push(&mut self, call: QueuedCall) {
        let lane = call.place.lane();
        self.last_arrival += 1;
        self.lanes[lane].push_back(LaneEntry {
            call_id: call.call_id,
            arrival: self.last_arrival,
        });
        self.lane_lengths[lane] += 1;
        self.waiting.insert(call.call_id, call);
    }

    /// Removes the next call to run, from the most important class.
    pub(crate) fn pop(&mut self, order: QueueOrder) -> Option<QueuedCall> {
        if self.is_empty() {
            return None;
        }
        let first = self.lane_lengths.iter().position(|length| *length > 0)?;
        let lane = self.next_lane(first);
        let class = lane / LANES_PER_CLASS;
        if order.is_by_root_request || lane == fresh_lane(class) {
            return self.take_from(lane, order.is_newest_first);
        }
        self.take_with_prior_work(class, order.is_newest_first)
    }

    /// Removes the oldest or the newest call with prior work of a class.
    fn take_with_prior_work(&mut self, class: usize, newest: bool) -> Option<QueuedCall> {
        loop {
            let lane = self.lane_of_prior_work(class, newest)?;
            let call_id = self.pop_entry(lane, newest)?;
            if let Some(call) = self.take_waiting(lane, call_id) {
                return Some(call);
            }
        }
    }

    /// Returns the lane that holds the oldest or the newest entry with prior work of a class.
    fn lane_of_prior_work(&self, class: usize, newest: bool) -> Option<usize> {
        let lanes = first_lane(class)..fresh_lane(class);
        let lanes = lanes.filter(|lane| !self.lanes[*lane].is_empty());
        match newest {
            true => lanes.max_by_key(|lane| self.lanes[*lane].back().map(|entry| entry.arrival)),
            false => lanes.min_by_key(|lane| self.lanes[*lane].front().map(|entry| entry.arrival)),
        }
    }

    /// Returns the first non-empty lane, or the fresh lane of its class if that one has its
    /// turn.
    fn next_lane(&mut self, first: usize) -> usize {
        let class = first / LANES_PER_CLASS;
        let fresh = fresh_lane(class);
        if first == fresh || self.lane_lengths[fresh] == 0 {
            self.started_since_fresh[class] = 0;
            return first;
        }
        self.started_since_fresh[class] += 1;
        if self.started_since_fresh[class] <= PRIOR_WORK_CALLS_PER_FRESH {
            return first;
        }
        self.started_since_fresh[class] = 0;
        fresh
    }

    /// Removes the call that would run last if it is less important than a new call at this
    /// place. Fresh calls of the same class that would start before calls with prior work are
    /// kept.
    pub(crate) fn evict_less_important(
        &mut self,
        place: QueuePlace,
        order: QueueOrder,
    ) -> Option<QueuedCall> {
        let last = self.lane_lengths.iter().rposition(|length| *length > 0)?;
        let own = match order.is_by_root_request {
            true => place.lane(),
            false => place.last_equal_lane(),
        };
        let has_fresh_turn = last == fresh_lane(place.class) && self.has_fresh_turn(place.class);
        if last <= own || has_fresh_turn {
            return None;
        }
        self.take_from(last, true)
    }

    /// Removes the call that would run last.
    pub(crate) fn pop_last(&mut self) -> Option<QueuedCall> {
        let last = self.lane_lengths.iter().rposition(|length| *length > 0)?;
        self.take_from(last, true)
    }

    /// Returns whether one more fresh call of this class would start before all queued calls
    /// with prior work have started.
    pub(crate) fn has_fresh_turn(&self, class: usize) -> bool {
        let fresh = self.lane_lengths[fresh_lane(class)];
        fresh * PRIOR_WORK_CALLS_PER_FRESH < self.queued_with_prior_work(class)
    }

    pub(crate) fn remove(&mut self, call_id: CallId) -> Option<QueuedCall> {
        let call = self.waiting.remove(&call_id)?;
        // The id stays in the lane. It is skipped when it reaches the front, or dropped here
        // once stale ids outnumber the queued calls.
        let lane = call.place.lane();
        self.lane_lengths[lane] -= 1;
        if self.lanes[lane].len() > 2 * self.lane_lengths[lane] + MAX_STALE_ENTRIES {
            let waiting = &self.waiting;
            self.lanes[lane].retain(|entry| waiting.contains_key(&entry.call_id));
        }
        Some(call)
    }

    /// Removes every call that `matches` selects.
    pub(crate) fn take_matching(
        &mut self,
        matches: impl Fn(&QueuedCall) -> bool,
        mut taken: impl FnMut(QueuedCall),
    ) {
        for lane in 0..LANES {
            if self.lane_lengths[lane] == 0 {
                continue;
            }
            let waiting = &mut self.waiting;
            let length = &mut self.lane_lengths[lane];
            self.lanes[lane].retain(|entry| {
                let Some(call) = waiting.get(&entry.call_id).copied() else {
                    return false;
                };
                if !matches(&call) {
                    return true;
                }
                waiting.remove(&entry.call_id);
                *length -= 1;
                taken(call);
                false
            });
        }
    }

    fn take_from(&mut self, lane: usize, newest: bool) -> Option<QueuedCall> {
        loop {
            let call_id = self.pop_entry(lane, newest)?;
            if let Some(call) = self.take_waiting(lane, call_id) {
                return Some(call);
            }
        }
    }

    /// Removes an entry at one end of a lane; its call may have been cancelled.
    fn pop_entry(&mut self, lane: usize, newest: bool) -> Option<CallId> {
        let entry = match newest {
            true => self.lanes[lane].pop_back()?,
            false => self.lanes[lane].pop_front()?,
        };
        Some(entry.call_id)
    }

    /// Removes a call whose entry has left its lane; `None` if it was cancelled.
    fn take_waiting(&mut self, lane: usize, call_id: CallId) -> Option<QueuedCall> {
        let call = self.waiting.remove(&call_id)?;
        self.lane_lengths[lane] -= 1;
        Some(call)
    }
}

fn first_lane(class: usize) -> usize {
    class * LANES_PER_CLASS
}

fn fresh_lane(class: usize) -> usize {
    first_lane(class) + ROOT_GROUPS
}

/// Returns the group of a root request. The shed level sheds the highest numbers first.
fn root_group(root_request_id: RootRequestId) -> usize {
    (mix(root_request_id) >> (u64::BITS - ROOT_GROUP_BITS)) as usize
}

/// Returns the queue class for the class rank of a call.
pub(crate) fn class_of(rank: ClassRank) -> usize {
    usize::from(rank).min(MAX_CLASSES - 1)
}
