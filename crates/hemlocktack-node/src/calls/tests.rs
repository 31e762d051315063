//! Looking up running calls by request id, and what is known of a call that is given up.

use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{Answer, Call, ClassRank, Outcome, Reason};

use super::SendRecord;
use super::context::{ContextTable, RunningCall};
use super::place::answer_by_deadline;
use super::send_progress::SendProgress;

fn running() -> RunningCall {
    RunningCall::new(&Call::default(), ClassRank::MAX, None, Instant::now())
}

/// Guards against child calls that lose their parent: a request was sent here twice, the later
/// send has ended, and the earlier one still runs.
#[test]
fn a_run_is_found_by_its_request_after_a_second_send_has_ended() {
    let table = ContextTable::default();
    let first = table.open(running(), "request");
    let second = table.open(running(), "request");
    drop(second);
    let found = table.find_by_request("request");
    assert!(found.is_some_and(|found| Arc::ptr_eq(&found, &first.running)));
    drop(first);
    assert!(table.find_by_request("request").is_none());
}

/// Time that a caller may be kept waiting after its deadline.
const MAX_LATE: Duration = Duration::from_millis(50);

/// Guards against a request that is held after its timeout: its send ends late, because it checks
/// whether the upstream still lives, or never.
#[tokio::test(start_paused = true)]
async fn a_call_is_answered_by_its_deadline() {
    let deadline = Instant::now() + Duration::from_secs(1);
    let sends = SendRecord::default();
    let answer = answer_by_deadline(std::future::pending(), &sends, deadline).await;
    let limit = tokio::time::Instant::from_std(deadline + MAX_LATE);
    assert!(tokio::time::Instant::now() <= limit);
    assert_eq!(
        (answer.outcome(), answer.reason()),
        (Outcome::NotRun, Reason::Timeout)
    );
}

/// Guards against dropping an outcome that arrives at the deadline.
#[tokio::test(start_paused = true)]
async fn an_outcome_at_the_deadline_is_used() {
    let deadline = Instant::now() + Duration::from_secs(1);
    let running = async {
        tokio::time::sleep_until(deadline.into()).await;
        Answer {
            outcome: Outcome::Answered.into(),
            ..Answer::default()
        }
    };
    let answer = answer_by_deadline(running, &SendRecord::default(), deadline).await;
    assert_eq!(answer.outcome(), Outcome::Answered);
}

const SENDS: usize = 200_000;

/// Guards against an untrue `not run`: a call is given up on one thread while another starts it.
#[test]
fn a_send_either_leaves_or_is_given_up() {
    let sends: Vec<SendProgress> = (0..SENDS).map(|_| SendProgress::default()).collect();
    let start = Barrier::new(2);
    std::thread::scope(|scope| {
        let leaving = scope.spawn(|| {
            start.wait();
            sends.iter().map(SendProgress::try_mark_sent).collect()
        });
        start.wait();
        let not_run: Vec<bool> = sends.iter().map(SendProgress::abandon).collect();
        let left: Vec<bool> = leaving.join().unwrap_or_default();
        let is_one = |(left, not_run): (&bool, &bool)| left != not_run;
        assert!(left.len() == SENDS && left.iter().zip(&not_run).all(is_one));
    });
}

/// Guards against reporting a call as possibly run that was taken out of the buffer of its link.
#[test]
fn a_send_that_is_taken_back_has_not_left() {
    let progress = SendProgress::default();
    assert!(progress.try_mark_sent());
    progress.mark_unsent();
    assert!(progress.abandon());
    assert!(!progress.try_mark_sent());
}
