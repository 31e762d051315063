//! What callers were told and what upstreams started; the promises between them.

use std::collections::{BTreeMap, BTreeSet};

use crate::world::{At, RequestId, SendId, TimeMs};

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    Answered { request: RequestId, token: u64 },
    NotRun,
    Unknown,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct StartOfRun {
    pub(crate) send: SendId,
    pub(crate) token: u64,
}

/// A broken promise, in words.
pub(crate) type Violation = String;

#[derive(Debug, Default)]
pub(crate) struct Ledger {
    starts: BTreeMap<RequestId, Vec<StartOfRun>>,
    not_run_requests: BTreeSet<RequestId>,
    not_run_sends: BTreeSet<SendId>,
    answers: BTreeMap<RequestId, u64>,
    replies: BTreeMap<SendId, Told>,
    pub(crate) violation: Option<Violation>,
    pub(crate) counts: Counts,
}

/// How often what happened; a run in which nothing happens proves nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) starts: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) delegations: u64,
    pub(crate) joins: u64,
    pub(crate) resolutions: u64,
    pub(crate) handovers: u64,
    pub(crate) kills: u64,
    pub(crate) freezes: u64,
    pub(crate) cuts: u64,
    pub(crate) stops: u64,
    pub(crate) adopted_starts: u64,
    pub(crate) children: u64,
}

impl Counts {
    pub(crate) fn add(&mut self, other: &Counts) {
        self.starts += other.starts;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.delegations += other.delegations;
        self.joins += other.joins;
        self.resolutions += other.resolutions;
        self.handovers += other.handovers;
        self.kills += other.kills;
        self.freezes += other.freezes;
        self.cuts += other.cuts;
        self.stops += other.stops;
        self.adopted_starts += other.adopted_starts;
        self.children += other.children;
    }
}

// One run and one retry: what the entry may spend on one send.
pub(crate) const IDEMPOTENT_STARTS_PER_SEND: usize = 2;

impl Ledger {
    pub(crate) fn violate(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    pub(crate) fn start(&mut self, request: RequestId, ticketed: bool, start: StartOfRun) {
        self.counts.starts += 1;
        let starts = self.starts.entry(request).or_default();
        starts.push(start);
        let of_send = starts
            .iter()
            .filter(|other| other.send == start.send)
            .count();
        let start_count = starts.len();
        if ticketed && start_count > 1 {
            self.violate(format!("request {request} started {start_count} times"));
        }
        if ticketed && self.not_run_requests.contains(&request) {
            self.violate(format!(
                "request {request} started after its caller was told not_run"
            ));
        }
        if !ticketed && self.not_run_sends.contains(&start.send) {
            self.violate(format!(
                "send {} started after it was told not_run",
                start.send
            ));
        }
        if !ticketed && of_send > IDEMPOTENT_STARTS_PER_SEND {
            self.violate(format!("send {} started {of_send} times", start.send));
        }
    }

    pub(crate) fn reply(&mut self, request: RequestId, ticketed: bool, send: SendId, told: Told) {
        if let Some(earlier) = self.replies.insert(send, told) {
            self.violate(format!(
                "send {send} ended twice: {earlier:?}, then {told:?}"
            ));
        }
        match told {
            Told::Answered {
                request: answered,
                token,
            } => {
                self.counts.answered += 1;
                self.check_answer(request, ticketed, answered, token);
            }
            Told::NotRun => {
                self.counts.not_run += 1;
                self.check_not_run(request, ticketed, send);
            }
            Told::Unknown => self.counts.unknown += 1,
        }
    }

    pub(crate) fn has_reply(&self, send: SendId) -> bool {
        self.replies.contains_key(&send)
    }

    fn check_answer(
        &mut self,
        request: RequestId,
        ticketed: bool,
        answered: RequestId,
        token: u64,
    ) {
        if request != answered {
            self.violate(format!(
                "request {request} got the answer of request {answered}"
            ));
        }
        let starts = self.starts.get(&request).map_or(&[][..], Vec::as_slice);
        if !starts.iter().any(|start| start.token == token) {
            self.violate(format!(
                "request {request} got an answer that no run of it gave"
            ));
        }
        let first = *self.answers.entry(request).or_insert(token);
        if ticketed && first != token {
            self.violate(format!("request {request} got two different answers"));
        }
    }

    fn check_not_run(&mut self, request: RequestId, ticketed: bool, send: SendId) {
        let starts = self.starts.get(&request).map_or(&[][..], Vec::as_slice);
        let started = match ticketed {
            true => !starts.is_empty(),
            false => starts.iter().any(|start| start.send == send),
        };
        if started {
            self.violate(format!(
                "request {request} was told not_run and had started"
            ));
        }
        match ticketed {
            true => self.not_run_requests.insert(request),
            false => self.not_run_sends.insert(send),
        };
    }

    pub(crate) fn start_while_stopping(&mut self, at: At, since_ms: TimeMs) {
        if since_ms > STOPPING_START_LIMIT_MS {
            self.violate(format!(
                "node {} got new work {since_ms} ms after its stop",
                at.slot
            ));
        }
    }
}

const STOPPING_START_LIMIT_MS: TimeMs = 3000;
