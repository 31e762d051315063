//! What one upstream's limit on its calls per second costs a whole fleet, in virtual time.
//!
//! All nodes of the fleet call one service with several upstreams. One of these names a limit and
//! later drops it. The others have room for everything.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, HeardNotice, NoticeBook, PeerLoad,
    PlacementPolicy, RunResult, ShedLevel, UpstreamStart, place,
};
use hemlocktack_protocol::{AnswerNotice, LoadHint, NodeId, Reason, Statement, UpstreamState};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::support::first_attempt;

const UPSTREAMS: usize = 6;
const LIMITED: usize = 0;
const SLOTS: u32 = 800;
const SERVICE_TIME: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(1);
const LIMIT_FROM: Duration = Duration::from_secs(5);
const LIMIT_UNTIL: Duration = Duration::from_secs(25);
const LENGTH: Duration = Duration::from_secs(30);
const MAX_MOVES: usize = 3;
/// Incarnation of the node beside the limited upstream.
const INCARNATION: u64 = 1;

/// Size of a fleet and its calls to the service.
struct Fleet {
    nodes: usize,
    calls_per_s: f64,
    limit_per_s: f64,
}

struct Entry {
    peers: Vec<Arc<PeerLoad>>,
    book: NoticeBook,
    heard_at: Option<Duration>,
}

/// A call that the limited upstream runs.
struct Run {
    call_id: u64,
    entry: usize,
    sent_at: Instant,
    ends_at: Instant,
    carried_notice: bool,
}

#[derive(Default)]
struct Counts {
    calls: u64,
    moved_calls: u64,
    run_at_limited: u64,
    carried_notices: u64,
}

fn main() {
    println!(
        "nodes  calls/s  limit/s  used  moved calls  of all  per node and s  heard by  after  back \
         after  calls with notice"
    );
    for (nodes, calls_per_s) in [(17, 100.0), (94, 1_000.0), (560, 2_360.0), (560, 23_600.0)] {
        for limit_per_s in [6.0, 60.0] {
            report(&Fleet {
                nodes,
                calls_per_s,
                limit_per_s,
            });
        }
    }
}

fn report(fleet: &Fleet) {
    let mut world = World::new(fleet);
    while world.now() < LENGTH {
        world.step();
    }
    let limited_s = (LIMIT_UNTIL - LIMIT_FROM).as_secs_f64();
    let counts = &world.counts;
    let used = counts.run_at_limited as f64 / (fleet.limit_per_s * limited_s);
    let moved = counts.moved_calls;
    let heard: Vec<_> = world
        .entries
        .iter()
        .filter_map(|entry| entry.heard_at)
        .collect();
    let last_heard = heard.iter().max().copied().unwrap_or_default();
    let last_heard = last_heard.saturating_sub(LIMIT_FROM);
    let unused_for = world.busy_again_at.map(|at| at.saturating_sub(LIMIT_UNTIL));
    println!(
        "{:>5} {:>8} {:>8} {:>5.2} {:>12} {:>6.2}% {:>15.2} {:>9} {:>4.1} s {:>8.1} s {:>16.2}%",
        fleet.nodes,
        fleet.calls_per_s,
        fleet.limit_per_s,
        used,
        moved,
        100.0 * moved as f64 / counts.calls as f64,
        moved as f64 / fleet.nodes as f64 / limited_s,
        heard.len(),
        last_heard.as_secs_f64(),
        unused_for.unwrap_or_default().as_secs_f64(),
        100.0 * counts.carried_notices as f64 / counts.calls as f64,
    );
}

struct World<'a> {
    fleet: &'a Fleet,
    random: SmallRng,
    began: Instant,
    at: Instant,
    node: NodeId,
    admission: Admission,
    entries: Vec<Entry>,
    runs: VecDeque<Run>,
    last_call_id: u64,
    counts: Counts,
    /// Calls at the limited upstream in the last second.
    recent: VecDeque<Instant>,
    busy_again_at: Option<Duration>,
}

