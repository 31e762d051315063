//! What a node and its peers make of the slowness that an upstream reports, and what happens when
//! the reports fail.
#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_decide::{
    Admission, AdmissionDecision, AdmissionPolicy, OfferedCall, PeerLoad, PlacementPolicy,
    RunResult, ShedLevel, UpstreamStart, place,
};
use hemlocktack_protocol::{LoadHint, LoadReport, UpstreamState};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::first_attempt;

const SLOTS: u32 = 8;
const WORK: Duration = Duration::from_millis(20);
const START: u64 = 1;
const REPORT_LIFETIME: Duration = Duration::from_millis(300);

fn start(number: u64) -> UpstreamStart {
    UpstreamStart {
        id: format!("i-{number}").as_str().into(),
        started_unix_ms: None,
        number,
    }
}

fn admission(now: Instant) -> Admission {
    let mut admission = Admission::new(AdmissionPolicy::default(), now);
    admission.set_upstream_start(start(START));
    admission.announced(SLOTS, SLOTS * 8, false, now);
    admission
}

fn report(percent: u32) -> LoadReport {
    LoadReport {
        running: SLOTS,
        waiting: 0,
        slots: Some(SLOTS),
        slowness_percent: Some(percent),
    }
}

fn hint(admission: &Admission, now: Instant) -> LoadHint {
    admission.hint(ShedLevel::OPEN, now)
}

/// Keeps all slots busy for this time. Each call takes as long as `slowness` says, and its answer
/// carries the report that `reported` returns, in per cent, both given the time since the epoch.
fn run(
    admission: &mut Admission,
    epoch: Instant,
    from_ms: u64,
    to_ms: u64,
    slowness: impl Fn(u64) -> f64,
    reported: impl Fn(u64) -> Option<u32>,
) {
    let at = |ms: u64| epoch + Duration::from_millis(ms);
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut next_call = from_ms * 1_000;
    for now_ms in from_ms..to_ms {
        running.retain(|&(call_id, end_ms)| {
            if end_ms > now_ms {
                return true;
            }
            if let Some(percent) = reported(now_ms) {
                admission.hear_load(&report(percent), START, at(now_ms));
            }
            admission.finish(call_id, RunResult::Answered, Duration::ZERO, at(now_ms));
            false
        });
        while running.len() < SLOTS as usize {
            next_call += 1;
            let offer = first_attempt(next_call, 0, at(now_ms + 5_000));
            if admission.offer(&offer, at(now_ms)) != AdmissionDecision::Run {
                admission.cancel(next_call);
                break;
            }
            // Run times vary between half and one and a half of the mean.
            let share = 0.5 + (next_call * 7 % 11) as f64 / 10.0;
            let run_ms = WORK.as_millis() as f64 * share * slowness(now_ms);
            running.push((next_call, now_ms + run_ms.round() as u64));
        }
    }
    for (call_id, _) in running {
        admission.finish(call_id, RunResult::Cancelled, Duration::ZERO, at(to_ms));
    }
}

fn is_burst(now_ms: u64) -> bool {
    (4_000..4_600).contains(&now_ms)
}

/// Other work on the machine makes each call take 2.5 times as long for 0.6 s. Learnt from the
/// times alone, the baseline would rise and the limit would be cut on trial, for an upstream that
/// is as fast as ever a moment later.
#[test]
fn a_burst_of_slowness_changes_neither_the_estimate_nor_the_limit() {
    let epoch = Instant::now();
    let mut admission = admission(epoch);
    let slowness = |now_ms| if is_burst(now_ms) { 2.5 } else { 1.0 };
    let reported = |now_ms| Some(if is_burst(now_ms) { 250 } else { 100 });
    run(&mut admission, epoch, 0, 4_000, slowness, reported);
    let before = hint(&admission, epoch + Duration::from_secs(4));
    run(&mut admission, epoch, 4_000, 4_500, slowness, reported);
    let during = hint(&admission, epoch + Duration::from_millis(4_500));
    assert_eq!(
        (before.slowness_percent, during.slowness_percent),
        (100, 250)
    );
    let change = during.service_time_us as f64 / before.service_time_us as f64;
    assert!((0.85..1.15).contains(&change), "{before:?} {during:?}");
    assert_eq!(during.limit, SLOTS);
    run(&mut admission, epoch, 4_500, 5_000, slowness, reported);
    let after = hint(&admission, epoch + Duration::from_secs(5));
    assert_eq!((after.slowness_percent, after.limit), (100, SLOTS));
}

