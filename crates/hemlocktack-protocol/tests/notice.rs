//! Reading of rate limits and departures.

use hemlocktack_protocol::{Statement, read_departure, read_rate_limit};
use proptest::prelude::*;

fn rate_limit(values: &[&str]) -> Statement<f64> {
    read_rate_limit(values.iter().map(|value| value.as_bytes()))
}

#[test]
fn a_rate_limit_is_one_positive_decimal_number() {
    for (value, per_s) in [("6.4", 6.4), ("12", 12.0), (" 0.5 ", 0.5), ("007", 7.0)] {
        assert_eq!(rate_limit(&[value]), Statement::Said(per_s));
    }
    assert_eq!(rate_limit(&[]), Statement::Absent);
    let long = "1".repeat(40);
    for value in [
        "", " ", "0", "0.0", "-1", "+1", ".", "1.2.3", "1e3", "inf", "nan", "6,4", "0x10", "six",
        &long,
    ] {
        let read = rate_limit(&[value]);
        assert!(
            matches!(read, Statement::Malformed(_)),
            "{value:?}: {read:?}"
        );
    }
    assert_eq!(
        rate_limit(&["6.4", "6.4"]),
        Statement::Malformed("6.4, 6.4".to_owned())
    );
}

#[test]
fn a_departure_is_a_one() {
    let departure = |values: &[&str]| read_departure(values.iter().map(|value| value.as_bytes()));
    assert_eq!(departure(&[]), Statement::Absent);
    assert_eq!(departure(&["1"]), Statement::Said(()));
    assert_eq!(departure(&["1", " 1 "]), Statement::Said(()));
    for values in [&["0"][..], &[""], &["yes"], &["1", "0"]] {
        assert!(matches!(departure(values), Statement::Malformed(_)));
    }
}

proptest! {
    /// No header value is fatal or gives a limit that is not positive and finite.
    #[test]
    fn any_bytes_are_read(values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 0..3)) {
        let read = read_rate_limit(values.iter().map(Vec::as_slice));
        if let Statement::Said(per_s) = read {
            prop_assert!(per_s > 0.0 && per_s.is_finite());
        }
        read_departure(values.iter().map(Vec::as_slice));
    }
}
