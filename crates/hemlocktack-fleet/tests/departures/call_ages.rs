//! Ages of calls, from the two clocks of a link.

use std::time::Duration;

use hemlocktack_fleet::calls::CallAges;

const ROUND_TRIP: Duration = Duration::from_millis(2);
const STALL: Duration = Duration::from_millis(1_600);
const CALL_INTERVAL: Duration = Duration::from_millis(100);

fn at(call: u32) -> Duration {
    CALL_INTERVAL * call
}

/// Failure: a receiver that stood still takes what it finds for calls that have just been sent.
#[test]
fn a_call_that_lay_unread_is_old() {
    let mut ages = CallAges::default();
    for call in 1..=500 {
        let age = ages.age(at(call), at(call) + ROUND_TRIP);
        assert!(age <= ROUND_TRIP, "{age:?}");
    }
    let age = ages.age(at(501), at(501) + ROUND_TRIP + STALL);
    assert!(age >= STALL, "{age:?}");
}

/// Failure: the first call of a link is found after a pause and taken for the normal delay.
#[test]
fn the_first_call_of_a_link_can_be_old() {
    let mut ages = CallAges::default();
    let age = ages.age(at(1), at(1) + ROUND_TRIP + STALL);
    assert!(age >= STALL, "{age:?}");
}

/// Failure: two clocks drift apart, and after hours every call looks old.
#[test]
fn drifting_clocks_make_no_call_old() {
    let mut ages = CallAges::default();
    for call in 1..=100_000 {
        let queued_at = at(call);
        let drift = queued_at / 10_000;
        let age = ages.age(queued_at, queued_at + drift + ROUND_TRIP);
        assert!(age < Duration::from_millis(10), "call {call}: {age:?}");
    }
}

/// Failure: the receiver's clock runs slow or was suspended, and the difference is negative.
#[test]
fn a_call_from_a_faster_clock_is_young() {
    let mut ages = CallAges::default();
    assert_eq!(ages.age(at(5), at(1)), Duration::ZERO);
}
