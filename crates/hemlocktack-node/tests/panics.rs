//! Answers to requests whose handler panics.

#[path = "../src/calls/panics.rs"]
mod panics;

use hemlocktack_protocol::{Answer, Outcome, Reason};

/// Replaces the function of this name in `calls`, which `panics.rs` uses.
fn unknown_answer(reason: Reason) -> Answer {
    Answer {
        outcome: Outcome::Unknown.into(),
        reason: reason.into(),
        ..Answer::default()
    }
}

/// Guards against a caller that never gets an answer because the handler of its request panicked.
#[tokio::test]
async fn a_panic_is_answered_as_unknown() {
    let panicking = async { panic!("a bug in the node itself") };
    let answer = panics::catch_panic("p-1", panicking).await;
    assert_eq!(answer.outcome(), Outcome::Unknown);
    let answered = Answer {
        outcome: Outcome::Answered.into(),
        status: 200,
        ..Answer::default()
    };
    let work = async { answered.clone() };
    assert_eq!(panics::catch_panic("p-2", work).await, answered);
}
