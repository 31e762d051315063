//! Cost of one decision on the request path. Target: 1 microsecond, median.

use std::sync::Arc;
use std::time::{Duration, Instant};

use divan::{Bencher, black_box};
use hemlocktack_decide::{
    Admission, AdmissionPolicy, EdgeRetryBudget, EntryShedPolicy, EntryShedder, OfferedCall,
    PeerLoad, PlacementPolicy, QueueDecision, RetryAllowance, RetryBudget, RetryPolicy,
    RetryPriority, RunResult, ShedLevel, decide_retry, place,
};
use hemlocktack_protocol::{CallFailure, LoadHint, Reason, UpstreamState};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn main() {
    divan::main();
}

const SLOTS: u32 = 140;
const WORK: Duration = Duration::from_millis(50);

fn offer(call_id: u64, now: Instant) -> OfferedCall {
    OfferedCall {
        call_id,
        class_rank: (call_id % 3) as u8,
        deadline: now + Duration::from_secs(3600),
        objective: None,
        has_returned: false,
        root_request_id: call_id,
        work_spent: Duration::ZERO,
        fingerprint: call_id,
        kind: call_id % 4,
    }
}

/// Returns an admission with all slots taken and `queued` calls in its queue.
fn busy(queued: u64, now: Instant) -> Admission {
    let mut policy = AdmissionPolicy::default();
    policy.queue.calls_per_slot = 1000.0;
    let mut admission = Admission::new(policy, now);
    admission.announced(SLOTS, SLOTS * 8, false, now);
    for call_id in 0..u64::from(SLOTS) + queued {
        admission.offer(&offer(call_id, now), now);
    }
    admission
}

/// Offering a call, finishing one and starting the next queued one: the total cost of one call
/// at a full upstream.
#[divan::bench(args = [0, 100, 1000, 10_000])]
fn admission_of_one_call(bencher: Bencher<'_, '_>, queued: u64) {
    let start = Instant::now();
    let mut admission = busy(queued, start);
    let mut call_id = u64::from(SLOTS) + queued;
    let mut running: std::collections::VecDeque<_> = (0..u64::from(SLOTS)).collect();
    let mut decisions = Vec::with_capacity(16);
    let mut now = start + WORK;
    bencher.bench_local(|| {
        now += Duration::from_micros(300);
        call_id += 1;
        let admission_decision = admission.offer(black_box(&offer(call_id, now)), now);
        black_box(admission_decision);
        if let Some(done) = running.pop_front() {
            admission.finish(done, RunResult::Answered, Duration::ZERO, now);
        }
        admission.take_decisions(now, &mut decisions);
        for decision in decisions.drain(..) {
            if let QueueDecision::Run(call_id) = decision {
                running.push_back(call_id);
            }
        }
    });
}

#[divan::bench]
fn hint(bencher: Bencher<'_, '_>) {
    let now = Instant::now();
    let admission = busy(100, now);
    bencher.bench_local(|| black_box(admission.hint(ShedLevel::OPEN, now)));
}

/// Number of upstreams of a service: the largest in use, and a subset at the target scale.
#[divan::bench(args = [6, 16])]
fn placement(bencher: Bencher<'_, '_>, upstreams: usize) {
    let now = Instant::now();
    let hint = LoadHint {
        in_flight: 40,
        limit: 90,
        service_time_us: 80_000,
        ..LoadHint::default()
    };
    let peer = |index| {
        let peer = PeerLoad::new(index % 3 == 0, UpstreamState::Ready, now);
        peer.sent(now);
        peer.answered(&hint, now);
        Arc::new(peer)
    };
    let peers: Vec<_> = (0..upstreams).map(peer).collect();
    let policy = PlacementPolicy::default();
    let mut rng = SmallRng::seed_from_u64(1);
    bencher.bench_local(|| place(black_box(&peers), |_| true, None, now, &policy, &mut rng));
}

#[divan::bench(args = [6, 16])]
fn shedder(bencher: Bencher<'_, '_>, upstreams: usize) {
    let now = Instant::now();
    let mut shedder = EntryShedder::new(EntryShedPolicy::default(), upstreams);
    let hint = LoadHint {
        shed_level: 3 << 16,
        ..LoadHint::default()
    };
    for upstream in 0..upstreams {
        shedder.learn(upstream, 1, &hint, now);
    }
    let mut root = 0;
    bencher.bench_local(|| {
        root += 1;
        shedder.admits(1, 13, black_box(root), false, now)
    });
}

#[divan::bench]
fn retry(bencher: Bencher<'_, '_>) {
    let allowance = RetryAllowance::new(u32::MAX);
    let edge = EdgeRetryBudget::new(RetryPolicy::default(), Instant::now());
    let unfinished = CallFailure::Unknown(Reason::UpstreamFailed);
    bencher.bench_local(|| {
        edge.record_first_attempt(Instant::now());
        decide_retry(
            black_box(&unfinished),
            true,
            Duration::from_secs(1),
            WORK,
            &RetryBudget {
                allowance: &allowance,
                edge: &edge,
                priority: RetryPriority::HIGHEST,
            },
            Instant::now(),
        )
    });
}