/// The upstream stops sending reports, or its node was paused and resumes with the last one: the
/// report ends by its age, in the node and in what the peers know.
#[test]
fn a_report_ends_by_its_age() {
    let now = Instant::now();
    let mut admission = admission(now);
    run(&mut admission, now, 0, 1_000, |_| 1.0, |_| Some(250));
    let heard = now + Duration::from_secs(1);
    admission.hear_load(&report(250), START, heard);
    assert_eq!(admission.present_slowness(heard), Some(2.5));
    let nearly = heard + REPORT_LIFETIME - Duration::from_millis(1);
    assert_eq!(hint(&admission, nearly).slowness_percent, 250);
    for later in [REPORT_LIFETIME, Duration::from_secs(3600)] {
        assert_eq!(admission.present_slowness(heard + later), None);
        assert_eq!(hint(&admission, heard + later).slowness_percent, 0);
    }
}

/// A hint carries the age of its report, so that a peer does not keep it for longer than the node
/// of the upstream.
#[test]
fn a_peer_avoids_a_slow_upstream_until_its_report_ends() {
    let now = Instant::now();
    let peers = peers(now);
    let slow = LoadHint {
        slowness_percent: 250,
        slowness_age_us: 100_000,
        ..quick_hint()
    };
    answer(&peers[0], &slow, now);
    assert!(share_of_first(&peers, now) < 5);
    let ended = now + Duration::from_millis(201);
    assert!(share_of_first(&peers, ended) > 30);
    answer(&peers[0], &slow, ended);
    assert!(share_of_first(&peers, ended) < 5);
    for peer in &peers {
        answer(peer, &quick_hint(), ended);
    }
    assert!(share_of_first(&peers, ended) > 30, "as usual again");
}

/// An upstream that reports itself idle and fast and answers nothing gets more calls than others
/// at first. It must not do so for longer than one that reports nothing.
#[test]
fn an_upstream_that_reports_itself_fast_and_answers_nothing_is_avoided() {
    let now = Instant::now();
    let peers = peers(now);
    let fast = LoadHint {
        slowness_percent: 1,
        ..quick_hint()
    };
    answer(&peers[0], &fast, now);
    let silent_from = now + Duration::from_millis(1);
    for _ in 0..3 {
        peers[0].sent(silent_from);
    }
    let silence = peers[0].silence_timeout() / 2;
    let later = silent_from + silence;
    answer(&peers[1], &quick_hint(), later);
    assert_eq!(silence, Duration::from_millis(250));
    assert_eq!(share_of_first(&peers, later), 0);
}

/// A late answer of an earlier start carries the report of a machine that no longer matters.
#[test]
fn a_replaced_upstream_does_not_inherit_reports() {
    let now = Instant::now();
    let mut admission = admission(now);
    admission.hear_load(&report(400), START, now);
    assert_eq!(admission.present_slowness(now), Some(4.0));
    assert_eq!(admission.reported_slots(), Some(SLOTS));
    admission.set_upstream_start(start(START + 1));
    assert_eq!(admission.present_slowness(now), None);
    assert_eq!(admission.reported_slots(), None);
    admission.hear_load(&report(400), START, now);
    assert_eq!(admission.present_slowness(now), None);
    admission.hear_load(&report(120), START + 1, now);
    assert_eq!(admission.present_slowness(now), Some(1.2));
}

/// A report that jumps between the bounds every 10 ms says nothing about calls of 20 ms. Estimates
/// and the limit stay as without reports.
#[test]
fn a_report_that_jumps_skews_no_estimate() {
    let epoch = Instant::now();
    let mut admission = admission(epoch);
    let jumping = |now_ms: u64| {
        Some(if (now_ms / 10).is_multiple_of(2) {
            50
        } else {
            400
        })
    };
    run(&mut admission, epoch, 0, 10_000, |_| 1.0, jumping);
    let hint = hint(&admission, epoch + Duration::from_secs(10));
    assert_eq!(hint.slowness_percent, 0, "{hint:?}");
    assert!((18_000..22_000).contains(&hint.service_time_us), "{hint:?}");
    assert_eq!(hint.limit, SLOTS);
}

