//! Retries over a whole call chain.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use hemlocktack_decide::{
    EdgeRetryBudget, RetryAllowance, RetryBudget, RetryDecision, RetryPolicy, RetryPriority,
    combined_outcome, decide_retry,
};
use hemlocktack_protocol::{CallFailure, Reason, Refusal};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const DEPTH: u32 = 10;

fn budget<'a>(allowance: &'a RetryAllowance, edge: &'a EdgeRetryBudget) -> RetryBudget<'a> {
    RetryBudget {
        allowance,
        edge,
        priority: RetryPriority::HIGHEST,
    }
}

/// Simulates a call at `depth` whose child calls fail at random; returns the retries spent below
/// it.
fn spend(allowance: &RetryAllowance, depth: u32, fan_out: u32, rng: &mut SmallRng) -> u32 {
    let mut spent = 0;
    if depth == DEPTH {
        return spent;
    }
    // Parallel children: every share is granted before any is returned.
    let given: Vec<_> = (0..fan_out).map(|_| allowance.grant_to_child()).collect();
    for given in given {
        let child = RetryAllowance::new(given);
        spent += spend(&child, depth + 1, fan_out, rng);
        let is_lost = rng.random_bool(0.1);
        if !is_lost {
            allowance.return_unspent(child.left(), given);
        }
        while rng.random_bool(0.5) && allowance.try_take() {
            spent += 1;
        }
    }
    spent
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// A request fans out ten hops deep and every call may fail; hops lose children and repeat
    /// calls as often as they are allowed to.
    #[test]
    fn the_whole_chain_never_spends_more_than_the_root_allows(
        granted in 0u32..12,
        fan_out in 1u32..3,
        seed: u64,
    ) {
        let root = RetryAllowance::new(granted);
        let mut rng = SmallRng::seed_from_u64(seed);
        let spent = spend(&root, 0, fan_out, &mut rng);
        prop_assert!(spent + root.left() <= granted);
    }
}

/// The first send of a request goes to a node that loses power, and its share of the allowance
/// is lost with it. The entry can still send the request to another node, once; a second loss is
/// returned to the caller.
#[test]
fn a_lost_child_leaves_the_entry_its_own_retry() {
    let allowance = RetryAllowance::with_entry_share(1, 1);
    let edge = EdgeRetryBudget::new(RetryPolicy::default(), Instant::now());
    let decisions = [(); 2].map(|()| {
        // Lost with the child.
        allowance.grant_to_child();
        let lost = CallFailure::Unknown(Reason::LinkLost);
        let (left, expected) = (Duration::from_secs(1), Duration::from_millis(100));
        decide_retry(
            &lost,
            true,
            left,
            expected,
            &budget(&allowance, &edge),
            Instant::now(),
        )
    });
    let expected = [RetryDecision::Retry, RetryDecision::AllowanceSpent];
    assert_eq!(decisions, expected);
}

/// The rest that an answered child returns stays reserved for child calls: the entry sends a
/// request to no more nodes than its own retries allow.
#[test]
fn retries_returned_by_a_child_are_not_spent_at_the_entry() {
    let allowance = RetryAllowance::with_entry_share(1, 4);
    let given = allowance.grant_to_child();
    allowance.return_unspent(given, given);
    assert!(allowance.try_take());
    assert!(!allowance.try_take());
    assert_eq!((allowance.left(), allowance.left_for_own_sends()), (4, 0));
}

#[test]
fn a_child_cannot_return_more_than_it_got() {
    let allowance = RetryAllowance::new(3);
    let given = allowance.grant_to_child();
    allowance.return_unspent(1000, given);
    assert_eq!(allowance.left(), 3);
}

#[test]
fn what_is_retried() {
    let not_run = |reason| {
        CallFailure::NotRun(Refusal {
            reason,
            retry_after: None,
        })
    };
    let cases = [
        (not_run(Reason::Shed), true),
        (not_run(Reason::QueueFull), true),
        (not_run(Reason::DeadlineTooShort), true),
        (not_run(Reason::Quarantined), true),
        (not_run(Reason::UpstreamUnreachable), false),
        (not_run(Reason::UpstreamShed), false),
        (CallFailure::Unknown(Reason::UpstreamFailed), true),
        (CallFailure::Unknown(Reason::UpstreamFailed), false),
        (CallFailure::Unknown(Reason::Timeout), true),
    ];
    let decisions = cases.map(|(unfinished, idempotent)| {
        let decision = decide_retry(
            &unfinished,
            idempotent,
            Duration::from_secs(1),
            Duration::from_millis(100),
            &budget(
                &RetryAllowance::new(1),
                &EdgeRetryBudget::new(RetryPolicy::default(), Instant::now()),
            ),
            Instant::now(),
        );
        format!("{unfinished}, idempotent {idempotent}: {decision:?}")
    });
    insta::assert_snapshot!(decisions.join("\n"));
}

