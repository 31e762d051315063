//! What the node beside an upstream does with a rate limit.

use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, AdoptedNotice, HeardNotice, NoticeChanges,
    OfferedCall, QueueDecision, RunResult, UpstreamStart,
};
use hemlocktack_protocol::{AnswerNotice, Reason, Statement, UpstreamNotice};

use crate::support::first_attempt;

const SLOTS: u32 = 2;
const RATE_LIMIT_PER_S: f64 = 6.4;
const START_NUMBER: u64 = 1;
/// Incarnations of the node beside the upstream: the present one and an earlier one.
const OWN: u64 = 2;
const EARLIER: u64 = 1;

fn admission(now: Instant) -> Admission {
    let mut admission = Admission::new(AdmissionPolicy::default(), now);
    admission.set_upstream_start(start("i-1", Some(7), START_NUMBER));
    admission.announced(SLOTS, SLOTS * 8, false, now);
    admission
}

fn start(id: &str, started_unix_ms: Option<u64>, number: u64) -> UpstreamStart {
    UpstreamStart {
        id: id.into(),
        started_unix_ms,
        number,
    }
}

fn says(rate_limit_per_s: Option<f64>) -> AnswerNotice {
    AnswerNotice {
        rate_limit_per_s: rate_limit_per_s.map_or(Statement::Absent, Statement::Said),
        leaving: Statement::Absent,
        ..AnswerNotice::default()
    }
}

/// Applies an answer to a request that was sent at this time; returns whether the limit changed.
fn hear(
    admission: &mut Admission,
    notice: &AnswerNotice,
    request_sent_at: Instant,
    now: Instant,
) -> bool {
    let heard = HeardNotice {
        notice,
        request_sent_at,
        is_complete: true,
        start_number: START_NUMBER,
    };
    admission.hear_notice(&heard, now).rate_limit.is_some()
}

fn offer(call_id: u64, class_rank: u8, now: Instant) -> OfferedCall {
    first_attempt(call_id, class_rank, now + Duration::from_secs(5))
}

/// Offers calls of one class every 10 ms, each of which ends at once; returns how many ran.
fn run_calls(
    admission: &mut Admission,
    classes: &[u8],
    from: Instant,
    length: Duration,
) -> Vec<usize> {
    let mut ran = vec![0; classes.len()];
    for step in 0..(length.as_millis() / 10) as u64 {
        let now = from + Duration::from_millis(10 * step);
        for (index, class_rank) in classes.iter().enumerate() {
            let call_id = step * 10 + index as u64;
            let decision = admission.offer(&offer(call_id, *class_rank, now), now);
            match decision {
                AdmissionDecision::Run => {
                    ran[index] += 1;
                    admission.finish(call_id, RunResult::Answered, Duration::ZERO, now);
                }
                AdmissionDecision::Refused(refusal) => {
                    assert_eq!(refusal.reason, Reason::UpstreamRateLimited);
                    assert!(refusal.retry_after.is_some());
                }
                AdmissionDecision::Queued => panic!("a call waits for a token"),
            }
        }
    }
    ran
}

#[test]
fn calls_beyond_the_limit_are_refused_at_once_and_the_limit_is_used() {
    let now = Instant::now();
    for class_rank in [0, 1, 4, 15] {
        let mut admission = admission(now);
        hear(&mut admission, &says(Some(RATE_LIMIT_PER_S)), now, now);
        let ran = run_calls(&mut admission, &[class_rank], now, Duration::from_secs(20))[0];
        let allowed = RATE_LIMIT_PER_S * 20.0;
        let is_used = (0.9 * allowed..=allowed + 6.1).contains(&(ran as f64));
        assert!(is_used, "class {class_rank}: {ran} of {allowed}");
    }
}

/// Failure: with calls of two classes above the limit, the less important ones take the tokens.
#[test]
fn the_more_important_class_gets_the_tokens() {
    let now = Instant::now();
    let mut admission = admission(now);
    hear(&mut admission, &says(Some(RATE_LIMIT_PER_S)), now, now);
    let ran = run_calls(&mut admission, &[2, 0], now, Duration::from_secs(20));
    assert!(ran[0] <= 1 && ran[1] >= 110, "{ran:?}");
}

