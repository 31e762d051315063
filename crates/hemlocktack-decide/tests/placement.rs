//! Placement as one node sees its peers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::{AnswerSizes, PeerLoad, PlacementPolicy, keeps_large_body, place};
use hemlocktack_protocol::{LoadHint, Reason, UpstreamState};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn hint(in_flight: u32) -> LoadHint {
    LoadHint {
        in_flight,
        limit: 40,
        service_time_us: 20_000,
        ..LoadHint::default()
    }
}

/// Returns peers that have just answered with these numbers of calls in flight.
fn peers(loads: &[(bool, u32)], now: Instant) -> Vec<Arc<PeerLoad>> {
    let peer = |&(is_local, in_flight): &(bool, u32)| {
        let peer = PeerLoad::new(is_local, UpstreamState::Ready, now);
        peer.sent(now);
        peer.answered(&hint(in_flight), now);
        Arc::new(peer)
    };
    loads.iter().map(peer).collect()
}

/// Returns how many of a hundred calls go to each peer if none is answered.
fn shares(peers: &[Arc<PeerLoad>], now: Instant) -> Vec<u32> {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut counts = vec![0; peers.len()];
    for _ in 0..100 {
        let index = place(
            peers,
            |_| true,
            None,
            now,
            &PlacementPolicy::default(),
            &mut rng,
        )
        .unwrap();
        counts[index] += 1;
    }
    counts
}

#[test]
fn the_local_data_centre_is_preferred_until_nearly_full() {
    let now = Instant::now();
    assert_eq!(
        shares(&peers(&[(true, 10), (false, 0)], now), now),
        [100, 0]
    );
    assert_eq!(
        shares(&peers(&[(true, 60), (false, 0)], now), now),
        [0, 100]
    );
}

/// A broken upstream answers each call with an immediate error and so always looks idle. It must
/// not attract the calls of the others.
#[test]
fn fast_failures_do_not_attract_calls() {
    let now = Instant::now();
    let peers = peers(&[(true, 0), (true, 25)], now);
    for _ in 0..8 {
        peers[0].sent(now);
        peers[0].failed(now);
    }
    let later = now + Duration::from_secs(1);
    assert_eq!(shares(&peers, later), [0, 100]);
}

#[test]
fn absent_draining_and_refusing_peers_are_avoided() {
    let now = Instant::now();
    let peers = peers(&[(true, 0), (true, 0), (true, 0)], now);
    peers[0].set_state(UpstreamState::Draining);
    peers[1].sent(now);
    peers[1].refused(Reason::NoUpstream, None, now);
    assert_eq!(shares(&peers, now), [0, 0, 100]);
    peers[2].set_state(UpstreamState::Absent);
    assert_eq!(shares(&peers, now), [0, 100, 0], "the last resort");
}

/// A node hangs while its link stays open. New calls go elsewhere as soon as its silence is
/// abnormal. Calls that wait there are given up only once membership suspects it too: an idle
/// peer may run one long call, which would then run twice.
#[test]
fn a_silent_peer_is_avoided_and_lost_only_when_suspected() {
    let now = Instant::now();
    let peers = peers(&[(true, 0), (true, 30)], now);
    peers[0].sent(now);
    let later = now + peers[0].silence_timeout();
    assert_eq!(shares(&peers, later), [0, 100]);
    assert!(!peers[0].is_lost(later));
    peers[0].set_suspected(true);
    assert!(peers[0].is_lost(later));
    peers[0].answered(&hint(0), later);
    assert!(!peers[0].is_lost(later));
}

/// Two local machines are old and take three times as long as those of another data centre.
/// Callers would be refused because of their latency while the faster ones have spare capacity.
#[test]
fn a_fast_remote_upstream_is_preferred_to_a_slow_local_one() {
    let now = Instant::now();
    let peers = peers(&[(true, 10), (true, 10), (false, 10)], now);
    for slow in &peers[..2] {
        let hint = LoadHint {
            service_time_us: 60_000,
            ..hint(10)
        };
        slow.sent(now);
        slow.answered(&hint, now);
    }
    let shares = shares(&peers, now);
    assert!(shares[2] > 50, "{shares:?}");
}

