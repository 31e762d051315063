//! A sender, a receiver and the links between them, in steps of a millisecond.

mod receiver;
mod sender;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::calls::{ArrivalLimits, Arrivals, CallAges, Cancellations};
use hemlocktack_protocol::CallId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Milliseconds since the start of the world.
type Millis = u64;

const LENGTH_MS: Millis = 12_000;
/// Calls arrive until then; the rest of the time shows what becomes of them.
const CALLS_UNTIL_MS: Millis = 9_000;
const LATENCY_MS: Millis = 1;
const SLOTS: usize = 20;
const RUN_MS: std::ops::Range<Millis> = 20..900;
const CALL_TIMEOUT_MS: Millis = 3_000;
const PATIENCE_MS: std::ops::Range<Millis> = 1..1_200;
/// What is promised: time from a caller's leaving until nothing is started or runs for it.
const HEED_MS: Millis = 500;
/// As in the node: silence after which a link is given up.
const SILENCE_MS: Millis = 420;
const RESOLVE_LIMIT_MS: Millis = 150;
const REDIAL_PAUSE_MS: Millis = 50;
const RETURN_LIMIT_MS: Millis = 400;
/// As in the node: after it stood still, what lies in its sockets is read first.
const RETURN_RECHECK_MS: Millis = 50;
const OLD_CALL_AGE_MS: Millis = 150;
const CONFIRM_LIMIT_MS: Millis = 500;

/// What keeps the promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Safeguard {
    /// The sender looks for its caller's leaving right before it sends.
    LookBeforeSending,
    /// The sender keeps cancellations until they are confirmed.
    KeepCancellations,
    /// The receiver reads all that lies there before it starts anything.
    ReadAllFirst,
    /// The receiver starts nothing for a sender without a link.
    HeedEndOfLink,
    /// The receiver ends the calls of a sender that does not return.
    EndUnreturned,
}

pub(crate) const SAFEGUARDS: [Safeguard; 5] = [
    Safeguard::LookBeforeSending,
    Safeguard::KeepCancellations,
    Safeguard::ReadAllFirst,
    Safeguard::HeedEndOfLink,
    Safeguard::EndUnreturned,
];

/// What came of the calls.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) departed: u64,
    pub(crate) answered: u64,
    pub(crate) late_starts: u64,
    pub(crate) late_runs: u64,
    /// Calls that the receiver ended although their sender waited over an open link.
    pub(crate) lost_by_waiting_callers: u64,
}

impl Outcome {
    pub(crate) fn add(&mut self, other: &Outcome) {
        self.departed += other.departed;
        self.answered += other.answered;
        self.late_starts += other.late_starts;
        self.late_runs += other.late_runs;
        self.lost_by_waiting_callers += other.lost_by_waiting_callers;
    }
}

#[derive(Clone, Copy, Debug)]
enum Frame {
    Call { id: CallId, queued_at: Millis },
    Cancel(CallId),
    Resolve(CallId),
    EchoReply(u64),
    Answer(CallId),
    NotRun(CallId),
    Resolution(CallId, bool),
    EchoRequest(u64),
}

/// One direction of a connection.
#[derive(Default)]
struct Pipe {
    frames: VecDeque<(Millis, Frame)>,
    /// When the end reaches the reader, behind the frames.
    ended_at: Option<Millis>,
}

impl Pipe {
    fn has_ended(&self, now: Millis) -> bool {
        self.frames.is_empty() && self.ended_at.is_some_and(|ended_at| ended_at <= now)
    }
}

#[derive(Default)]
struct Connection {
    opened: Millis,
    to_receiver: Pipe,
    to_sender: Pipe,
    ages: CallAges,
    is_closed_at_sender: bool,
    is_closed_at_receiver: bool,
}

/// A call as its sender sees it.
struct SentCall {
    link: usize,
    sent_at: Millis,
    deadline: Millis,
    /// When the loss of its link was noticed.
    in_doubt_since: Option<Millis>,
}