/// A node is killed and quickly restarted at its address. A lookup in flight to it ends
/// `unknown`; other nodes are available, so it is sent again as if its link had been lost. A
/// booking is not.
#[test]
fn a_lookup_on_a_restarted_node_is_sent_again() {
    let decision = |idempotent| {
        decide_retry(
            &CallFailure::Unknown(Reason::HomeGone),
            idempotent,
            Duration::from_secs(1),
            Duration::from_millis(100),
            &budget(
                &RetryAllowance::new(1),
                &EdgeRetryBudget::new(RetryPolicy::default(), Instant::now()),
            ),
            Instant::now(),
        )
    };
    assert_eq!(decision(true), RetryDecision::Retry);
    assert_eq!(decision(false), RetryDecision::PassUp);
}

/// A service two hops below the entry rejects every other call whatever its load, and a lookup
/// needs four answers from it in sequence. If the first rejection were returned, six lookups in
/// seven would fail. The entry's single retry, kept for sends that may have run, is still
/// available in the end.
#[test]
fn a_lookup_gets_its_four_answers_if_every_other_call_is_rejected() {
    const FOR_CHAIN: u32 = 24;
    let rejected = CallFailure::NotRun(Refusal {
        reason: Reason::UpstreamShed,
        retry_after: None,
    });
    let edge = EdgeRetryBudget::new(RetryPolicy::default(), Instant::now());
    let entry = RetryAllowance::with_entry_share(1, FOR_CHAIN);
    let hop = RetryAllowance::new(entry.grant_to_child());
    let deep = RetryAllowance::new(hop.grant_to_child());
    let mut answers = 0;
    for _ in 0..4 {
        let given = deep.grant_to_child();
        deep.return_unspent(given, given);
        let (left, expected) = (Duration::from_secs(1), Duration::from_millis(22));
        let decision = decide_retry(
            &rejected,
            false,
            left,
            expected,
            &budget(&deep, &edge),
            Instant::now(),
        );
        answers += u32::from(decision == RetryDecision::Retry);
    }
    assert_eq!(answers, 4);
    assert_eq!(entry.left_for_own_sends(), 1);
}

#[test]
fn a_spent_allowance_or_too_little_time_ends_the_retries() {
    let unfinished = CallFailure::Unknown(Reason::LinkLost);
    let edge = EdgeRetryBudget::new(RetryPolicy::default(), Instant::now());
    let decision = |left, allowance: u32| {
        let allowance = RetryAllowance::new(allowance);
        let expected = Duration::from_millis(100);
        decide_retry(
            &unfinished,
            true,
            left,
            expected,
            &budget(&allowance, &edge),
            Instant::now(),
        )
    };
    assert_eq!(
        decision(Duration::from_secs(1), 0),
        RetryDecision::AllowanceSpent
    );
    assert_eq!(
        decision(Duration::from_millis(99), 1),
        RetryDecision::TooLate
    );
    assert_eq!(decision(Duration::from_secs(1), 1), RetryDecision::Retry);
}

/// The first send fails with its upstream, and the retry is refused. If `not-run` were reported,
/// the caller would repeat what may have run.
#[test]
fn a_refused_retry_does_not_hide_that_the_first_send_may_have_run() {
    let unknown = CallFailure::Unknown(Reason::UpstreamFailed);
    let refused = CallFailure::NotRun(Refusal {
        reason: Reason::NoUpstream,
        retry_after: None,
    });
    assert_eq!(combined_outcome(Some(unknown), refused), unknown);
    assert_eq!(combined_outcome(Some(refused), unknown), unknown);
    assert_eq!(combined_outcome(Some(refused), refused), refused);
    assert_eq!(combined_outcome(None, refused), refused);
}