/// A peer lost power. Each call sent to it waits in vain, so it is tried less and less often
/// while it fails, and normally again once it has answered.
#[test]
fn a_peer_that_keeps_failing_is_tried_less_often() {
    let start = Instant::now();
    let peers = peers(&[(true, 0), (false, 0)], start);
    let policy = PlacementPolicy::default();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut tried_ms = Vec::new();
    for now_ms in (0..8_000).step_by(10) {
        let now = start + Duration::from_millis(now_ms);
        if place(&peers, |_| true, None, now, &policy, &mut rng) == Some(0) {
            tried_ms.push(now_ms);
            // Two calls fail because of the same fault.
            for _ in 0..2 {
                peers[0].sent(now);
                peers[0].failed(now);
            }
        }
    }
    assert_eq!(tried_ms, [0, 500, 1_500, 3_500, 5_500, 7_500]);
    let back = start + Duration::from_millis(9_500);
    peers[0].sent(back);
    peers[0].answered(&hint(0), back);
    peers[0].sent(back);
    peers[0].failed(back);
    let soon = back + Duration::from_millis(510);
    assert!(shares(&peers, soon)[0] > 0);
}

/// A local node has resumed after being suspended, and the latency of its last calls counts
/// against it. Without further calls it could never show that it has recovered.
#[test]
fn an_idle_local_peer_is_tried_however_slow_it_was() {
    let now = Instant::now();
    let peers = peers(&[(true, 0), (false, 10)], now);
    let slow = LoadHint {
        service_time_us: 900_000,
        ..hint(0)
    };
    peers[0].sent(now);
    peers[0].answered(&slow, now);
    assert!(shares(&peers, now)[0] > 0);
}

/// A call three hops down takes 31 ms on the machine of this data centre and 14 ms in another
/// one, and both have spare capacity. A lookup with an objective of 1.2 s makes four such calls;
/// 17 ms less for each does not matter to its caller, and the fast machine would attract the
/// calls of all data centres. A cancellation with an objective of a quarter of a second goes to
/// the fast one.
#[test]
fn a_slower_local_upstream_is_preferred_if_fast_enough() {
    let now = Instant::now();
    let peers = peers(&[(true, 20), (false, 20)], now);
    for (peer, service_time_us) in peers.iter().zip([31_000, 14_000]) {
        let hint = LoadHint {
            service_time_us,
            ..hint(20)
        };
        peer.sent(now);
        peer.answered(&hint, now);
    }
    let placed = |wanted_ms| {
        let wanted = Some(Duration::from_millis(wanted_ms));
        let policy = PlacementPolicy::default();
        let mut rng = SmallRng::seed_from_u64(3);
        place(&peers, |_| true, wanted, now, &policy, &mut rng)
    };
    assert_eq!(placed(1_200), Some(0));
    assert_eq!(placed(250), Some(1));
}

/// Both upstreams of a data centre reject half of their calls for a while and then recover. The
/// first that answers a few calls must not attract all of them: the other one would get no calls
/// to show that it has recovered.
#[test]
fn failures_decay_after_a_fault_of_all_upstreams() {
    let now = Instant::now();
    let peers = peers(&[(true, 10), (true, 10)], now);
    for peer in &peers {
        for _ in 0..16 {
            peer.sent(now);
            peer.refused(Reason::UpstreamShed, Some(&hint(10)), now);
        }
    }
    for _ in 0..64 {
        peers[0].sent(now);
        peers[0].answered(&hint(10), now);
    }
    assert_eq!(shares(&peers, now), [100, 0]);
    let later = now + Duration::from_secs(2);
    for peer in &peers {
        peer.sent(later);
        peer.answered(&hint(10), later);
    }
    let shares = shares(&peers, later + Duration::from_millis(1));
    assert!(shares[1] >= 40, "{shares:?}");
}

/// A service deep in the chain is slow for a while, and its callers abandon hundreds of calls to
/// the local machine at their deadline. Once it has recovered, all its slots are free. If
/// abandoned calls stayed counted, every later call would go to another data centre permanently.
#[test]
fn abandoned_calls_do_not_make_a_peer_look_full() {
    let now = Instant::now();
    let peers = peers(&[(true, 0), (false, 30)], now);
    for _ in 0..200 {
        peers[0].sent(now);
        peers[0].abandoned();
    }
    assert_eq!(shares(&peers, now), [100, 0]);
}

