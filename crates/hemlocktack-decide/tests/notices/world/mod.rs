//! One upstream, the node beside it and several entries, in virtual time.

mod checks;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, AdoptedNotice, HeardNotice, NoticeBook,
    NoticeSafeguard, QueueDecision, RunResult, UpstreamStart,
};
use hemlocktack_protocol::{
    AnswerNotice, CallId, NodeId, Reason, Statement, UpstreamNotice, UpstreamState,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::support::first_attempt;

pub(crate) use checks::Broken;

const TICK: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(25);
const ENTRIES: usize = 5;
const SLOTS: u32 = 64;
const SERVICE_MS: std::ops::Range<u64> = 10..300;
/// An answer's way from the upstream to the node beside it, and from there to an entry.
const ANSWER_DELAY_MS: std::ops::Range<u64> = 0..60;
const REDISCOVERY_MS: std::ops::Range<u64> = 50..800;
const CUT_MS: std::ops::Range<u64> = 200..3_000;
const LIMITS_PER_S: [f64; 4] = [0.8, 6.4, 8.8, 40.0];
/// Time between two changes of what the upstream says; longer than any run.
const SHORTEST_PHASE: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Entry {
    book: NoticeBook,
    told_limit_at: Option<Instant>,
    told_leaving_at: Option<Instant>,
    cut_until: Option<Instant>,
}

/// A call on its way from an entry to the end of its answer.
#[derive(Clone, Debug)]
struct Run {
    call_id: CallId,
    entry: usize,
    request_sent_at: Instant,
    /// When the upstream writes the answer.
    written_at: Instant,
    incarnation: u64,
    carried_notice: bool,
}

struct WrittenAnswer {
    run: Run,
    notice: AnswerNotice,
    start_number: u64,
    arrives_at: Instant,
}

struct EntryAnswer {
    entry: usize,
    upstream_start: String,
    names_limit: bool,
    names_departure: bool,
    notice: Option<UpstreamNotice>,
    arrives_at: Instant,
}

pub(crate) struct World {
    random: StdRng,
    began: Instant,
    now: Instant,
    disabled: Option<NoticeSafeguard>,
    /// Calls in each tick, over all entries.
    demand_per_tick: f64,
    node: NodeId,
    incarnation: u64,
    admission: Admission,
    /// When a restarted node finds its upstream.
    discovers_at: Option<Instant>,
    learns_birth_at: Option<Instant>,
    start: UpstreamStart,
    birth_unix_ms: u64,
    limit_per_s: Option<f64>,
    is_leaving: bool,
    changed_at: Instant,
    phase_until: Instant,
    entries: Vec<Entry>,
    last_call_id: CallId,
    waiting: HashMap<CallId, (usize, bool)>,
    running: Vec<Run>,
    written: Vec<WrittenAnswer>,
    to_entries: Vec<EntryAnswer>,
    /// Arrivals that count, at the current start.
    counted: Vec<Instant>,
    /// Limit in each tick of the run so far; infinite for none.
    limits: Vec<f64>,
    /// When the latest answer that the node has got was written.
    latest_written_at: Option<Instant>,
    /// Since when all answers that the node got have said the same as the upstream says now.
    agrees_since: Option<Instant>,
    broken: Vec<Broken>,
    departed: HashSet<String>,
}

impl World {
    pub(crate) fn new(seed: u64, disabled: Option<NoticeSafeguard>) -> World {
        let mut random = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let demand_per_s = *[5.0, 50.0, 400.0].choose(&mut random).unwrap();
        let start = UpstreamStart {
            id: "i-1".into(),
            started_unix_ms: Some(1),
            number: 1,
        };
        let mut world = World {
            random,
            began: now,
            now,
            disabled,
            demand_per_tick: demand_per_s * TICK.as_secs_f64(),
            node: "beside".into(),
            incarnation: 0,
            admission: Admission::new(AdmissionPolicy::default(), now),
            discovers_at: None,
            learns_birth_at: None,
            start,
            birth_unix_ms: 1,
            limit_per_s: None,
            is_leaving: false,
            changed_at: now,
            phase_until: now + SHORTEST_PHASE,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            last_call_id: 0,
            waiting: HashMap::new(),
            running: Vec::new(),
            written: Vec::new(),
            to_entries: Vec::new(),
            counted: Vec::new(),
            limits: Vec::new(),
            latest_written_at: None,
            agrees_since: None,
            broken: Vec::new(),
            departed: HashSet::new(),
        };
        world.start_node();
        world.discover();
        world
    }

    /// Runs to the end and returns what broke.
    pub(crate) fn run(mut self) -> Vec<Broken> {
        while self.now < self.began + LENGTH && self.broken.is_empty() {
            self.now += TICK;
            self.limits.push(self.limit_per_s.unwrap_or(f64::INFINITY));
            self.change_upstream();
            self.disturb();
            self.discover_if_due();
            self.write_answers();
            self.deliver_to_node();
            self.deliver_to_entries();
            self.call();
            self.decide();
            self.check_followed();
        }
        self.broken
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    /// The upstream names, changes or drops its limit, leaves, or starts anew.
    fn change_upstream(&mut self) {
        if self.now < self.phase_until {
            return;
        }
        self.phase_until = self.now + SHORTEST_PHASE + self.millis(0..6_000);
        self.agrees_since = None;
        self.changed_at = self.now;
        if self.is_leaving {
            return self.replace_upstream();
        }
        match self.random.random_range(0..10) {
            0 => self.replace_upstream(),
            1 | 2 => self.is_leaving = true,
            3 => self.limit_per_s = None,
            _ => self.limit_per_s = LIMITS_PER_S.choose(&mut self.random).copied(),
        }
    }

    fn replace_upstream(&mut self) {
        self.birth_unix_ms += 1;
        let reuses_id = self.random.random_ratio(1, 3);
        let id = match reuses_id {
            true => self.start.id.clone(),
            false => format!("i-{}", self.birth_unix_ms).into(),
        };
        self.start = UpstreamStart {
            id,
            started_unix_ms: Some(self.birth_unix_ms),
            number: self.start.number + 1,
        };
        self.limit_per_s = None;
        self.is_leaving = false;
        self.running.clear();
        self.written.clear();
        self.to_entries.clear();
        self.counted.clear();
        self.departed.clear();
        for entry in &mut self.entries {
            entry.told_limit_at = None;
            entry.told_leaving_at = None;
        }
        if self.discovers_at.is_none() {
            self.learns_birth_at = None;
            self.announce();
            let owes = self.admission.rate_limit_per_s().is_some()
                || self.admission.state() == UpstreamState::Draining;
            if owes {
                self.broken.push(Broken::OtherStart);
            }
        }
    }

    /// Kills the node beside the upstream, or cuts an entry off.
    fn disturb(&mut self) {
        if self.random.random_ratio(1, 300) {
            self.start_node();
            self.discovers_at = Some(self.now + self.millis(REDISCOVERY_MS));
        }
        if self.random.random_ratio(1, 400) {
            let cut_for = self.millis(CUT_MS);
            let entry = self.random.random_range(0..ENTRIES);
            self.entries[entry].cut_until = Some(self.now + cut_for);
        }
    }

    fn start_node(&mut self) {
        self.incarnation += 1;
        self.admission = Admission::new(AdmissionPolicy::default(), self.now);
        if let Some(safeguard) = self.disabled {
            self.admission.disable_notice_safeguard(safeguard);
        }
        self.waiting.clear();
        self.latest_written_at = None;
        self.agrees_since = None;
    }

    fn discover_if_due(&mut self) {
        if self.discovers_at.is_some_and(|at| at <= self.now) {
            self.discover();
        }
        if self.learns_birth_at.is_some_and(|at| at <= self.now) {
            self.learns_birth_at = None;
            self.start.started_unix_ms = Some(self.birth_unix_ms);
            let number = self.start.number;
            self.admission
                .set_upstream_started(number, self.birth_unix_ms);
        }
    }

    /// The restarted node finds the upstream by a health check, which does not tell when it began.
    fn discover(&mut self) {
        self.discovers_at = None;
        self.start.number = 1;
        self.start.started_unix_ms = None;
        self.learns_birth_at = Some(self.now + self.millis(REDISCOVERY_MS));
        self.announce();
    }

    fn announce(&mut self) {
        self.admission.set_upstream_start(self.start.clone());
        if !self.departed.contains(&*self.start.id) {
            self.admission.announced(SLOTS, SLOTS * 8, false, self.now);
        }
    }

    fn write_answers(&mut self) {
        let now = self.now;
        let due: Vec<Run> = self
            .running
            .extract_if(.., |run| run.written_at <= now)
            .collect();
        for run in due {
            let notice = AnswerNotice {
                rate_limit_per_s: self.limit_per_s.map_or(Statement::Absent, Statement::Said),
                leaving: if self.is_leaving {
                    Statement::Said(())
                } else {
                    Statement::Absent
                },
                ..AnswerNotice::default()
            };
            let arrives_at = self.now + self.millis(ANSWER_DELAY_MS);
            self.written.push(WrittenAnswer {
                run,
                notice,
                start_number: self.start.number,
                arrives_at,
            });
        }
    }

    fn deliver_to_node(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .written
            .extract_if(.., |answer| answer.arrives_at <= now)
            .collect();
        for answer in due {
            if answer.run.incarnation == self.incarnation {
                self.hear(answer);
            }
        }
    }

    fn hear(&mut self, answer: WrittenAnswer) {
        let heard = HeardNotice {
            notice: &answer.notice,
            request_sent_at: answer.run.request_sent_at,
            is_complete: true,
            start_number: answer.start_number,
        };
        let changes = self.admission.hear_notice(&heard, self.now);
        let written_at = answer.run.written_at;
        let is_late = self
            .latest_written_at
            .is_some_and(|latest| written_at < latest);
        if changes.rate_limit.is_some() && is_late {
            self.broken.push(Broken::Order);
        }
        self.latest_written_at = self.latest_written_at.max(Some(written_at));
        let named = match answer.notice.rate_limit_per_s {
            Statement::Said(per_s) => Some(per_s),
            _ => None,
        };
        if named == self.limit_per_s && answer.run.request_sent_at >= self.changed_at {
            self.agrees_since.get_or_insert(self.now);
        }
        if changes.begins_to_leave {
            self.departed.insert(self.start.id.to_string());
            self.admission.drain(Reason::UpstreamDraining);
        }
        self.admission.finish(
            answer.run.call_id,
            RunResult::Answered,
            Duration::ZERO,
            self.now,
        );
        self.reply(
            answer.run.entry,
            answer.run.carried_notice,
            named.is_some(),
            matches!(answer.notice.leaving, Statement::Said(())),
        );
    }

    fn reply(&mut self, entry: usize, asked: bool, names_limit: bool, names_departure: bool) {
        let has_news = asked || self.admission.has_notice_in_force();
        let notice = has_news
            .then(|| self.admission.notice(self.incarnation))
            .flatten();
        let arrives_at = self.now + self.millis(ANSWER_DELAY_MS);
        self.to_entries.push(EntryAnswer {
            entry,
            upstream_start: self.start.id.to_string(),
            names_limit,
            names_departure,
            notice,
            arrives_at,
        });
    }

    fn deliver_to_entries(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .to_entries
            .extract_if(.., |answer| answer.arrives_at <= now)
            .collect();
        for answer in due {
            let entry = &mut self.entries[answer.entry];
            if entry.cut_until.is_some_and(|until| now < until) {
                continue;
            }
            if let Some(notice) = &answer.notice {
                entry.book.record(&self.node, notice);
            }
            if answer.upstream_start != *self.start.id {
                continue;
            }
            if answer.names_limit {
                entry.told_limit_at.get_or_insert(now);
            }
            if answer.names_departure {
                entry.told_leaving_at.get_or_insert(now);
            }
        }
    }

    fn call(&mut self) {
        let mut calls = self.demand_per_tick;
        while calls >= 1.0 || self.random.random_bool(calls.clamp(0.0, 1.0)) {
            calls -= 1.0;
            let entry = self.random.random_range(0..ENTRIES);
            let is_cut = self.entries[entry]
                .cut_until
                .is_some_and(|until| self.now < until);
            if !is_cut && self.discovers_at.is_none() {
                self.call_from(entry);
            }
            if calls <= 0.0 {
                return;
            }
        }
    }

    fn call_from(&mut self, entry: usize) {
        let notice = self.entries[entry].book.notice_for(&self.node).cloned();
        if let Some(notice) = &notice {
            match self
                .admission
                .adopt_notice(notice, self.incarnation, self.now)
            {
                AdoptedNotice::Unconfirmed => return self.reply(entry, true, false, false),
                AdoptedNotice::Heeded(changes) => {
                    if changes.begins_to_leave {
                        self.departed.insert(self.start.id.to_string());
                        self.admission.drain(Reason::UpstreamDraining);
                    }
                }
            }
        }
        self.last_call_id += 1;
        let class_rank = self.random.random_range(0..3);
        let deadline = self.now + Duration::from_secs(2);
        let offer = first_attempt(self.last_call_id, class_rank, deadline);
        match self.admission.offer(&offer, self.now) {
            AdmissionDecision::Run => self.begin(offer.call_id, entry, notice.is_some()),
            AdmissionDecision::Queued => {
                self.waiting
                    .insert(offer.call_id, (entry, notice.is_some()));
            }
            AdmissionDecision::Refused(_) => self.reply(entry, notice.is_some(), false, false),
        }
    }

    fn decide(&mut self) {
        let mut decisions = Vec::new();
        self.admission.take_decisions(self.now, &mut decisions);
        for decision in decisions {
            match decision {
                QueueDecision::Run(call_id) => {
                    let (entry, asked) = self.waiting.remove(&call_id).unwrap();
                    self.begin(call_id, entry, asked);
                }
                QueueDecision::Refuse(call_id, _) => {
                    let (entry, asked) = self.waiting.remove(&call_id).unwrap();
                    self.reply(entry, asked, false, false);
                }
            }
        }
    }

    /// The call arrives at the upstream.
    fn begin(&mut self, call_id: CallId, entry: usize, carried_notice: bool) {
        let written_at = self.now + self.millis(SERVICE_MS);
        self.running.push(Run {
            call_id,
            entry,
            request_sent_at: self.now,
            written_at,
            incarnation: self.incarnation,
            carried_notice,
        });
        self.check_arrival(entry);
    }
}