/// Failure: calls that were queued when the limit was named are sent as slots become free.
#[test]
fn calls_that_were_queued_at_the_naming_are_refused_the_least_important_first() {
    let now = Instant::now();
    let mut admission = admission(now);
    for call_id in 1..=u64::from(SLOTS) {
        let decision = admission.offer(&offer(call_id, 0, now), now);
        assert_eq!(decision, AdmissionDecision::Run);
    }
    for (call_id, class_rank) in [(11, 1), (12, 0), (13, 1)] {
        let decision = admission.offer(&offer(call_id, class_rank, now), now);
        assert_eq!(decision, AdmissionDecision::Queued);
    }
    hear(&mut admission, &says(Some(RATE_LIMIT_PER_S)), now, now);
    let mut decisions = Vec::new();
    admission.take_decisions(now, &mut decisions);
    let refused: Vec<_> = decisions
        .iter()
        .map(|decision| match decision {
            QueueDecision::Refuse(call_id, refusal) => (*call_id, refusal.reason),
            QueueDecision::Run(call_id) => panic!("{call_id} runs"),
        })
        .collect();
    let reason = Reason::UpstreamRateLimited;
    assert_eq!(refused, [(13, reason), (11, reason)]);
    admission.finish(1, RunResult::Answered, Duration::ZERO, now);
    decisions.clear();
    admission.take_decisions(now, &mut decisions);
    assert_eq!(decisions, [QueueDecision::Run(12)]);
}

/// An answer that the upstream wrote before a change and that arrives after it undoes nothing.
#[test]
fn a_late_answer_does_not_undo_a_change() {
    let began = Instant::now();
    let at = |ms| began + Duration::from_millis(ms);
    let mut admission = admission(began);
    assert!(hear(&mut admission, &says(Some(5.0)), at(0), at(100)));
    assert!(!hear(&mut admission, &says(None), at(50), at(110)));
    assert!(!hear(&mut admission, &says(Some(20.0)), at(50), at(120)));
    assert!(hear(&mut admission, &says(Some(10.0)), at(150), at(200)));
    assert!(!hear(&mut admission, &says(Some(5.0)), at(150), at(210)));
    assert!(hear(&mut admission, &says(Some(3.0)), at(150), at(220)));
    assert!(!hear(&mut admission, &says(Some(10.0)), at(150), at(230)));
    assert!(hear(&mut admission, &says(None), at(240), at(300)));
    assert!(!hear(&mut admission, &says(Some(3.0)), at(240), at(310)));
    assert_eq!(admission.rate_limit_per_s(), None);
}

/// An answer whose header cannot be read, or that is not complete, neither names nor ends a limit.
#[test]
fn only_a_complete_answer_ends_a_limit() {
    let began = Instant::now();
    let later = began + Duration::from_secs(1);
    let mut admission = admission(began);
    hear(&mut admission, &says(Some(5.0)), began, began);
    let malformed = AnswerNotice {
        rate_limit_per_s: Statement::Malformed("x".to_owned()),
        leaving: Statement::Malformed("yes".to_owned()),
        ..AnswerNotice::default()
    };
    assert!(!hear(&mut admission, &malformed, later, later));
    let cut_off = HeardNotice {
        notice: &says(None),
        request_sent_at: later,
        is_complete: false,
        start_number: START_NUMBER,
    };
    let changes = admission.hear_notice(&cut_off, later);
    assert_eq!(changes, NoticeChanges::default());
    assert_eq!(admission.rate_limit_per_s(), Some(5.0));
}

fn notice(upstream_start: &str, started_unix_ms: u64, is_leaving: bool) -> UpstreamNotice {
    UpstreamNotice {
        upstream_start: upstream_start.to_owned(),
        started_unix_ms,
        rate_limit_per_s: 5.0,
        is_leaving,
        node_incarnation: EARLIER,
        revision: 1,
    }
}

/// A later start of the upstream, with another id or the same, owes nothing of an earlier one.
#[test]
fn a_notice_binds_only_the_start_that_it_is_about() {
    let now = Instant::now();
    let mut known = admission(now);
    for other in [notice("i-0", 7, true), notice("i-1", 6, true)] {
        let adopted = known.adopt_notice(&other, OWN, now);
        assert_eq!(adopted, AdoptedNotice::Heeded(NoticeChanges::default()));
    }
    assert!(!known.has_notice_in_force());
    known.adopt_notice(&notice("i-1", 7, true), OWN, now);
    assert_eq!(known.rate_limit_per_s(), Some(5.0));
    known.set_upstream_start(start("i-1", Some(8), START_NUMBER + 1));
    assert!(!known.has_notice_in_force());
}