/// A caller at the sender.
struct Caller {
    leaves_at: Option<Millis>,
    /// The process that it waited on ended: nobody is left to send a word.
    is_abandoned: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// Asked about: may start once this echo has come, and not after the limit.
    Asked {
        echo: u64,
        until: Millis,
    },
    Waiting,
    Running {
        until: Millis,
    },
}

/// A call as its receiver sees it.
struct ArrivedCall {
    stage: Stage,
    links: BTreeSet<usize>,
    without_link_since: Option<Millis>,
}

pub(crate) struct World {
    left_out: Option<Safeguard>,
    random: StdRng,
    start: Instant,
    now: Millis,
    sender_stalled_until: Millis,
    receiver_stalled_until: Millis,
    cut_until: Millis,
    /// Times for which the sender stood still.
    sender_stalls: Vec<(Millis, Millis)>,
    /// Times for which no word could come through.
    cuts: Vec<(Millis, Millis)>,
    links: Vec<Connection>,
    next_dial: Millis,
    callers: BTreeMap<CallId, Caller>,
    sent: BTreeMap<CallId, SentCall>,
    unsent: VecDeque<CallId>,
    cancellations: Cancellations,
    has_unsent_cancellations: bool,
    last_heard: Millis,
    identity: NodeIncarnation,
    arrivals: Arrivals,
    arrived: BTreeMap<CallId, ArrivedCall>,
    echoes: u64,
    outcome: Outcome,
}

impl World {
    pub(crate) fn new(seed: u64, left_out: Option<Safeguard>) -> World {
        World {
            left_out,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            sender_stalled_until: 0,
            receiver_stalled_until: 0,
            cut_until: 0,
            sender_stalls: Vec::new(),
            cuts: Vec::new(),
            links: Vec::new(),
            next_dial: 0,
            callers: BTreeMap::new(),
            sent: BTreeMap::new(),
            unsent: VecDeque::new(),
            cancellations: Cancellations::default(),
            has_unsent_cancellations: false,
            last_heard: 0,
            identity: NodeIncarnation::new("sender", 1),
            arrivals: Arrivals::new(ArrivalLimits::default()),
            arrived: BTreeMap::new(),
            echoes: 0,
            outcome: Outcome::default(),
        }
    }

    pub(crate) fn play(mut self) -> Outcome {
        while self.now < LENGTH_MS {
            self.disturb();
            self.add_callers();
            if self.now >= self.sender_stalled_until {
                self.step_sender();
            }
            if self.now >= self.receiver_stalled_until {
                self.step_receiver();
            }
            self.check_runs();
            self.now += 1;
        }
        self.outcome
    }

    fn has(&self, safeguard: Safeguard) -> bool {
        self.left_out != Some(safeguard)
    }

    fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_millis(at)
    }

    fn is_cut(&self) -> bool {
        self.now < self.cut_until
    }

    fn disturb(&mut self) {
        if !self.now.is_multiple_of(100) {
            return;
        }
        let until = self.now + self.random.random_range(100..1_700);
        match self.random.random_range(0..100) {
            0..4 => {
                self.sender_stalled_until = until;
                self.sender_stalls.push((self.now, until));
            }
            4..9 => self.receiver_stalled_until = until,
            9..12 => {
                self.cut_until = until;
                self.cuts.push((self.now, until));
            }
            12..34 => self.reset_link(),
            34..36 => self.kill_sender(),
            _ => {}
        }
    }

    /// Loses what is on its way; what has reached the receiver's machine stays readable there.
    /// Or only the sender notices at once, and the rest reaches the receiver late.
    fn reset_link(&mut self) {
        let now = self.now;
        let is_late = self.random.random_range(0..2) == 0;
        let frames_by = now + self.random.random_range(0..OLD_CALL_AGE_MS);
        let end_by = frames_by + self.random.random_range(0..HEED_MS);
        let Some(link) = self.links.last_mut() else {
            return;
        };
        link.to_sender.frames.retain(|(at, _)| *at <= now);
        link.to_sender.ended_at.get_or_insert(now);
        let to_receiver = &mut link.to_receiver;
        if is_late {
            let on_their_way = to_receiver.frames.iter_mut().filter(|(at, _)| *at > now);
            on_their_way.for_each(|(at, _)| *at = frames_by.max(*at));
            to_receiver.ended_at.get_or_insert(end_by);
        } else {
            to_receiver.frames.retain(|(at, _)| *at <= now);
            to_receiver.ended_at.get_or_insert(now);
        }
    }

    /// Ends the sender's process; its callers' connections end with it.
    fn kill_sender(&mut self) {
        let now = self.now;
        let sent = std::mem::take(&mut self.sent);
        for id in sent.into_keys().chain(self.unsent.drain(..)) {
            if let Some(caller) = self.callers.get_mut(&id) {
                caller.leaves_at = Some(caller.leaves_at.map_or(now, |at| at.min(now)));
                caller.is_abandoned = true;
            }
        }
        self.cancellations = Cancellations::default();
        self.has_unsent_cancellations = false;
        let arrives_at = self.arrival_time();
        for link in &mut self.links {
            link.is_closed_at_sender = true;
            link.to_receiver.ended_at.get_or_insert(arrives_at);
        }
        self.identity = NodeIncarnation::new("sender", self.identity.incarnation + 1);
    }

    fn add_callers(&mut self) {
        if self.now >= CALLS_UNTIL_MS || self.random.random_range(0..25) > 0 {
            return;
        }
        let id = self.callers.len() as CallId + 1;
        let leaves = self.random.random_range(0..2) == 0;
        let patience = self.random.random_range(PATIENCE_MS);
        let leaves_at = leaves.then_some(self.now + patience);
        let caller = Caller {
            leaves_at,
            is_abandoned: false,
        };
        self.callers.insert(id, caller);
        self.unsent.push_back(id);
    }

    fn has_left(&self, id: CallId) -> bool {
        let leaves_at = self.callers[&id].leaves_at;
        leaves_at.is_some_and(|leaves_at| leaves_at <= self.now)
    }

    fn settle(&mut self, id: CallId) {
        self.sent.remove(&id);
    }

    fn check_runs(&mut self) {
        // After a receiver has stood still, the sender's next link takes a moment.
        if self.now <= self.receiver_stalled_until + REDIAL_PAUSE_MS + 2 * LATENCY_MS {
            return;
        }
        let is_running = |call: &ArrivedCall| matches!(call.stage, Stage::Running { .. });
        let running = self.arrived.iter().filter(|(_, call)| is_running(call));
        let late = running.filter(|(id, _)| self.is_late(**id)).count();
        self.outcome.late_runs += late as u64;
    }

    /// Whether the caller left more than the promised time ago, not counting what is excused.
    fn is_late(&self, id: CallId) -> bool {
        let caller = &self.callers[&id];
        let Some(left_at) = caller.leaves_at else {
            return false;
        };
        let known_at = match caller.is_abandoned {
            true => left_at.max(self.ends_known_at()),
            false => left_at,
        };
        known_at + HEED_MS < self.now && !self.is_excused(left_at)
    }

    /// When the receiver can have read the ends of all links: the only word of a process that ended.
    fn ends_known_at(&self) -> Millis {
        let ends = self
            .links
            .iter()
            .filter_map(|link| link.to_receiver.ended_at);
        ends.max()
            .unwrap_or_default()
            .max(self.receiver_stalled_until)
    }

    /// Whether no word could come since then: the sender stood still until a moment ago, or the
    /// network was cut, or only just not.
    fn is_excused(&self, since: Millis) -> bool {
        let stalls = self.sender_stalls.iter();
        let mut stalls = stalls.map(|(began, ended)| (*began, *ended + 3 * LATENCY_MS));
        let cuts = self.cuts.iter();
        let mut cuts = cuts.map(|(began, ended)| (*began, *ended + HEED_MS));
        stalls.any(|(began, ended)| began <= self.now && self.now < ended)
            || cuts.any(|(began, ended)| began <= self.now && since < ended)
    }
}
