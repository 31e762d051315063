//! When refused callers are told to come back.

use std::time::Duration;

use hemlocktack_decide::{MAX_CLASSES, RetryAfterPolicy, ShedLevel, retry_after};

const DECLARED: usize = 3;
const CLASS_SPAN: u32 = 1 << 16;

/// Half of the last declared class is shed: a passing squeeze. A caller that was
/// told ten seconds, because the levels also count the classes that nobody
/// declared, would stay away long after it has passed.
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
