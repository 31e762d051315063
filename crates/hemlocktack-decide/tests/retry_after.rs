//! Retry-After of refusals.

use std::time::Duration;

use hemlocktack_decide::{MAX_CLASSES, RetryAfterPolicy, ShedLevel, retry_after};

const DECLARED: usize = 3;
const CLASS_SPAN: u32 = 1 << 16;

/// Half of the last declared class is shed, a brief overload. If the undeclared classes counted
/// as shed too, a caller would be told to wait ten seconds and stay away long after the
/// overload.
#[test]
fn only_declared_classes_count_as_pressure() {
    let undeclared = (MAX_CLASSES - DECLARED) as u32 * CLASS_SPAN;
    let level = ShedLevel::unpack(undeclared + CLASS_SPAN / 2);
    let classes_shed = level.classes_shed(DECLARED);
    assert!((classes_shed - 0.5).abs() < 0.001, "{classes_shed}");
    let policy = RetryAfterPolicy::default();
    for random in [0, u64::MAX / 2, u64::MAX] {
        let wait = retry_after(classes_shed, random, &policy);
        assert!(wait < Duration::from_millis(1_500), "{wait:?}");
    }
}

#[test]
fn an_open_level_sheds_nothing() {
    let classes_shed = ShedLevel::OPEN.classes_shed(DECLARED);
    assert!(classes_shed.abs() < f64::EPSILON);
}
