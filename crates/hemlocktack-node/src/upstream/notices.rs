//! Rate limits and departures that the upstream names in its answers.

use std::time::Instant;

use hemlocktack_decide::{AdoptedNotice, HeardNotice, NoticeChanges};
use hemlocktack_protocol::{AnswerNotice, Call, LoadReport, Reason, Statement};
use hemlocktack_telemetry::{Event, log_event};
use strum::IntoStaticStr;

use crate::node::Node;

/// Notice of an answer.
pub(crate) struct HeardAnswer {
    pub(crate) notice: AnswerNotice,
    pub(crate) request_sent_at: Instant,
    /// When the head of the answer was read. Its body may take much longer.
    pub(crate) read_at: Instant,
    /// The answer of a run, received completely.
    pub(crate) is_complete: bool,
}

/// Where a notice came from.
#[derive(Clone, Copy, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum NoticeSource {
    Answer,
    OtherNode,
}

/// Heeds what an answer of the upstream said.
pub(crate) fn heed_answer(node: &Node, start_number: u64, request_id: &str, heard: &HeardAnswer) {
    log_malformed(node, request_id, &heard.notice);
    log_malformed_load(node, request_id, &heard.notice.load);
    let read_at = heard.read_at;
    let heard = HeardNotice {
        notice: &heard.notice,
        request_sent_at: heard.request_sent_at,
        is_complete: heard.is_complete,
        start_number,
    };
    let changes = node.admission_queue.with_admission_only(|admission| {
        if let Statement::Said(load) = &heard.notice.load {
            admission.hear_load(load, start_number, read_at);
        }
        admission.hear_notice(&heard, Instant::now())
    });
    if changes.rate_limit.is_some() {
        node.admission_queue.apply_decisions();
    }
    if changes.begins_to_leave {
        node.mark_upstream_leaving(start_number);
    }
    log_changes(node, request_id, changes, NoticeSource::Answer);
}

/// Heeds what the sender of a call knows of the upstream. Returns the reason to refuse the call if
/// it is not certain that the upstream is not the one that leaves.
pub(crate) fn heed_call(node: &Node, call: &Call) -> Option<Reason> {
    let notice = call.upstream_notice.as_ref()?;
    let own = node.identity.incarnation;
    let adopted = node
        .admission_queue
        .with_admission(|admission| admission.adopt_notice(notice, own, Instant::now()));
    let AdoptedNotice::Heeded(changes) = adopted else {
        return Some(Reason::UpstreamDraining);
    };
    if changes.begins_to_leave {
        let start_number = node.upstream_starts().current_number();
        node.mark_upstream_leaving(start_number);
    }
    log_changes(node, &call.request_id, changes, NoticeSource::OtherNode);
    None
}

/// Returns whether the upstream says that it is leaving.
pub(crate) fn says_leaving(notice: &AnswerNotice) -> bool {
    matches!(notice.leaving, Statement::Said(()))
}

fn log_changes(node: &Node, request_id: &str, changes: NoticeChanges, source: NoticeSource) {
    if changes == NoticeChanges::default() {
        return;
    }
    let source: &'static str = source.into();
    let announcement = node.announcement();
    let upstream_start = announcement
        .as_ref()
        .and_then(|announcement| announcement.upstream_start.as_deref());
    if changes.begins_to_leave {
        log_event!(
            Event::UpstreamNamedDeparture,
            request_id,
            source,
            upstream_start
        );
    }
    let Some(change) = changes.rate_limit else {
        return;
    };
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let before_per_s = change.before_per_s;
    match change.now_per_s {
        Some(per_s) => log_event!(
            Event::UpstreamNamedRateLimit,
            request_id,
            source,
            upstream_start,
            per_s,
            before_per_s,
            left_out
        ),
        None => log_event!(
            Event::UpstreamRateLimitEnded,
            request_id,
            upstream_start,
            before_per_s,
            left_out
        ),
    }
}

fn log_malformed(node: &Node, request_id: &str, notice: &AnswerNotice) {
    let rate_limit = malformed(&notice.rate_limit_per_s);
    let leaving = malformed(&notice.leaving);
    if rate_limit.is_none() && leaving.is_none() {
        return;
    }
    if let Some(left_out) = node.call_log_limiter.try_acquire() {
        log_event!(
            Event::UpstreamNoticeMalformed,
            request_id,
            rate_limit,
            leaving,
            left_out
        );
    }
}

/// Logs a load report that cannot be read, at its own rate: an upstream whose reports are all
/// malformed would otherwise use up the lines about single calls.
fn log_malformed_load(node: &Node, request_id: &str, load: &Statement<LoadReport>) {
    let Some(load) = malformed(load) else {
        return;
    };
    if let Some(count) = node.malformed_load_reports.record() {
        log_event!(Event::UpstreamLoadMalformed, request_id, load, count);
    }
}

fn malformed<T>(statement: &Statement<T>) -> Option<&str> {
    match statement {
        Statement::Malformed(value) => Some(value),
        Statement::Absent | Statement::Said(_) => None,
    }
}
