//! Every kind of finding; all findings of a document are reported together.
#![allow(clippy::unwrap_used)]

use std::fmt::Write;

use hemlocktack_config::{DOCUMENT_LIMIT_BYTES, parse};

fn report(text: &str) -> String {
    let mut report = String::new();
    for finding in parse(text).unwrap_err().findings {
        let place = match finding.place.as_str() {
            "" => "(document)",
            place => place,
        };
        writeln!(
            report,
            "{}: line {}: {}",
            place, finding.line, finding.label
        )
        .unwrap();
        writeln!(report, "    {}", finding.help).unwrap();
    }
    report
}

#[test]
fn everything_wrong_is_reported_at_once() {
    insta::assert_snapshot!(report(include_str!("documents/all_wrong.toml")));
}

#[test]
fn wrong_types_do_not_hide_later_findings() {
    insta::assert_snapshot!(report(include_str!("documents/wrong_types.toml")));
}

#[test]
fn an_empty_document_lacks_every_list() {
    insta::assert_snapshot!(report(""));
}

#[test]
fn syntax_errors_are_reported_together_and_alone() {
    insta::assert_snapshot!(report(
        "classes = [\n[[services]\nname = 'open\nname = 1 2\n"
    ));
}

/// Guards against a drain limit shorter than a declared caller's patience: a planned stop would cut
/// off that caller's calls, and it would see unknown outcomes. Such a document is rejected.
#[test]
fn a_drain_shorter_than_the_longest_patience_is_a_finding() {
    let text = include_str!("../../../docs/examples/bhadralok.toml");
    insta::assert_snapshot!(report(&text.replace("15_000", "30_001")));
}

#[test]
fn lists_that_are_too_long_are_findings() {
    let mut text = include_str!("../../../docs/examples/bhadralok.toml").to_owned();
    for number in 0..14 {
        write!(text, "\n[[classes]]\nname = \"extra-{number}\"\n").unwrap();
    }
    insta::assert_snapshot!(report(&text));
}

#[test]
fn a_document_over_the_limit_is_not_read() {
    let text = "#".repeat(DOCUMENT_LIMIT_BYTES + 1);
    insta::assert_snapshot!(report(&text));
}
