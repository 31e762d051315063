//! Receiver side: deduplication and resolution of calls, by sender.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use hemlocktack_protocol::{Answer, CallId, CallProgress};

use crate::peer::NodeIncarnation;
use crate::tickets::KeptAnswers;

/// Limits on the memory of [`Arrivals`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalLimits {
    /// Number of settled calls that are remembered for each sender.
    pub settled_per_sender: usize,
    /// Number of sender incarnations whose calls are remembered individually.
    pub senders: usize,
    /// Number of further sender incarnations of which only the low-water mark is remembered.
    pub forgotten_senders: usize,
    /// Budget in encoded bytes for answers kept for senders that lost a link.
    pub kept_answer_bytes: usize,
}

impl Default for ArrivalLimits {
    /// - `settled_per_sender`: a frame that is overtaken by the end of 256 later calls of its
    ///   sender is on a link that is too slow to wait for.
    /// - `senders`: almost twice the number of nodes of the largest fleet.
    /// - `forgotten_senders`: more than a year of thirty restarts a day.
    /// - `kept_answer_bytes`: a sender asks for an answer within a second of losing the link, and
    ///   1 MiB holds the answers of several seconds at 375 calls per second of 1 KB.
    fn default() -> ArrivalLimits {
        ArrivalLimits {
            settled_per_sender: 256,
            senders: 1024,
            forgotten_senders: 16_384,
            kept_answer_bytes: 1 << 20,
        }
    }
}

/// Decision on a `Call` frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The call is new: process it.
    New,
    /// Drop the frame without an answer: the call is already running or settled, or its sender was
    /// told that it never arrived.
    Dropped,
}

/// Reply to a `ResolveCall` frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Resolution {
    /// The call never arrived and is now fenced: a late frame will be dropped.
    NeverArrived,
    /// The call is running; its answer will be sent over the sender's newest link.
    Running,
    /// The call has finished with this answer.
    Finished(Arc<Answer>),
    /// The call arrived or may have arrived; nothing more is known.
    Forgotten,
}

impl Resolution {
    /// Returns the value for a `CallResolution` frame.
    pub fn progress(&self) -> CallProgress {
        match self {
            Resolution::NeverArrived => CallProgress::NeverArrived,
            Resolution::Running => CallProgress::Running,
            Resolution::Finished(_) => CallProgress::Finished,
            Resolution::Forgotten => CallProgress::Forgotten,
        }
    }
}

/// Numbers of dropped `Call` frames, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArrivalCounts {
    /// Calls that were already running or settled.
    pub duplicates: u64,
    /// Calls that arrived after they had been fenced.
    pub fenced: u64,
    /// Calls below the low-water mark, which may have run before.
    pub below_low_water_mark: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Running,
    Finished,
    Fenced,
}

#[derive(Clone, Debug)]
struct Sender {
    progress: HashMap<CallId, Progress>,
    // In the order in which the calls were settled.
    settled: VecDeque<CallId>,
    // A call below the mark that is not in `progress` may have been settled and forgotten. `None`
    // until the first call arrives from a sender that may itself have been forgotten: any of its
    // calls may have run before.
    low_water_mark: Option<CallId>,
}

impl Sender {
    fn with_unknown_history() -> Sender {
        Sender {
            progress: HashMap::new(),
            settled: VecDeque::new(),
            low_water_mark: None,
        }
    }
}

/// Calls of all senders, in bounded memory, without ever wrongly reporting "never arrived".
///
/// Forgetting a call raises its sender's low-water mark, and every unknown call below the mark
/// counts as forgotten. The sender then reports `unknown` to its caller, which loses an answer; a
/// wrong "never arrived" would let the call run a second time.
#[derive(Clone, Debug)]
pub struct Arrivals {
    limits: ArrivalLimits,
    senders: HashMap<NodeIncarnation, Sender>,
    oldest_sender_first: VecDeque<NodeIncarnation>,
    forgotten: HashMap<NodeIncarnation, CallId>,
    oldest_forgotten_first: VecDeque<NodeIncarnation>,
    low_water_mark_lost: bool,
    answers: KeptAnswers<(NodeIncarnation, CallId)>,
    counts: ArrivalCounts,
}

impl Arrivals {
    /// Creates the state for one incarnation of a node.
    pub fn new(limits: ArrivalLimits) -> Arrivals {
        Arrivals {
            limits,
            senders: HashMap::new(),
            oldest_sender_first: VecDeque::new(),
            forgotten: HashMap::new(),
            oldest_forgotten_first: VecDeque::new(),
            low_water_mark_lost: false,
            answers: KeptAnswers::new(limits.kept_answer_bytes),
            counts: ArrivalCounts::default(),
        }
    }

    /// Records a `Call` frame and decides whether to process it.
    pub fn record_arrival(&mut self, from: &NodeIncarnation, call_id: CallId) -> Arrival {
        let sender = self.sender_mut(from);
        let low_water_mark = *sender.low_water_mark.get_or_insert(call_id);
        let known = sender.progress.get(&call_id).copied();
        if known.is_none() && call_id >= low_water_mark {
            sender.progress.insert(call_id, Progress::Running);
            return Arrival::New;
        }
        match known {
            Some(Progress::Fenced) => self.counts.fenced += 1,
            Some(_) => self.counts.duplicates += 1,
            None => self.counts.below_low_water_mark += 1,
        }
        Arrival::Dropped
    }

