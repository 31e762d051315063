//! Reading of load reports.

use hemlocktack_protocol::{LoadReport, Statement, read_load_report};
use proptest::prelude::*;

fn load(values: &[&str]) -> Statement<LoadReport> {
    read_load_report(values.iter().map(|value| value.as_bytes()))
}

fn report(slots: Option<u32>, slowness_percent: Option<u32>) -> Statement<LoadReport> {
    Statement::Said(LoadReport {
        running: 3,
        waiting: 1,
        slots,
        slowness_percent,
    })
}

/// Reports with a fourth figure were once read from the end: a slowness of 250 per cent was taken
/// for 250 slots of an upstream that has 78.
#[test]
fn figures_are_read_by_their_position() {
    let cases = [
        ("3,1,78", report(Some(78), None)),
        (" 3 , 1 ,78 ", report(Some(78), None)),
        ("3,1,78,250", report(Some(78), Some(250))),
        ("3,1,78,100,9", report(Some(78), Some(100))),
        ("3,1,78,100,x,,-1", report(Some(78), Some(100))),
        ("3,1,0", report(None, None)),
        ("3,1,0,250", report(None, Some(250))),
        ("3,1,1000000", report(Some(1_000_000), None)),
    ];
    for (value, expected) in cases {
        assert_eq!(load(&[value]), expected, "{value:?}");
    }
    assert_eq!(load(&[]), Statement::Absent);
}

/// An upstream may send anything. Part of a malformed report must not be taken for slots.
#[test]
fn a_malformed_report_is_ignored_as_a_whole() {
    let malformed = [
        "",
        " ",
        "78",
        "3,1",
        "3,1,",
        ",,",
        "3,,78",
        "3;1;78",
        "three,1,78",
        "3,1,x",
        "3,1,78,",
        "3,1,78,0",
        "3,1,78,slow",
        "3,1,78,-100",
        "3,1,78,+100",
        "3,1,78,1e2",
        "3,1,78,100.5",
        "3,1,-78",
        "-3,1,78",
        "3,1,1000001",
        "3,1,78,1000001",
        "3,1,4294967296",
        "3,1,99999999999999999999999999",
        "3,1,78,99999999999999999999999999",
        "0x3,1,78",
        "NaN,inf,78",
    ];
    for value in malformed {
        let read = load(&[value]);
        assert!(
            matches!(read, Statement::Malformed(_)),
            "{value:?}: {read:?}"
        );
    }
    let twice = load(&["3,1,78", "3,1,78"]);
    assert_eq!(twice, Statement::Malformed("3,1,78, 3,1,78".to_owned()));
    let no_text = read_load_report([&b"3,1,\xff"[..]].into_iter());
    assert!(matches!(no_text, Statement::Malformed(_)), "{no_text:?}");
}

proptest! {
    #[test]
    fn any_value_is_read_or_malformed(value in proptest::collection::vec(any::<u8>(), 0..80)) {
        if let Statement::Said(report) = read_load_report([value.as_slice()].into_iter()) {
            prop_assert_ne!(report.slots, Some(0));
            prop_assert_ne!(report.slowness_percent, Some(0));
        }
    }
}
