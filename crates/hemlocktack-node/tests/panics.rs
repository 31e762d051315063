//! What a panic in the work on a request leaves of its answer.

#[path = "../src/calls/panics.rs"]
mod panics;

use hemlocktack_protocol::{Answer, Outcome, Reason};

/// Stands for the node's own function of this name.
fn unknown_answer(reason: Reason) -> Answer {
    Answer {
        outcome: Outcome::Unknown.into(),
        reason: reason.into(),
        ..Answer::default()
    }
}

/// Failure: the work on a request panics, and nobody answers its caller.
#[tokio::test]
async fn work_that_panics_comes_to_an_unknown_end() {
    let panicking = async { panic!("a fault of the node itself") };
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
