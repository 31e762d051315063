//! The sends of one call: how many upstreams may run it, and when it ends.

use hemlocktack_decide::{CallSends, NextStep, RetryDecision};
use hemlocktack_protocol::{CallFailure, Reason, Refusal};
use proptest::prelude::*;

const LOST: CallFailure = CallFailure::Unknown(Reason::UpstreamFailed);
const REJECTED: CallFailure = not_run(Reason::UpstreamShed);
const FULL: CallFailure = not_run(Reason::QueueFull);

const fn not_run(reason: Reason) -> CallFailure {
    CallFailure::NotRun(Refusal {
        reason,
        retry_after: None,
    })
}

fn step(sends: &mut CallSends, node: usize, end: &CallFailure) -> NextStep {
    sends.send_ended(node, end);
    sends.next_step(end, true, || RetryDecision::Retry)
}

/// Sends a call to one node after another while another send follows.
fn steps(max_upstreams: usize, ends: &[CallFailure]) -> Vec<NextStep> {
    let mut sends = CallSends::new(max_upstreams);
    let mut steps = Vec::new();
    for (node, end) in ends.iter().enumerate() {
        let step = step(&mut sends, node, end);
        steps.push(step);
        if !step.sends_again() {
            break;
        }
    }
    steps
}

/// Upstreams run a child call and lose the answers, one after the other. The chain has retries
/// left for twenty more sends, and the route allows two upstreams. A third upstream does not get
/// the call, and no retry is taken for a send that does not happen.
#[test]
fn a_call_stops_at_the_limit_of_its_route() {
    let mut sends = CallSends::new(2);
    assert_eq!(step(&mut sends, 0, &LOST), NextStep::Retried);
    let never = || unreachable!("a retry is asked for");
    sends.send_ended(1, &LOST);
    assert_eq!(
        sends.next_step(&LOST, true, never),
        NextStep::UpstreamsUsedUp
    );
    assert_eq!(sends.upstreams_reached(), 2);
}

#[test]
fn next_step_after_each_failure() {
    use NextStep::{Moved, Retried, UpstreamsUsedUp};
    assert_eq!(steps(1, &[LOST]), [UpstreamsUsedUp]);
    // A node that refuses the call has not handed it to its upstream.
    assert_eq!(
        steps(2, &[FULL, LOST, LOST]),
        [Moved, Retried, UpstreamsUsedUp]
    );
    // A call rejected by an upstream has not run there.
    assert_eq!(
        steps(2, &[REJECTED, LOST, LOST]),
        [Retried, Retried, UpstreamsUsedUp]
    );
}

/// Each retry decision maps to its own reason for returning the call.
#[test]
fn each_retry_decision_has_its_own_next_step() {
    let cases = [
        (RetryDecision::PassUp, NextStep::PassedUp),
        (RetryDecision::TooLate, NextStep::TooLate),
        (RetryDecision::AllowanceSpent, NextStep::AllowanceUsedUp),
        (RetryDecision::EdgeSpent, NextStep::EdgeUsedUp),
    ];
    for (decision, step) in cases {
        let mut sends = CallSends::new(2);
        sends.send_ended(0, &LOST);
        assert_eq!(sends.next_step(&LOST, true, || decision), step);
    }
}

/// The only node of a service loses an answer. The call cannot be sent to another node, so no
/// retry is taken; it is left for a call that can use it.
#[test]
fn no_retry_is_taken_where_no_node_is_left() {
    for end in [LOST, FULL] {
        let mut sends = CallSends::new(2);
        let never = || unreachable!("a retry is asked for");
        sends.send_ended(0, &end);
        assert_eq!(sends.next_step(&end, false, never), NextStep::NoNodeLeft);
    }
}

/// Two upstreams have rejected a call and its route allows no third: only these two may get it
/// again, and the last one only if no other is left.
#[test]
fn only_upstreams_that_rejected_a_call_may_get_it_again() {
    let mut sends = CallSends::new(2);
    sends.send_ended(0, &REJECTED);
    sends.send_ended(1, &REJECTED);
    let may_send_to: Vec<usize> = (0..4).filter(|node| sends.may_send_to(*node)).collect();
    assert_eq!(may_send_to, [0]);
    assert_eq!(sends.resend_target(), Some(1));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the outcomes and nodes, with a retry for each call that asks: the call reaches
    /// no more upstreams than its route allows, and runs no more often than that.
    #[test]
    fn no_call_runs_on_more_upstreams_than_allowed(
        max_upstreams in 1usize..4,
        draws in prop::collection::vec((0usize..6, 0usize..3), 1..40),
    ) {
        let mut sends = CallSends::new(max_upstreams);
        let mut handed_to = Vec::new();
        let mut runs = 0;
        for (first, end) in draws {
            let nodes = (0..6).map(|offset| (first + offset) % 6);
            let mut allowed = nodes.filter(|node| sends.may_send_to(*node));
            let Some(node) = allowed.next().or(sends.resend_target()) else {
                break;
            };
            drop(allowed);
            let end = [LOST, REJECTED, FULL][end];
            if end != FULL && !handed_to.contains(&node) {
                handed_to.push(node);
            }
            runs += usize::from(end == LOST);
            prop_assert!(handed_to.len() <= max_upstreams);
            prop_assert!(runs <= max_upstreams);
            if !step(&mut sends, node, &end).sends_again() {
                break;
            }
        }
    }
}
