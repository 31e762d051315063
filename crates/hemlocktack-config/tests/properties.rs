//! Properties over random texts and documents.
#![allow(clippy::unwrap_used)]

use hemlocktack_config::{CallerKind, Class, Document, Limits, RequestRule, Service, parse};
use proptest::prelude::*;
use proptest::sample::Index;

const BHADRALOK: &str = include_str!("../../../docs/examples/bhadralok.toml");

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
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

proptest! {
    #![proptest_config(config())]

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
