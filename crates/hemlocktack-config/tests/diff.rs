//! Differences between documents and their text.
#![allow(clippy::unwrap_used)]

use hemlocktack_config::{Document, diff, parse};

const BHADRALOK: &str = include_str!("../../../docs/examples/bhadralok.toml");

fn report(old: &Document, new: &Document) -> String {
    let lines = diff(old, new).into_iter().map(|change| {
        let kind = <&'static str>::from(&change);
        format!("{kind}: {change}")
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn each_kind_of_change_is_reported() {
    let old = parse(BHADRALOK).unwrap();
    let mut new = old.clone();
    new.limits.retry_share_percent = 5;
    new.classes.swap(0, 1);
    new.classes[2].name = "pages".to_owned();
    new.caller_kinds.remove(0);
    new.caller_kinds[0].patience_ms = 9_000;
    new.caller_kinds.push(old.caller_kinds[0].clone());
    new.caller_kinds[2].name = "visitor".to_owned();
    new.services.remove(3);
    new.services[0].name = "catalogue".to_owned();
    new.services[1].requests[0].idempotent = true;
    new.services[2].queue_limit_calls = 10;
    new.services[2].requests.swap(0, 1);
    new.services[2].requests[0].path_prefix = "/slots".to_owned();
    insta::assert_snapshot!(report(&old, &new));
}

#[test]
fn rules_in_another_order_are_a_change() {
    let old = parse(BHADRALOK).unwrap();
    let mut new = old.clone();
    new.services[2].requests.swap(0, 1);
    assert_eq!(
        report(&old, &new),
        "rules-reordered: service diaries: rules reordered"
    );
}

#[test]
fn equal_documents_have_no_difference() {
    let document = parse(BHADRALOK).unwrap();
    assert_eq!(diff(&document, &document), []);
}
