//! Memory for bodies: order, waits and refusals.

#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    BodyBudget, BodyBudgetPolicy, BodyClaim, BodyDecision, BodyId, BodyOwner, BodyPool, WaitEnd,
};
use proptest::prelude::*;

const MIB_BYTES: usize = 1 << 20;
const POLICY: BodyBudgetPolicy = BodyBudgetPolicy {
    shared_bytes: 64 * MIB_BYTES,
    reserve_bytes: 16 * MIB_BYTES,
};
const PATIENCE: Duration = Duration::from_secs(2);

fn claim(id: BodyId, owner: BodyOwner, bytes: usize, now: Instant) -> BodyClaim {
    BodyClaim {
        id,
        owner,
        class_rank: 0,
        bytes,
        is_growing: false,
        refuse_at: now + PATIENCE,
    }
}

fn caller(id: BodyId, mib: usize, now: Instant) -> BodyClaim {
    claim(id, BodyOwner::Caller, mib * MIB_BYTES, now)
}

const GRANTED: BodyDecision = BodyDecision::Granted(BodyPool::Shared);

/// Failure: a large body waits for ever, because smaller ones that come later take what is free.
#[test]
fn a_large_body_is_not_overtaken_by_later_ones_of_its_class() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(POLICY);
    assert_eq!(budget.claim(caller(1, 40, now), now), GRANTED);
    assert_eq!(budget.claim(caller(2, 60, now), now), BodyDecision::Waits);
    assert_eq!(budget.claim(caller(3, 10, now), now), BodyDecision::Waits);
    budget.release(BodyPool::Shared, 40 * MIB_BYTES);
    let granted = [WaitEnd::Granted(2, BodyPool::Shared)];
    assert_eq!(budget.take_ends(now), granted);
}

/// Failure: requests of the last class take the memory that more important ones wait for.
#[test]
fn the_more_important_body_goes_first() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(POLICY);
    assert_eq!(budget.claim(caller(1, 60, now), now), GRANTED);
    let last_class = BodyClaim {
        class_rank: 3,
        ..caller(2, 30, now)
    };
    let peers = claim(4, BodyOwner::Peer, 30 * MIB_BYTES, now);
    for waiting in [last_class, caller(3, 30, now), peers] {
        assert_eq!(budget.claim(waiting, now), BodyDecision::Waits);
    }
    budget.release(BodyPool::Shared, 60 * MIB_BYTES);
    let order = [4, 3].map(|id| WaitEnd::Granted(id, BodyPool::Shared));
    assert_eq!(budget.take_ends(now), order);
    assert_eq!(budget.waiting_count(), 1);
}

/// Failure: callers' bodies fill the memory of two nodes that forward to each other, and each waits
/// until the other one has room.
#[test]
fn bodies_of_other_nodes_have_room_beside_those_of_callers() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(POLICY);
    assert_eq!(budget.claim(caller(1, 64, now), now), GRANTED);
    for owner in [BodyOwner::Peer, BodyOwner::Answer] {
        let decision = budget.claim(claim(2, owner, 8 * MIB_BYTES, now), now);
        assert_eq!(decision, BodyDecision::Granted(BodyPool::Reserve));
    }
}

/// Failure: answers that never end take all memory, and callers are turned away.
#[test]
fn answers_of_unknown_length_leave_the_shared_memory_to_others() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(POLICY);
    let mut endless = |id, now| {
        let growing = BodyClaim {
            is_growing: true,
            ..claim(id, BodyOwner::Answer, MIB_BYTES, now)
        };
        budget.claim(growing, now)
    };
    for id in 0..16 {
        assert_eq!(endless(id, now), BodyDecision::Granted(BodyPool::Reserve));
    }
    assert_eq!(endless(3, now), BodyDecision::Waits);
    assert_eq!(endless(7, now), BodyDecision::Refused, "a younger one");
    assert_eq!(endless(2, now), BodyDecision::Waits, "an older one");
    assert_eq!(budget.take_ends(now), [WaitEnd::Refused(3)]);
    assert_eq!(budget.claim(caller(20, 64, now), now), GRANTED);
}

