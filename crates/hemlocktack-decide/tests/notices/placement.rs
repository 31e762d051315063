//! What entries do with a rate limit of an upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    CallSends, MoveCounter, NextStep, NoticeBook, PeerLoad, PlacementPolicy, RetryDecision, place,
};
use hemlocktack_protocol::{
    CallFailure, LoadHint, NodeId, Reason, Refusal, UpstreamNotice, UpstreamState,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const RATE_WAIT: Duration = Duration::from_millis(400);

fn hint(rate_wait: Duration) -> LoadHint {
    LoadHint {
        limit: 8,
        service_time_us: 1_000,
        rate_wait_us: rate_wait.as_micros() as u64,
        ..LoadHint::default()
    }
}

fn peers(count: usize, now: Instant) -> Vec<Arc<PeerLoad>> {
    let peer = || Arc::new(PeerLoad::new(true, UpstreamState::Ready, now));
    std::iter::repeat_with(peer).take(count).collect()
}

fn chosen(peers: &[Arc<PeerLoad>], now: Instant) -> Vec<usize> {
    let mut random = SmallRng::seed_from_u64(1);
    let policy = PlacementPolicy::default();
    let place = |_| place(peers, |_| true, None, now, &policy, &mut random);
    (0..50).filter_map(place).collect()
}

/// Failure: entries go on choosing an upstream that has named a limit, and its limit turns into
/// refusals while other upstreams of the service have room.
#[test]
fn calls_go_to_upstreams_without_a_limit_until_a_token_is_expected() {
    let now = Instant::now();
    let peers = peers(3, now);
    peers[1].sent(now);
    peers[1].refused(Reason::UpstreamRateLimited, Some(&hint(RATE_WAIT)), now);
    assert!(!chosen(&peers, now).contains(&1));
    let after = now + RATE_WAIT;
    assert!(chosen(&peers, after).contains(&1));
}

/// A full upstream queues a call, one without tokens refuses it.
#[test]
fn an_upstream_that_is_only_full_is_preferred() {
    let now = Instant::now();
    let peers = peers(2, now);
    for peer in &peers {
        peer.sent(now);
    }
    peers[0].refused(Reason::UpstreamRateLimited, Some(&hint(RATE_WAIT)), now);
    peers[1].refused(Reason::QueueFull, Some(&hint(Duration::ZERO)), now);
    assert!(chosen(&peers, now).iter().all(|index| *index == 1));
}

#[test]
fn a_limit_that_has_ended_is_forgotten_with_the_next_answer() {
    let now = Instant::now();
    let peers = peers(2, now);
    for rate_wait in [RATE_WAIT, Duration::ZERO] {
        peers[0].sent(now);
        peers[0].answered(&hint(rate_wait), now);
    }
    assert!(chosen(&peers, now).contains(&0));
}

#[test]
fn a_call_moves_away_from_up_to_three_upstreams_without_tokens() {
    let refusal = Refusal {
        reason: Reason::UpstreamRateLimited,
        retry_after: None,
    };
    let mut moves = MoveCounter::default();
    let moved: Vec<bool> = (0..4).map(|_| moves.try_move(&refusal)).collect();
    assert_eq!(moved, [true, true, true, false]);
    let mut sends = CallSends::new(1);
    let failure = CallFailure::NotRun(refusal);
    sends.send_ended(0, &failure);
    let next = sends.next_step(&failure, true, || RetryDecision::PassUp);
    assert_eq!(next, NextStep::Moved);
}

fn notice(node_incarnation: u64, revision: u64, rate_limit_per_s: f64) -> UpstreamNotice {
    UpstreamNotice {
        rate_limit_per_s,
        node_incarnation,
        revision,
        ..UpstreamNotice::default()
    }
}

/// A late answer of a node, or of its earlier process, replaces nothing that was said after it.
#[test]
fn an_entry_keeps_the_newest_notice() {
    let node: NodeId = "beside".into();
    let mut book = NoticeBook::default();
    let steps = [
        (notice(1, 2, 5.0), Some(5.0)),
        (notice(1, 1, 9.0), Some(5.0)),
        (notice(1, 3, 0.0), None),
        (notice(1, 2, 5.0), None),
        (notice(2, 1, 7.0), Some(7.0)),
        (notice(1, 9, 5.0), Some(7.0)),
    ];
    for (step, (said, expected)) in steps.iter().enumerate() {
        book.record(&node, said);
        let known = book.notice_for(&node).map(|notice| notice.rate_limit_per_s);
        assert_eq!(known, *expected, "step {step}");
    }
    assert_eq!(book.rate_limit_count(), 1);
    book.retain(|_| false);
    assert_eq!(book.notice_for(&node), None);
}
