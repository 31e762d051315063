//! Record of the outcomes reported to callers and of the requests that upstreams started, and the
//! guarantees that connect the two.

use std::collections::{BTreeMap, BTreeSet};

use crate::world::{At, RequestId, SendId, TimeMs};

/// Outcome that is reported to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyOutcome {
    Answered { request: RequestId, token: u64 },
    NotRun,
    Unknown,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct RunStart {
    pub(crate) send: SendId,
    pub(crate) token: u64,
}

/// Description of a violated guarantee.
pub(crate) type Violation = String;

#[derive(Debug, Default)]
pub(crate) struct Ledger {
    starts: BTreeMap<RequestId, Vec<RunStart>>,
    not_run_requests: BTreeSet<RequestId>,
    not_run_sends: BTreeSet<SendId>,
    answers: BTreeMap<RequestId, u64>,
    replies: BTreeMap<SendId, ReplyOutcome>,
    pub(crate) violation: Option<Violation>,
    pub(crate) counts: Counts,
}

/// Counts of the events of a run. They show that the events under test occur at all: a run without
/// them proves nothing.
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

// The entry node may run an idempotent send once and retry it once.
pub(crate) const IDEMPOTENT_STARTS_PER_SEND: usize = 2;

impl Ledger {
    pub(crate) fn record_violation(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    pub(crate) fn start(&mut self, request: RequestId, ticketed: bool, start: RunStart) {
        self.counts.starts += 1;
        let starts = self.starts.entry(request).or_default();
        starts.push(start);
        let starts_of_send = starts
            .iter()
            .filter(|other| other.send == start.send)
            .count();
        let start_count = starts.len();
        if ticketed && start_count > 1 {
            self.record_violation(format!("request {request} started {start_count} times"));
        }
        if ticketed && self.not_run_requests.contains(&request) {
            self.record_violation(format!(
                "request {request} started after it was reported not_run"
            ));
        }
        if !ticketed && self.not_run_sends.contains(&start.send) {
            self.record_violation(format!(
                "send {} started after it was reported not_run",
                start.send
            ));
        }
        if !ticketed && starts_of_send > IDEMPOTENT_STARTS_PER_SEND {
            self.record_violation(format!(
                "send {} started {starts_of_send} times",
                start.send
            ));
        }
    }

    pub(crate) fn reply(
        &mut self,
        request: RequestId,
        ticketed: bool,
        send: SendId,
        told: ReplyOutcome,
    ) {
        if let Some(earlier) = self.replies.insert(send, told) {
            self.record_violation(format!(
                "send {send} ended twice: {earlier:?}, then {told:?}"
            ));
        }
        match told {
            ReplyOutcome::Answered {
                request: answered,
                token,
            } => {
                self.counts.answered += 1;
                self.check_answer(request, ticketed, answered, token);
            }
            ReplyOutcome::NotRun => {
                self.counts.not_run += 1;
                self.check_not_run(request, ticketed, send);
            }
            ReplyOutcome::Unknown => self.counts.unknown += 1,
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
            self.record_violation(format!(
                "request {request} got the answer of request {answered}"
            ));
        }
        let starts = self.starts.get(&request).map_or(&[][..], Vec::as_slice);
        if !starts.iter().any(|start| start.token == token) {
            self.record_violation(format!(
                "request {request} got an answer that none of its runs returned"
            ));
        }
        let first = *self.answers.entry(request).or_insert(token);
        if ticketed && first != token {
            self.record_violation(format!("request {request} got two different answers"));
        }
    }

    fn check_not_run(&mut self, request: RequestId, ticketed: bool, send: SendId) {
        let starts = self.starts.get(&request).map_or(&[][..], Vec::as_slice);
        let started = match ticketed {
            true => !starts.is_empty(),
            false => starts.iter().any(|start| start.send == send),
        };
        if started {
            self.record_violation(format!(
                "request {request} was reported not_run although it had started"
            ));
        }
        match ticketed {
            true => self.not_run_requests.insert(request),
            false => self.not_run_sends.insert(send),
        };
    }

    pub(crate) fn check_start_while_stopping(&mut self, at: At, since_ms: TimeMs) {
        if since_ms > STOPPING_START_LIMIT_MS {
            self.record_violation(format!(
                "node {} started a request {since_ms} ms after its stop began",
                at.slot
            ));
        }
    }
}

const STOPPING_START_LIMIT_MS: TimeMs = 3000;