/// Failure: a node that does not know yet when its upstream began takes the departure of an earlier
/// start with the same id for that of the current one, which then gets no calls for as long as it
/// runs; or it takes no notice, and the one that leaves gets a call.
#[test]
fn a_departure_is_not_adopted_while_the_start_is_uncertain() {
    let now = Instant::now();
    let mut admission = admission(now);
    admission.set_upstream_start(start("i-1", None, START_NUMBER + 1));
    let adopted = admission.adopt_notice(&notice("i-1", 7, true), OWN, now);
    assert_eq!(adopted, AdoptedNotice::Unconfirmed);
    assert!(!admission.has_notice_in_force());
}

/// Failure: two calls reach a restarted node at once; the first brings the departure, and the second
/// runs, because the node has not begun to drain yet.
#[test]
fn no_call_runs_between_the_news_of_a_departure_and_the_drain() {
    let now = Instant::now();
    let mut admission = admission(now);
    let departure = notice("i-1", 7, true);
    for call_id in [1, 2] {
        let adopted = admission.adopt_notice(&departure, OWN, now);
        assert!(matches!(adopted, AdoptedNotice::Heeded(_)));
        let decision = admission.offer(&offer(call_id, 0, now), now);
        assert!(refused_as_draining(&decision), "{call_id}: {decision:?}");
    }
}

/// Failure: a call brings the departure of an upstream that a restarted node does not know yet, the
/// upstream announces itself in the same moment, and the call runs.
#[test]
fn no_call_with_a_departure_runs_on_an_upstream_that_appears_meanwhile() {
    let now = Instant::now();
    let mut admission = Admission::new(AdmissionPolicy::default(), now);
    let adopted = admission.adopt_notice(&notice("i-1", 7, true), OWN, now);
    admission.set_upstream_start(start("i-1", Some(7), START_NUMBER));
    admission.announced(SLOTS, SLOTS * 8, false, now);
    let decision = admission.offer(&offer(1, 0, now), now);
    let is_kept_away = adopted == AdoptedNotice::Unconfirmed || refused_as_draining(&decision);
    assert!(is_kept_away, "{adopted:?}, {decision:?}");
}

fn refused_as_draining(decision: &AdmissionDecision) -> bool {
    let AdmissionDecision::Refused(refusal) = decision else {
        return false;
    };
    refusal.reason == Reason::UpstreamDraining
}

/// Failure: an entry sends back what this node has said of an earlier start of its upstream, whose
/// id the current one has again, and the current one counts as leaving for as long as it runs.
#[test]
fn a_node_adopts_nothing_that_it_has_said_itself() {
    let now = Instant::now();
    let mut admission = admission(now);
    let own = UpstreamNotice {
        node_incarnation: OWN,
        ..notice("i-1", 0, true)
    };
    admission.adopt_notice(&own, OWN, now);
    assert!(!admission.has_notice_in_force());
}

/// Failure: an announcement from before the upstream told when it began is applied again, the node
/// no longer knows which start it has, and refuses the calls of all entries that know of a departure.
#[test]
fn a_renewed_announcement_does_not_undo_when_the_start_began() {
    let now = Instant::now();
    let mut admission = admission(now);
    admission.set_upstream_start(start("i-2", None, START_NUMBER + 1));
    admission.set_upstream_started(START_NUMBER + 1, 9);
    admission.set_upstream_start(start("i-2", None, START_NUMBER + 1));
    let adopted = admission.adopt_notice(&notice("i-2", 8, true), OWN, now);
    assert_eq!(adopted, AdoptedNotice::Heeded(NoticeChanges::default()));
    assert!(!admission.has_notice_in_force());
}

/// What the node has heard from the upstream itself outweighs what others still believe.
#[test]
fn a_limit_that_has_ended_is_not_adopted_again() {
    let now = Instant::now();
    let mut admission = admission(now);
    hear(&mut admission, &says(None), now, now);
    admission.adopt_notice(&notice("i-1", 7, false), OWN, now);
    assert_eq!(admission.rate_limit_per_s(), None);
}
