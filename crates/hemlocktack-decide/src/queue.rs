//! Queue of calls that wait for a slot, with one lane per class and per whether work has already
//! been done for the call.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallId, ClassRank, Fingerprint};

use crate::offer::{OfferedCall, WorkKind};

/// Maximum number of classes that operators may declare. Higher ranks are treated as the last
/// class.
pub const MAX_CLASSES: usize = 16;
/// Lanes of each class: calls with prior work, then fresh calls.
const LANES_PER_CLASS: usize = 2;
const LANES: usize = MAX_CLASSES * LANES_PER_CLASS;
/// Calls with prior work that start before a fresh call of their class gets a turn.
///
/// Calls with prior work to a service that every request of a class needs several times can keep
/// its queue non-empty. A few fresh requests of the class, although they are a hundredth of the
/// work, would then wait until their callers time out. One turn in eight is many times what such
/// requests need, and if there are more of them, it takes at most an eighth of the slots from
/// calls with prior work.
const PRIOR_WORK_CALLS_PER_FRESH: usize = 7;

/// A call in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedCall {
    pub(crate) call_id: CallId,
    pub(crate) class: usize,
    pub(crate) has_prior_work: bool,
    /// Until when the call may wait and still be worth running.
    pub(crate) deadline: Instant,
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
            class: class_of(offer.class_rank),
            has_prior_work: offer.work_spent > Duration::ZERO,
            deadline: offer.deadline.min(worth_until),
            objective: offer
                .objective
                .map(|objective| objective.saturating_duration_since(now)),
            has_returned: offer.has_returned,
            kind: offer.kind,
            fingerprint: offer.fingerprint,
        }
    }
}

/// Bounded queue. All memory is allocated on creation; each operation except
/// [`ClassQueue::take_matching`] takes constant time, amortized over cancelled entries.
#[derive(Debug)]
pub(crate) struct ClassQueue {
    lanes: [VecDeque<CallId>; LANES],
    lane_lengths: [usize; LANES],
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

    /// Returns the number of queued calls that would run before a new call of this class.
    pub(crate) fn calls_ahead_of(&self, class: usize, has_prior_work: bool) -> usize {
        let before: usize = self.lane_lengths[..lane(class, true)].iter().sum();
        let with_prior_work = self.lane_lengths[lane(class, true)];
        let fresh = self.lane_lengths[lane(class, false)];
        if has_prior_work {
            return before
                + with_prior_work
                + fresh.min(with_prior_work / PRIOR_WORK_CALLS_PER_FRESH);
        }
        before + fresh + with_prior_work.min((fresh + 1) * PRIOR_WORK_CALLS_PER_FRESH)
    }

    /// Returns, per class, the number of queued calls of the class and of all more important
    /// ones.
    pub(crate) fn cumulative_queued(&self) -> [usize; MAX_CLASSES] {
        let mut sum = 0;
        std::array::from_fn(|class| {
            let lanes = &self.lane_lengths[class * LANES_PER_CLASS..][..LANES_PER_CLASS];
            sum += lanes.iter().sum::<usize>();
            sum
        })
    }

    pub(crate) fn push(&mut self, call: QueuedCall) {
        let lane = lane(call.class, call.has_prior_work);
        self.lanes[lane].push_back(call.call_id);
        self.lane_lengths[lane] += 1;
        self.waiting.insert(call.call_id, call);
    }

    /// Removes the next call to run: the oldest or the newest of the most important lane.
    pub(crate) fn pop(&mut self, newest_first: bool) -> Option<QueuedCall> {
        let first = self.lane_lengths.iter().position(|length| *length > 0)?;
        let lane = self.next_lane(first);
        self.take_from(lane, newest_first)
    }

    /// Returns the first non-empty lane, or the fresh lane of its class if that one has its
    /// turn.
    fn next_lane(&mut self, first: usize) -> usize {
        let class = first / LANES_PER_CLASS;
        let fresh = lane(class, false);
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

    /// Removes the call that would run last if its lane is less important than that of a new
    /// call of this class. Fresh calls of the same class that would start before calls with
    /// prior work are kept.
    pub(crate) fn evict_less_important(
        &mut self,
        class: usize,
        has_prior_work: bool,
    ) -> Option<QueuedCall> {
        let last = self.lane_lengths.iter().rposition(|length| *length > 0)?;
        let has_fresh_turn = last == lane(class, false) && self.has_fresh_turn(class);
        if last <= lane(class, has_prior_work) || has_fresh_turn {
            return None;
        }
        self.take_from(last, true)
    }

    /// Returns whether one more fresh call of this class would start before all queued calls
    /// with prior work have started.
    pub(crate) fn has_fresh_turn(&self, class: usize) -> bool {
        let fresh = self.lane_lengths[lane(class, false)];
        fresh * PRIOR_WORK_CALLS_PER_FRESH < self.lane_lengths[lane(class, true)]
    }

    pub(crate) fn remove(&mut self, call_id: CallId) -> Option<QueuedCall> {
        let call = self.waiting.remove(&call_id)?;
        // The id stays in the lane. It is skipped when it reaches the front, or dropped here
        // once stale ids outnumber the queued calls.
        let lane = lane(call.class, call.has_prior_work);
        self.lane_lengths[lane] -= 1;
        if self.lanes[lane].len() > 2 * self.lane_lengths[lane] + LANES {
            let waiting = &self.waiting;
            self.lanes[lane].retain(|id| waiting.contains_key(id));
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
            self.lanes[lane].retain(|call_id| {
                let Some(call) = waiting.get(call_id).copied() else {
                    return false;
                };
                if !matches(&call) {
                    return true;
                }
                waiting.remove(call_id);
                *length -= 1;
                taken(call);
                false
            });
        }
    }

    fn take_from(&mut self, lane: usize, newest: bool) -> Option<QueuedCall> {
        loop {
            let call_id = if newest {
                self.lanes[lane].pop_back()?
            } else {
                self.lanes[lane].pop_front()?
            };
            if let Some(call) = self.waiting.remove(&call_id) {
                self.lane_lengths[lane] -= 1;
                return Some(call);
            }
        }
    }
}

fn lane(class: usize, has_prior_work: bool) -> usize {
    class * LANES_PER_CLASS + usize::from(!has_prior_work)
}

/// Returns the queue class for the class rank of a call.
pub(crate) fn class_of(rank: ClassRank) -> usize {
    usize::from(rank).min(MAX_CLASSES - 1)
}
