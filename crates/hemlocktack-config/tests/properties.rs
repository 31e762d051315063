//! Property tests over random texts and documents.
//!
//! `PROPTEST_CASES=1000000` runs that many cases of each property.
#![allow(clippy::unwrap_used)]

use hemlocktack_config::{
    BOUNDS, CALLER_KIND_LIMIT, CLASS_LIMIT, CallerKind, Class, Document, Limits, RULE_LIMIT,
    RequestRule, SERVICE_LIMIT, Service, parse,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};

const BHADRALOK: &str = include_str!("../../../docs/examples/bhadralok.toml");

/// Minimum number of cases per property; `PROPTEST_CASES` can raise it.
const MIN_CASES: u32 = 512;

fn config() -> ProptestConfig {
    let from_environment = ProptestConfig::default();
    ProptestConfig {
        cases: from_environment.cases.max(MIN_CASES),
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        failure_persistence: None,
        ..from_environment
    }
}

fn document() -> impl Strategy<Value = Document> {
    let limits = (60_000..=3_600_000_u64, 0..=100_u32, 3..=100_u32);
    let kinds =
        prop::collection::btree_map("[a-z][a-z0-9-]{0,9}", (1..=60_000_u64, 0..=16_u32), 1..5);
    let rules = prop::collection::btree_map("/[a-z]{6}", any::<bool>(), 1..6);
    let services = prop::collection::btree_map("[a-z][a-z0-9-]{0,9}", rules, 1..5);
    (limits, kinds, services).prop_map(|(limits, kinds, services)| Document {
        limits: Limits {
            drain_limit_ms: limits.0,
            retry_share_percent: limits.1,
            quarantine_crashes: limits.2,
            ..Limits::default()
        },
        classes: vec![Class {
            name: "all".to_owned(),
        }],
        caller_kinds: kinds.into_iter().map(caller_kind).collect(),
        services: services
            .into_iter()
            .map(|(name, rules)| Service {
                requests: rules.into_iter().map(rule).collect(),
                ..Service::new(name)
            })
            .collect(),
        ..Document::default()
    })
}

fn caller_kind((name, (patience_ms, retry_allowance)): (String, (u64, u32))) -> CallerKind {
    CallerKind {
        name,
        patience_ms,
        retry_allowance,
    }
}

fn rule((path_prefix, idempotent): (String, bool)) -> RequestRule {
    RequestRule {
        method: "GET".to_owned(),
        path_prefix,
        class: "all".to_owned(),
        idempotent,
    }
}

/// Generates values of an unexpected type, or at the limits of the expected one.
fn odd_value() -> impl Strategy<Value = String> {
    prop_oneof![
        any::<i64>().prop_map(|number| number.to_string()),
        any::<u32>().prop_map(|number| number.to_string()),
        select(vec![
            "0",
            "-1",
            "18446744073709551615",
            "1e308",
            "nan",
            "inf"
        ])
        .prop_map(str::to_owned),
        select(vec!["[]", "{}", "true", "1979-05-27", "[[1], {a = 2}]"]).prop_map(str::to_owned),
        "[a-zA-Z0-9/. -]{0,80}".prop_map(|text| format!("\"{text}\"")),
        "\\PC{0,20}".prop_map(|text| format!("'{text}'")),
    ]
}

/// Generates the example with the values of some lines replaced, or with lines removed or doubled.
fn nearly_valid() -> impl Strategy<Value = String> {
    let changes = vec((any::<Index>(), 0..4_u8, odd_value()), 1..4);
    changes.prop_map(|changes| {
        let mut lines: Vec<String> = BHADRALOK.lines().map(str::to_owned).collect();
        for (place, kind, value) in changes {
            let place = place.index(lines.len());
            match (kind, lines[place].split_once('=')) {
                (0, _) => drop(lines.remove(place)),
                (1, _) => lines.insert(place, lines[place].clone()),
                (_, Some((name, _))) => lines[place] = format!("{name}= {value}"),
                (_, None) => lines.insert(place, value),
            }
        }
        lines.join("\n")
    })
}

/// Returns whether each integer and each list is within its limit.
fn is_bounded(document: &Document) -> bool {
    let is_within = |field: &str, value: u64| {
        let bound = BOUNDS.iter().find(|bound| bound.field == field).unwrap();
        (bound.min..=bound.max).contains(&value)
    };
    let limits = &document.limits;
    let of_service = |service: &Service| {
        is_within("body_limit_bytes", service.body_limit_bytes as u64)
            && is_within("answer_limit_bytes", service.answer_limit_bytes as u64)
            && is_within("queue_limit_calls", service.queue_limit_calls as u64)
            && service.requests.len() <= RULE_LIMIT
    };
    let of_kind = |kind: &CallerKind| {
        is_within("patience_ms", kind.patience_ms)
            && is_within("retry_allowance", kind.retry_allowance.into())
    };
    is_within("drain_limit_ms", limits.drain_limit_ms)
        && is_within("kept_answers_bytes", limits.kept_answers_bytes)
        && is_within("quarantine_ms", limits.quarantine_ms)
        && is_within("retry_share_percent", limits.retry_share_percent.into())
        && (1..=CLASS_LIMIT).contains(&document.classes.len())
        && document.caller_kinds.len() <= CALLER_KIND_LIMIT
        && document.services.len() <= SERVICE_LIMIT
        && document.services.iter().all(of_service)
        && document.caller_kinds.iter().all(of_kind)
}

/// Guards against a parser that recurses for each of a hundred thousand brackets, tables or dots:
/// the stack overflow would abort the process, and no test could catch it.
#[test]
fn deep_documents_are_rejected() {
    const DEPTH: usize = 100_000;
    for text in [
        format!("a = {}", "[".repeat(DEPTH)),
        format!("a = {}{}", "[".repeat(DEPTH), "]".repeat(DEPTH)),
        format!("a = {}", "{a=".repeat(DEPTH)),
        format!("{}a = 1", "a.".repeat(DEPTH)),
        format!("[{}a]", "a.".repeat(DEPTH)),
    ] {
        assert!(parse(&text).is_err());
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn nearly_valid_documents_are_accepted_within_their_bounds_or_rejected(text in nearly_valid()) {
        match parse(&text) {
            Ok(document) => prop_assert!(is_bounded(&document), "{document:?}"),
            Err(error) => prop_assert!(!error.findings.is_empty()),
        }
    }

    #[test]
    fn no_text_makes_the_reader_panic(text in any::<String>()) {
        let _ = parse(&text);
    }

    #[test]
    fn no_damage_to_a_document_makes_the_reader_panic(
        at in any::<Index>(),
        length in 0..40_usize,
        patch in "[\\[\\]{}=\"'a-z0-9.,\n#-]{0,12}",
    ) {
        let mut bytes = BHADRALOK.as_bytes().to_vec();
        let from = at.index(bytes.len());
        let to = (from + length).min(bytes.len());
        bytes.splice(from..to, patch.bytes());
        let text = String::from_utf8_lossy(&bytes);
        if let Err(error) = parse(&text) {
            prop_assert!(!error.findings.is_empty());
            prop_assert!(error.findings.iter().all(|finding| !finding.label.is_empty()));
        }
    }

    #[test]
    fn a_document_written_out_is_read_back_the_same(document in document()) {
        let text = toml::to_string(&document).unwrap();
        prop_assert_eq!(parse(&text).unwrap(), document);
    }
}
