//! Receiver side: which calls of which sender have arrived.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use hemlocktack_protocol::{Answer, CallId, CallProgress};

use crate::peer::NodeIncarnation;
use crate::tickets::KeptAnswers;

/// Bounds of the memory of arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalLimits {
    /// Settled calls remembered for each sender.
    pub settled_per_sender: usize,
    /// Sender incarnations whose calls are remembered one by one.
    pub senders: usize,
    /// Further ones of which only the highest call id is remembered.
    pub forgotten_senders: usize,
    /// Encoded bytes of answers kept for senders that lost a link.
    pub kept_answer_bytes: usize,
}

impl Default for ArrivalLimits {
    /// A frame that is overtaken by the end of 256 later calls of its sender
    /// is on a link not worth waiting for. 1,024 senders are almost twice the
    /// largest fleet; 16,384 forgotten ones are more than a year of thirty
    /// restarts a day. A sender
    /// asks for an answer within a second of losing the link: a megabyte holds
    /// those of some seconds, at 375 calls a second of 1 KB.
    fn default() -> ArrivalLimits {
        ArrivalLimits {
            settled_per_sender: 256,
            senders: 1024,
            forgotten_senders: 16_384,
            kept_answer_bytes: 1 << 20,
        }
    }
}

/// What to do with a `Call` frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// Treat it.
    New,
    /// Drop it without an answer: it is running or settled already, or its
    /// sender was told that it never arrived.
    Dropped,
}

/// Answer to a `ResolveCall` frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Resolution {
    /// Fenced now: a late frame of it will be dropped.
    NeverArrived,
    /// Its answer will go over the sender's newest link.
    Running,
    /// Here is the answer.
    Finished(Arc<Answer>),
    /// It arrived, or may have: nothing more is known.
    Forgotten,
}

impl Resolution {
    /// As it goes into a `CallResolution` frame.
    pub fn progress(&self) -> CallProgress {
        match self {
            Resolution::NeverArrived => CallProgress::NeverArrived,
            Resolution::Running => CallProgress::Running,
            Resolution::Finished(_) => CallProgress::Finished,
            Resolution::Forgotten => CallProgress::Forgotten,
        }
    }
}

/// Frames that were dropped, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArrivalCounts {
    /// Calls that were running or settled already.
    pub duplicates: u64,
    /// Calls that came after they had been fenced.
    pub fenced: u64,
    /// Calls below the mark under which nothing is known for sure.
    pub below_mark: u64,
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
    // In the order in which they were settled.
    settled: VecDeque<CallId>,
    // An id below it that is not in `progress` may have been settled and
    // forgotten. `None`: nothing has arrived yet from a sender that may have
    // been forgotten as a whole, so that every id is in doubt.
    mark: Option<CallId>,
}

impl Sender {
    fn doubtful() -> Sender {
        Sender {
            progress: HashMap::new(),
            settled: VecDeque::new(),
            mark: None,
        }
    }
}

/// Calls of every sender, within bounds, and never a wrong "never arrived".
///
/// What is forgotten raises a mark below which every id counts as forgotten.
/// The sender then tells its caller `unknown`, which costs an answer; a wrong
/// "never arrived" would cost a second run.
#[derive(Clone, Debug)]
pub struct Arrivals {
    limits: ArrivalLimits,
    senders: HashMap<NodeIncarnation, Sender>,
    oldest_sender_first: VecDeque<NodeIncarnation>,
    forgotten: HashMap<NodeIncarnation, CallId>,
    oldest_forgotten_first: VecDeque<NodeIncarnation>,
    mark_lost: bool,
    answers: KeptAnswers<(NodeIncarnation, CallId)>,
    counts: ArrivalCounts,
}

impl Arrivals {
    /// For one start of a node.
    pub fn new(limits: ArrivalLimits) -> Arrivals {
        Arrivals {
            limits,
            senders: HashMap::new(),
            oldest_sender_first: VecDeque::new(),
            forgotten: HashMap::new(),
            oldest_forgotten_first: VecDeque::new(),
            mark_lost: false,
            answers: KeptAnswers::new(limits.kept_answer_bytes),
            counts: ArrivalCounts::default(),
        }
    }

    /// Notes a `Call` frame.
    pub fn record_arrival(&mut self, from: &NodeIncarnation, call_id: CallId) -> Arrival {
        let sender = self.sender_mut(from);
        let mark = *sender.mark.get_or_insert(call_id);
        let known = sender.progress.get(&call_id).copied();
        if known.is_none() && call_id >= mark {
            sender.progress.insert(call_id, Progress::Running);
            return Arrival::New;
        }
        match known {
            Some(Progress::Fenced) => self.counts.fenced += 1,
            Some(_) => self.counts.duplicates += 1,
            None => self.counts.below_mark += 1,
        }
        Arrival::Dropped
    }

    /// Notes the end of a call that was treated. Give the answer only where a
    /// re-send would not find it elsewhere.
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

    /// Tells a sender what became of a call, and fences it if it never arrived.
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
        if sender.mark.is_none_or(|mark| call_id < mark) {
            return Resolution::Forgotten;
        }
        // Fenced before the sender hears of it: a frame that is still in a
        // buffer of the lost link would otherwise run a call that its caller
        // has been told was not run.
        sender.progress.insert(call_id, Progress::Fenced);
        self.settle(from, call_id);
        Resolution::NeverArrived
    }

    /// Frames dropped so far.
    pub fn counts(&self) -> ArrivalCounts {
        self.counts
    }

    /// Calls remembered, of all senders.
    pub fn record_count(&self) -> usize {
        self.senders
            .values()
            .map(|sender| sender.progress.len())
            .sum()
    }

    /// Panics where the record contradicts itself; for tests and randomised runs.
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
        // By the order of settling: the answer of a call that took long may just be
        // under way.
        while sender.settled.len() > self.limits.settled_per_sender {
            let Some(forgotten) = sender.settled.pop_front() else {
                return;
            };
            sender.progress.remove(&forgotten);
            sender.mark = sender.mark.max(Some(forgotten.saturating_add(1)));
            self.answers.remove(&(from.clone(), forgotten));
        }
    }

    fn sender_mut(&mut self, from: &NodeIncarnation) -> &mut Sender {
        if !self.senders.contains_key(from) {
            self.add_sender(from);
        }
        self.senders
            .entry(from.clone())
            .or_insert_with(Sender::doubtful)
    }

    fn add_sender(&mut self, from: &NodeIncarnation) {
        // Once any mark was lost, a new sender may be that one come back.
        let first_mark = (!self.mark_lost).then_some(0);
        let mark = self.forgotten.remove(from).or(first_mark);
        self.forget_sender_above_limit();
        self.oldest_sender_first.push_back(from.clone());
        self.senders.insert(
            from.clone(),
            Sender {
                mark,
                ..Sender::doubtful()
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
        if let Some(mark) = sender.mark.max(above_highest) {
            self.forgotten.insert(oldest.clone(), mark);
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
                self.mark_lost = true;
            }
        }
        // Names of senders that came back stay in the queue; trimmed here.
        if self.oldest_forgotten_first.len() > 2 * self.forgotten.len() + 64 {
            let forgotten = &self.forgotten;
            self.oldest_forgotten_first
                .retain(|sender| forgotten.contains_key(sender));
        }
    }
}