/// An upstream reports slow periods that its times do not show. Its reports are ignored after some
/// seconds, and count again once they are right.
#[test]
fn reports_that_times_do_not_follow_are_ignored() {
    let epoch = Instant::now();
    let at = |ms| epoch + Duration::from_millis(ms);
    let mut admission = admission(epoch);
    let is_slow = |now_ms: u64| now_ms % 2_000 < 600;
    let reported = |now_ms| Some(if is_slow(now_ms) { 250 } else { 100 });
    run(&mut admission, epoch, 0, 6_000, |_| 1.0, reported);
    assert_eq!(admission.present_slowness(at(6_000)), None);
    let service_time_us = hint(&admission, at(6_000)).service_time_us;
    assert!((18_000..22_000).contains(&service_time_us));
    let slowness = |now_ms| if is_slow(now_ms) { 2.5 } else { 1.0 };
    run(&mut admission, epoch, 6_000, 40_400, slowness, reported);
    assert_eq!(hint(&admission, at(40_400)).slowness_percent, 250);
}

/// A node runs for a year, and calls end within nanoseconds of their start. Rounding errors of the
/// sums kept since the start make the share of such a run zero; taken as it is, its inverse would end
/// the comparison of reports with times for good.
#[test]
fn reports_are_checked_after_short_calls_and_a_long_time() {
    let mut now = Instant::now();
    let mut admission = admission(now);
    for call_id in 0..4_000 {
        let percent = [50, 400, 130, 77][call_id as usize % 4];
        admission.hear_load(&report(percent), START, now);
        let offer = OfferedCall {
            kind: 2,
            ..first_attempt(call_id, 0, now + Duration::from_secs(5))
        };
        assert_eq!(admission.offer(&offer, now), AdmissionDecision::Run);
        now += Duration::from_nanos(call_id % 5);
        admission.hear_load(&report(percent), START, now);
        admission.finish(call_id, RunResult::Answered, Duration::ZERO, now);
        let pause = [8_000_000_000, 1, 6_000_000, 300_000_000][call_id as usize % 4];
        now += Duration::from_millis(8_000 * (call_id % 3)) + Duration::from_micros(pause / 1_000);
        now += Duration::from_secs(u64::from(call_id % 1_000 == 7) * 8_000_000);
    }
    let reported = |now_ms: u64| Some(if now_ms % 2_000 < 600 { 250 } else { 100 });
    run(&mut admission, now, 10_000, 30_000, |_| 1.0, reported);
    let end = now + Duration::from_secs(30);
    assert_eq!(admission.present_slowness(end), None);
}

/// Answers are read out of order: one with an earlier report does not replace a later one.
#[test]
fn an_earlier_report_does_not_replace_a_later_one() {
    let now = Instant::now();
    let mut admission = admission(now);
    let later = now + Duration::from_millis(5);
    admission.hear_load(&report(250), START, later);
    admission.hear_load(&report(100), START, now);
    assert_eq!(admission.present_slowness(later), Some(2.5));
}

fn quick_hint() -> LoadHint {
    LoadHint {
        in_flight: 10,
        limit: 40,
        service_time_us: 20_000,
        ..LoadHint::default()
    }
}

fn peers(now: Instant) -> [Arc<PeerLoad>; 2] {
    [(); 2].map(|()| {
        let peer = Arc::new(PeerLoad::new(true, UpstreamState::Ready, now));
        answer(&peer, &quick_hint(), now);
        peer
    })
}

fn answer(peer: &PeerLoad, hint: &LoadHint, now: Instant) {
    peer.sent(now);
    peer.answered(hint, now);
}

/// Returns how many of a hundred calls go to the first peer if each is answered.
fn share_of_first(peers: &[Arc<PeerLoad>; 2], now: Instant) -> u32 {
    let mut rng = SmallRng::seed_from_u64(3);
    let policy = PlacementPolicy::default();
    let mut choose = || place(peers, |_| true, None, now, &policy, &mut rng).unwrap();
    (0..100).map(|_| u32::from(choose() == 0)).sum()
}
