//! The sends of one call: how many upstreams may run it, and what ends them.

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

/// Sends a call to node after node, as long as another send follows.
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

/// Upstreams run a deeper call and lose the answers, one after the other. Its chain
/// has retries left for twenty sends more; its route has two upstreams. The third
/// does not get it, and no retry is taken for what is not sent.
#[test]
fn a_call_stops_at_its_own_route_whatever_its_chain_has_left() {
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
fn what_follows_each_end() {
    use NextStep::{Moved, Retried, UpstreamsUsedUp};
    assert_eq!(steps(1, &[LOST]), [UpstreamsUsedUp]);
    // A node that refuses it has not handed it over.
    assert_eq!(
        steps(2, &[FULL, LOST, LOST]),
        [Moved, Retried, UpstreamsUsedUp]
    );
    // What an upstream turns away has not run there.
    assert_eq!(
        steps(2, &[REJECTED, LOST, LOST]),
        [Retried, Retried, UpstreamsUsedUp]
    );
}

/// Why the caller is told, by the verdict on a further retry.
#[test]
fn each_verdict_has_a_step_of_its_own() {
    let cases = [
        (RetryDecision::PassUp, NextStep::PassedUp),
        (RetryDecision::TooLate, NextStep::TooLate),
        (RetryDecision::AllowanceSpent, NextStep::AllowanceUsedUp),
        (RetryDecision::EdgeSpent, NextStep::EdgeUsedUp),
    ];
    for (verdict, step) in cases {
        let mut sends = CallSends::new(2);
        sends.send_ended(0, &LOST);
        assert_eq!(sends.next_step(&LOST, true, || verdict), step);
    }
}

/// The only node of a service loses an answer. There is no other to send the call to,
/// so the retry that it would have taken is left for a call that can use it.
#[test]
fn no_retry_is_taken_where_no_node_is_left() {
    for end in [LOST, FULL] {
        let mut sends = CallSends::new(2);
        let never = || unreachable!("a retry is asked for");
        sends.send_ended(0, &end);
        assert_eq!(sends.next_step(&end, false, never), NextStep::NoNodeLeft);
    }
}

/// Two upstreams have turned a call away, and its route allows no third: only
/// these may get it again, and one that is left alone may get it at once.
#[test]
fn only_upstreams_that_turned_it_away_may_get_it_again() {
    let mut sends = CallSends::new(2);
    sends.send_ended(0, &REJECTED);
    sends.send_ended(1, &REJECTED);
    let may_send_to: Vec<usize> = (0..4).filter(|node| sends.may_send_to(*node)).collect();
    assert_eq!(may_send_to, [0]);
    assert_eq!(sends.resend_target(), Some(1));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any ends at any nodes, with a retry for each that asks: the call is handed to
    /// no more upstreams than its route allows, and runs no oftener than that.
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