impl<'a> World<'a> {
    fn new(fleet: &'a Fleet) -> World<'a> {
        let now = Instant::now();
        let peer = || Arc::new(PeerLoad::new(true, UpstreamState::Ready, now));
        let entry = || Entry {
            peers: std::iter::repeat_with(peer).take(UPSTREAMS).collect(),
            book: NoticeBook::default(),
            heard_at: None,
        };
        let mut admission = Admission::new(AdmissionPolicy::default(), now);
        admission.set_upstream_start(UpstreamStart {
            id: "i-7f3a91c2".into(),
            started_unix_ms: None,
            number: 1,
        });
        admission.announced(SLOTS, SLOTS * 8, false, now);
        World {
            fleet,
            random: SmallRng::seed_from_u64(1),
            began: now,
            at: now,
            node: "limited".into(),
            admission,
            entries: std::iter::repeat_with(entry).take(fleet.nodes).collect(),
            runs: VecDeque::new(),
            last_call_id: 0,
            counts: Counts::default(),
            recent: VecDeque::new(),
            busy_again_at: None,
        }
    }

    fn now(&self) -> Duration {
        self.at - self.began
    }

    fn is_limited(&self) -> bool {
        (LIMIT_FROM..LIMIT_UNTIL).contains(&self.now())
    }

    fn step(&mut self) {
        self.at += TICK;
        while self.runs.front().is_some_and(|run| run.ends_at <= self.at) {
            if let Some(run) = self.runs.pop_front() {
                self.end(&run);
            }
        }
        let mut calls = self.fleet.calls_per_s * TICK.as_secs_f64();
        while calls >= 1.0 || self.random.random_bool(calls.clamp(0.0, 1.0)) {
            calls -= 1.0;
            let entry = self.random.random_range(0..self.fleet.nodes);
            self.call(entry);
            if calls <= 0.0 {
                break;
            }
        }
        self.note_busy();
    }

    /// Records when the upstream has its part of the calls again after the end of its limit.
    fn note_busy(&mut self) {
        let second_ago = self.at - Duration::from_secs(1);
        while self.recent.front().is_some_and(|at| *at < second_ago) {
            self.recent.pop_front();
        }
        let usual = self.fleet.calls_per_s / UPSTREAMS as f64;
        let is_busy = self.recent.len() as f64 > usual * 0.7;
        if self.now() >= LIMIT_UNTIL && is_busy && self.busy_again_at.is_none() {
            self.busy_again_at = Some(self.now());
        }
    }

    fn call(&mut self, entry: usize) {
        self.counts.calls += u64::from(self.is_limited());
        for _ in 0..=MAX_MOVES {
            let peers = &self.entries[entry].peers;
            let policy = PlacementPolicy::default();
            let chosen = place(peers, |_| true, None, self.at, &policy, &mut self.random);
            let Some(chosen) = chosen else {
                return;
            };
            if chosen != LIMITED {
                peers[chosen].sent(self.at);
                peers[chosen].answered(&usual_hint(), self.at);
                return;
            }
            if self.offer(entry) {
                return;
            }
            self.counts.moved_calls += 1;
        }
    }

    /// Offers a call to the limited upstream; returns whether it runs.
    fn offer(&mut self, entry: usize) -> bool {
        let notice = self.entries[entry].book.notice_for(&self.node).cloned();
        self.counts.carried_notices += u64::from(notice.is_some());
        if let Some(notice) = &notice {
            self.admission.adopt_notice(notice, INCARNATION, self.at);
        }
        self.last_call_id += 1;
        let deadline = self.at + Duration::from_secs(5);
        let offer = first_attempt(self.last_call_id, 0, deadline);
        self.entries[entry].peers[LIMITED].sent(self.at);
        let runs = self.admission.offer(&offer, self.at) == AdmissionDecision::Run;
        if !runs {
            let hint = self.hint();
            let reason = Reason::UpstreamRateLimited;
            self.entries[entry].peers[LIMITED].refused(reason, Some(&hint), self.at);
            self.tell(entry, notice.is_some());
            return false;
        }
        self.counts.run_at_limited += u64::from(self.is_limited());
        self.recent.push_back(self.at);
        self.runs.push_back(Run {
            call_id: offer.call_id,
            entry,
            sent_at: self.at,
            ends_at: self.at + SERVICE_TIME,
            carried_notice: notice.is_some(),
        });
        true
    }

    fn end(&mut self, run: &Run) {
        let limit = match self.is_limited() {
            true => Statement::Said(self.fleet.limit_per_s),
            false => Statement::Absent,
        };
        let notice = AnswerNotice {
            rate_limit_per_s: limit,
            leaving: Statement::Absent,
            ..AnswerNotice::default()
        };
        let heard = HeardNotice {
            notice: &notice,
            request_sent_at: run.sent_at,
            is_complete: true,
            start_number: 1,
        };
        self.admission.hear_notice(&heard, self.at);
        self.admission
            .finish(run.call_id, RunResult::Answered, Duration::ZERO, self.at);
        let hint = self.hint();
        self.entries[run.entry].peers[LIMITED].answered(&hint, self.at);
        self.tell(run.entry, run.carried_notice);
    }

    /// Answers an entry with the notice, as the node beside the upstream does.
    fn tell(&mut self, entry: usize, carried_notice: bool) {
        if !carried_notice && !self.admission.has_notice_in_force() {
            return;
        }
        let Some(notice) = self.admission.notice(INCARNATION) else {
            return;
        };
        let now = self.now();
        let entry = &mut self.entries[entry];
        entry.book.record(&self.node, &notice);
        if self.admission.rate_limit_per_s().is_some() {
            entry.heard_at.get_or_insert(now);
        }
    }

    fn hint(&self) -> LoadHint {
        LoadHint {
            rate_wait_us: self.admission.hint(ShedLevel::OPEN, self.at).rate_wait_us,
            ..usual_hint()
        }
    }
}

/// The load of an upstream with room.
fn usual_hint() -> LoadHint {
    LoadHint {
        limit: SLOTS,
        service_time_us: SERVICE_TIME.as_micros() as u64,
        ..LoadHint::default()
    }
}
