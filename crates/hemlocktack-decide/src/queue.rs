//! Calls that wait for a slot: one lane for each class and for whether work has
//! been spent on them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallId, ClassRank, Fingerprint};

use crate::offer::{OfferedCall, WorkKind};

/// Classes told apart: as many as the operators may declare. Ranks beyond are
/// treated as the last of these.
pub const MAX_CLASSES: usize = 16;
/// Lanes of each class: calls that the chain has worked for, then fresh ones.
const LANES_PER_CLASS: usize = 2;
const LANES: usize = MAX_CLASSES * LANES_PER_CLASS;
/// Calls with spent work that start before a fresh one of their class has its
/// turn.
///
/// Load: a deep service that every request of a class needs several times, and
/// a few requests of that class that go to it directly. Harm: deeper calls are
/// never out of sight, so a fresh one waits until its caller has gone, though
/// all fresh ones together are a hundredth of the work. One turn in eight is
/// many times what such requests need, and where there are more of them it
/// costs deeper calls an eighth of the slots at most.
const INVESTED_A_TURN: usize = 7;

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) call_id: CallId,
    pub(crate) class: usize,
    pub(crate) invested: bool,
    /// Until when it may wait and still be worth its work.
    pub(crate) deadline: Instant,
    /// Time in which its answer is wanted, from its offer on.
    pub(crate) objective: Option<Duration>,
    pub(crate) has_returned: bool,
    pub(crate) kind: WorkKind,
    pub(crate) fingerprint: Fingerprint,
}

impl Waiting {
    pub(crate) fn from_offer(offer: &OfferedCall, now: Instant) -> Self {
        let worth_until = offer.objective.unwrap_or(offer.deadline);
        Waiting {
            call_id: offer.call_id,
            class: class_of(offer.class_rank),
            invested: offer.work_spent > Duration::ZERO,
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

/// Bounded queue. All memory is taken when it is made; each operation but
/// [`ClassQueue::take_hopeless`] is constant time, amortised over the entries
/// that were cancelled.
#[derive(Debug)]
pub(crate) struct ClassQueue {
    lanes: [VecDeque<CallId>; LANES],
    lane_lengths: [usize; LANES],
    /// Calls with spent work of each class that have started since a fresh one
    /// of it did, or began to wait.
    since_fresh: [usize; MAX_CLASSES],
    waiting: HashMap<CallId, Waiting>,
}

impl ClassQueue {
    pub(crate) fn new(capacity: usize) -> Self {
        ClassQueue {
            lanes: std::array::from_fn(|_| VecDeque::new()),
            lane_lengths: [0; LANES],
            since_fresh: [0; MAX_CLASSES],
            waiting: HashMap::with_capacity(capacity),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Calls that would run before a new one of this class.
    pub(crate) fn ahead_of(&self, class: usize, invested: bool) -> usize {
        let before: usize = self.lane_lengths[..lane(class, true)].iter().sum();
        let worked_for = self.lane_lengths[lane(class, true)];
        let fresh = self.lane_lengths[lane(class, false)];
        if invested {
            return before + worked_for + fresh.min(worked_for / INVESTED_A_TURN);
        }
        before + fresh + worked_for.min((fresh + 1) * INVESTED_A_TURN)
    }

    /// Calls of each class and the more important ones together.
    pub(crate) fn queued_up_to(&self) -> [usize; MAX_CLASSES] {
        let mut sum = 0;
        std::array::from_fn(|class| {
            let lanes = &self.lane_lengths[class * LANES_PER_CLASS..][..LANES_PER_CLASS];
            sum += lanes.iter().sum::<usize>();
            sum
        })
    }

    pub(crate) fn push(&mut self, call: Waiting) {
        let lane = lane(call.class, call.invested);
        self.lanes[lane].push_back(call.call_id);
        self.lane_lengths[lane] += 1;
        self.waiting.insert(call.call_id, call);
    }

    /// Next call to run: the best lane's oldest, or its newest.
    pub(crate) fn pop(&mut self, newest_first: bool) -> Option<Waiting> {
        let first = self.lane_lengths.iter().position(|length| *length > 0)?;
        let lane = self.lane_on_turn(first);
        self.take_from(lane, newest_first)
    }

    /// The best lane that has calls, or the fresh one of its class.
    fn lane_on_turn(&mut self, first: usize) -> usize {
        let class = first / LANES_PER_CLASS;
        let fresh = lane(class, false);
        if first == fresh || self.lane_lengths[fresh] == 0 {
            self.since_fresh[class] = 0;
            return first;
        }
        self.since_fresh[class] += 1;
        if self.since_fresh[class] <= INVESTED_A_TURN {
            return first;
        }
        self.since_fresh[class] = 0;
        fresh
    }

    /// Takes out the call that would run last, if it is of a lower lane than a
    /// new call of this class. Fresh calls of its own class that have their turn
    /// before deeper ones stay.
    pub(crate) fn evict_below(&mut self, class: usize, invested: bool) -> Option<Waiting> {
        let worst = self.lane_lengths.iter().rposition(|length| *length > 0)?;
        let has_turn = worst == lane(class, false) && self.has_turn(class);
        if worst <= lane(class, invested) || has_turn {
            return None;
        }
        self.take_from(worst, true)
    }

    /// Whether one more fresh call of this class would start before the deeper
    /// ones that wait have all started.
    pub(crate) fn has_turn(&self, class: usize) -> bool {
        let fresh = self.lane_lengths[lane(class, false)];
        fresh * INVESTED_A_TURN < self.lane_lengths[lane(class, true)]
    }

    pub(crate) fn remove(&mut self, call_id: CallId) -> Option<Waiting> {
        let call = self.waiting.remove(&call_id)?;
        // Its id stays in the lane and is skipped when it comes up, or is
        // dropped here once such ids outnumber the calls.
        let lane = lane(call.class, call.invested);
        self.lane_lengths[lane] -= 1;
        if self.lanes[lane].len() > 2 * self.lane_lengths[lane] + LANES {
            let waiting = &self.waiting;
            self.lanes[lane].retain(|id| waiting.contains_key(id));
        }
        Some(call)
    }

    /// Takes out every call for which `is_hopeless` holds.
    pub(crate) fn take_hopeless(
        &mut self,
        is_hopeless: impl Fn(&Waiting) -> bool,
        mut taken: impl FnMut(Waiting),
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
                if !is_hopeless(&call) {
                    return true;
                }
                waiting.remove(call_id);
                *length -= 1;
                taken(call);
                false
            });
        }
    }

    fn take_from(&mut self, lane: usize, newest: bool) -> Option<Waiting> {
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

fn lane(class: usize, invested: bool) -> usize {
    class * LANES_PER_CLASS + usize::from(!invested)
}

/// Lane class of a rank from a call.
pub(crate) fn class_of(rank: ClassRank) -> usize {
    usize::from(rank).min(MAX_CLASSES - 1)
}