/// Failure: a body that can never be held waits until its deadline, or for ever.
#[test]
fn what_can_never_be_held_is_refused_at_once() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(POLICY);
    assert_eq!(budget.claim(caller(1, 65, now), now), BodyDecision::Refused);
    assert_eq!(budget.claim(caller(2, 64, now), now), GRANTED);
    let late = now + PATIENCE;
    assert_eq!(
        budget.claim(caller(3, 1, now), late),
        BodyDecision::Granted(BodyPool::Reserve)
    );
    assert_eq!(
        budget.claim(caller(4, 20, now), late),
        BodyDecision::Refused
    );
    assert_eq!(budget.claim(caller(5, 20, late), late), BodyDecision::Waits);
    assert_eq!(budget.take_ends(late + PATIENCE), [WaitEnd::Refused(5)]);
}

/// Failure: so many bodies wait that what their sockets hold exceeds the memory of the node.
#[test]
fn when_many_wait_the_least_important_one_is_refused() {
    const MAX_WAITING: BodyId = 64;
    let now = Instant::now();
    let mut budget = BodyBudget::new(POLICY);
    assert_eq!(budget.claim(caller(0, 64, now), now), GRANTED);
    for id in 1..=MAX_WAITING {
        assert_eq!(budget.claim(caller(id, 2, now), now), BodyDecision::Waits);
    }
    let next = caller(MAX_WAITING + 1, 2, now);
    assert_eq!(budget.claim(next, now), BodyDecision::Refused);
    let peers = claim(MAX_WAITING + 2, BodyOwner::Peer, 20 * MIB_BYTES, now);
    assert_eq!(budget.claim(peers, now), BodyDecision::Waits);
    assert_eq!(budget.take_ends(now), [WaitEnd::Refused(MAX_WAITING)]);
}

#[derive(Clone, Debug)]
enum Step {
    Claim {
        owner: BodyOwner,
        class_rank: u8,
        bytes: usize,
        is_growing: bool,
    },
    Release(prop::sample::Index),
    Wait(Duration),
}

fn step() -> impl Strategy<Value = Step> {
    let owner = prop::sample::select(vec![BodyOwner::Answer, BodyOwner::Peer, BodyOwner::Caller]);
    let claim = (owner, 0_u8..4, 1_usize..70 * MIB_BYTES, any::<bool>());
    prop_oneof![
        3 => claim.prop_map(|(owner, class_rank, bytes, is_growing)| Step::Claim {
            owner,
            class_rank,
            bytes: if is_growing { MIB_BYTES } else { bytes },
            is_growing,
        }),
        2 => any::<prop::sample::Index>().prop_map(Step::Release),
        1 => (0_u64..3_000).prop_map(|wait_ms| Step::Wait(Duration::from_millis(wait_ms))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(76),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Failure: more is held than the pools have, or a body waits although nothing is held.
    #[test]
    fn pools_are_never_exceeded_and_nobody_waits_for_nothing(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut now = Instant::now();
        let mut budget = BodyBudget::new(POLICY);
        let mut waiting = HashMap::new();
        let mut held: Vec<(BodyPool, usize)> = Vec::new();
        for (id, step) in (0..).zip(steps) {
            match step {
                Step::Claim { owner, class_rank, bytes, is_growing } => {
                    let claim = BodyClaim {
                        class_rank,
                        is_growing,
                        ..claim(id, owner, bytes, now)
                    };
                    match budget.claim(claim, now) {
                        BodyDecision::Granted(pool) => held.push((pool, bytes)),
                        BodyDecision::Waits => drop(waiting.insert(id, bytes)),
                        BodyDecision::Refused => {}
                    }
                }
                Step::Release(index) if !held.is_empty() => {
                    let (pool, bytes) = held.swap_remove(index.index(held.len()));
                    budget.release(pool, bytes);
                }
                Step::Release(_) => {}
                Step::Wait(time) => now += time,
            }
            for end in budget.take_ends(now) {
                match end {
                    WaitEnd::Granted(id, pool) => held.push((pool, waiting.remove(&id).unwrap())),
                    WaitEnd::Refused(id) => drop(waiting.remove(&id).unwrap()),
                }
            }
            let held_in = |wanted| -> usize {
                let held = held.iter().filter(|(pool, _)| *pool == wanted);
                held.map(|(_, bytes)| bytes).sum()
            };
            let (shared, reserve) = (held_in(BodyPool::Shared), held_in(BodyPool::Reserve));
            prop_assert!(shared <= POLICY.shared_bytes && reserve <= POLICY.reserve_bytes);
            prop_assert_eq!(shared + reserve, budget.held_bytes());
            prop_assert_eq!(waiting.len(), budget.waiting_count());
            prop_assert!(!held.is_empty() || waiting.is_empty());
        }
    }
}