    /// Records the end of a call. The answer is only needed if a re-send cannot find it anywhere
    /// else.
    pub fn finish(&mut self, from: &NodeIncarnation, call_id: CallId, answer: Option<Arc<Answer>>) {
        let Some(sender) = self.senders.get_mut(from) else {
            return;
        };
        let Some(progress) = sender.progress.get_mut(&call_id) else {
            return;
        };
        if *progress != Progress::Running {
            return;
        }
        *progress = Progress::Finished;
        if let Some(answer) = answer {
            self.answers.keep((from.clone(), call_id), answer);
        }
        self.settle(from, call_id);
    }

    /// Returns the state of a call to its sender, and fences the call if it never arrived.
    pub fn resolve(&mut self, from: &NodeIncarnation, call_id: CallId) -> Resolution {
        let sender = self.sender_mut(from);
        match sender.progress.get(&call_id) {
            Some(Progress::Running) => return Resolution::Running,
            Some(Progress::Fenced) => return Resolution::NeverArrived,
            Some(Progress::Finished) => {
                let answer = self.answers.get(&(from.clone(), call_id));
                return answer.map_or(Resolution::Forgotten, Resolution::Finished);
            }
            None => {}
        }
        if sender
            .low_water_mark
            .is_none_or(|low_water_mark| call_id < low_water_mark)
        {
            return Resolution::Forgotten;
        }
        // Fenced before the reply is sent: a frame that is still in a buffer of the lost link would
        // otherwise run the call after its caller was told `not_run`.
        sender.progress.insert(call_id, Progress::Fenced);
        self.settle(from, call_id);
        Resolution::NeverArrived
    }

    /// Returns the numbers of frames dropped so far.
    pub fn counts(&self) -> ArrivalCounts {
        self.counts
    }

    /// Returns the number of remembered calls of all senders.
    pub fn record_count(&self) -> usize {
        self.senders
            .values()
            .map(|sender| sender.progress.len())
            .sum()
    }

    /// Panics if the state is inconsistent; for tests and randomised runs.
    pub fn assert_consistent(&self) {
        assert!(self.senders.len() <= self.limits.senders.max(1), "senders");
        assert_eq!(
            self.senders.len(),
            self.oldest_sender_first.len(),
            "sender order"
        );
        for sender in self.senders.values() {
            let is_running = |progress: &&Progress| **progress == Progress::Running;
            let running_count = sender.progress.values().filter(is_running).count();
            assert!(
                sender.settled.len() <= self.limits.settled_per_sender,
                "settled calls"
            );
            assert_eq!(
                sender.progress.len(),
                running_count + sender.settled.len(),
                "calls"
            );
        }
        assert!(
            self.forgotten.len() <= self.limits.forgotten_senders,
            "forgotten senders"
        );
        assert!(
            self.answers.used_bytes() <= self.limits.kept_answer_bytes,
            "kept answers"
        );
    }

    fn settle(&mut self, from: &NodeIncarnation, call_id: CallId) {
        let Some(sender) = self.senders.get_mut(from) else {
            return;
        };
        sender.settled.push_back(call_id);
        // Forgets calls in the order in which they were settled, not by id: the answer to a
        // long-running call may still be in transit.
        while sender.settled.len() > self.limits.settled_per_sender {
            let Some(forgotten) = sender.settled.pop_front() else {
                return;
            };
            sender.progress.remove(&forgotten);
            sender.low_water_mark = sender.low_water_mark.max(Some(forgotten.saturating_add(1)));
            self.answers.remove(&(from.clone(), forgotten));
        }
    }

    fn sender_mut(&mut self, from: &NodeIncarnation) -> &mut Sender {
        if !self.senders.contains_key(from) {
            self.add_sender(from);
        }
        self.senders
            .entry(from.clone())
            .or_insert_with(Sender::with_unknown_history)
    }

    fn add_sender(&mut self, from: &NodeIncarnation) {
        // Once any low-water mark has been dropped, a sender that seems new may be one of those.
        let first_mark = (!self.low_water_mark_lost).then_some(0);
        let low_water_mark = self.forgotten.remove(from).or(first_mark);
        self.forget_sender_above_limit();
        self.oldest_sender_first.push_back(from.clone());
        self.senders.insert(
            from.clone(),
            Sender {
                low_water_mark,
                ..Sender::with_unknown_history()
            },
        );
    }

    fn forget_sender_above_limit(&mut self) {
        if self.senders.len() < self.limits.senders.max(1) {
            return;
        }
        let Some(oldest) = self.oldest_sender_first.pop_front() else {
            return;
        };
        let Some(sender) = self.senders.remove(&oldest) else {
            return;
        };
        for call_id in &sender.settled {
            self.answers.remove(&(oldest.clone(), *call_id));
        }
        let above_highest = sender
            .progress
            .keys()
            .max()
            .map(|call_id| call_id.saturating_add(1));
        if let Some(low_water_mark) = sender.low_water_mark.max(above_highest) {
            self.forgotten.insert(oldest.clone(), low_water_mark);
            self.oldest_forgotten_first.push_back(oldest);
        }
        self.drop_marks_above_limit();
    }

    fn drop_marks_above_limit(&mut self) {
        while self.forgotten.len() > self.limits.forgotten_senders {
            let Some(oldest) = self.oldest_forgotten_first.pop_front() else {
                return;
            };
            if self.forgotten.remove(&oldest).is_some() {
                self.low_water_mark_lost = true;
            }
        }
        // Senders that returned stay in the queue; removes them when they outnumber the others.
        if self.oldest_forgotten_first.len() > 2 * self.forgotten.len() + 64 {
            let forgotten = &self.forgotten;
            self.oldest_forgotten_first
                .retain(|sender| forgotten.contains_key(sender));
        }
    }
}