/// The local upstream of a service with many slots rejects half of its calls for seconds while
/// its health check succeeds. It is always nearly idle and would be preferred for every call. It
/// still has to be tried occasionally, or it could never show that it has recovered.
#[test]
fn an_idle_local_upstream_that_rejects_calls_is_tried_rarely() {
    let start = Instant::now();
    let peers = peers(&[(true, 0), (false, 10)], start);
    let policy = PlacementPolicy::default();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut tried = 0;
    for step in 0..5_000 {
        let now = start + Duration::from_millis(step);
        let index = place(&peers, |_| true, None, now, &policy, &mut rng).unwrap();
        peers[index].sent(now);
        if index == 1 {
            peers[1].answered(&hint(10), now);
            continue;
        }
        tried += 1;
        match step % 2 {
            0 => peers[0].refused(Reason::UpstreamShed, Some(&hint(0)), now),
            _ => peers[0].answered(&hint(0), now),
        }
    }
    assert!((10..500).contains(&tried), "{tried} of 5000");
}

/// All upstreams are nearly full, and the local one has a queue. A local queue is no reason to
/// wait, or to be refused, beside a free slot in another data centre.
#[test]
fn a_free_slot_elsewhere_is_preferred_to_a_local_queue() {
    let now = Instant::now();
    assert_eq!(
        shares(&peers(&[(true, 44), (false, 35)], now), now),
        [0, 100]
    );
    assert_eq!(
        shares(&peers(&[(true, 35), (false, 35)], now), now),
        [100, 0]
    );
}

/// Bytes between data centres cost money. Large answers come from the local upstream while it has
/// a free slot, and from elsewhere once it would queue; small ones spill over at the usual load.
#[test]
fn large_answers_stay_near_until_calls_would_queue() {
    let now = Instant::now();
    let choose = |local_load: u32, bytes: f64| {
        let peers = peers(&[(true, local_load), (false, 10)], now);
        let policy = PlacementPolicy::default().for_answers_of(bytes);
        let mut rng = SmallRng::seed_from_u64(3);
        place(&peers, |_| true, None, now, &policy, &mut rng)
    };
    let (small, large) = (200.0, 100_000.0);
    assert_eq!([choose(31, small), choose(31, large)], [Some(0), Some(0)]);
    assert_eq!([choose(36, small), choose(36, large)], [Some(1), Some(0)]);
    assert_eq!([choose(39, small), choose(39, large)], [Some(1), Some(1)]);
}

/// The learnt size is bounded whatever the answers are, and a size that is unknown or zero changes
/// nothing.
#[test]
fn the_size_of_answers_is_learnt_by_kind_and_bounded() {
    let usual = PlacementPolicy::default();
    let sizes = AnswerSizes::default();
    let unknown = usual.for_answers_of(sizes.mean_bytes(7));
    assert_eq!(unknown.remote_cost, usual.remote_cost);
    assert_eq!(unknown.local_spill_over_load, usual.spill_over_load);
    for _ in 0..200 {
        sizes.record(7, 50_000);
        sizes.record(8, 0);
    }
    assert!((49_000.0..51_000.0).contains(&sizes.mean_bytes(7)));
    assert!(sizes.mean_bytes(8) < 1.0);
    for _ in 0..200 {
        sizes.record(7, usize::MAX);
    }
    let huge = usual.for_answers_of(sizes.mean_bytes(7));
    assert_eq!(huge.remote_cost, usual.remote_cost + usual.max_size_cost);
    assert!(huge.local_spill_over_load < 1.0);
    for _ in 0..1_000 {
        sizes.record(7, 1_000);
    }
    assert!(sizes.mean_bytes(7) < 2_000.0);
}

/// Failure: a large body is held by two nodes although its entry node's own upstream has room, or
/// waits for that upstream although another one has room.
#[test]
fn a_large_body_stays_while_the_own_upstream_has_a_free_slot() {
    let now = Instant::now();
    let own = peers(&[(true, 10), (true, 60)], now);
    let policy = PlacementPolicy::default();
    let stays = |own: &PeerLoad| keeps_large_body(own, now, &policy);
    assert_eq!([stays(&own[0]), stays(&own[1])], [true, false]);
    own[0].set_state(UpstreamState::Draining);
    assert!(!stays(&own[0]));
}
