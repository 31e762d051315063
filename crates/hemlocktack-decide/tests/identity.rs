//! Who may enter, as a table with one line per case.
#![allow(clippy::unwrap_used)]

use std::fmt::Write;
use std::time::Duration;

use hemlocktack_decide::accounts::{IdentityPolicy, KeyCheck, decide_identity};

const POLICY: IdentityPolicy = IdentityPolicy {
    admit_within: Some(Duration::from_millis(4_900)),
    deny_within: Duration::from_millis(1_000),
};

/// Guards against keys that are admitted by an outdated configuration, and against callers that an
/// outdated one turns away for good.
#[test]
fn the_route_the_key_and_the_age_of_the_proof_decide() {
    let ages_ms = [
        None,
        Some(0),
        Some(1_000),
        Some(1_001),
        Some(4_900),
        Some(4_901),
    ];
    let mut table = String::new();
    for is_public in [true, false] {
        for key in [KeyCheck::Absent, KeyCheck::Unknown, KeyCheck::Known] {
            for age_ms in ages_ms {
                let age = age_ms.map(Duration::from_millis);
                let decision = decide_identity(is_public, key, age, &POLICY);
                let route = if is_public { "public" } else { "private" };
                writeln!(table, "{route} {key:?} {age:?}: {decision:?}").unwrap();
            }
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against refusals where operators have set no bound.
#[test]
fn without_a_bound_known_keys_need_no_proof() {
    let policy = IdentityPolicy {
        admit_within: None,
        ..POLICY
    };
    let decision = decide_identity(false, KeyCheck::Known, None, &policy);
    insta::assert_snapshot!(format!("{decision:?}"), @"Account");
}
