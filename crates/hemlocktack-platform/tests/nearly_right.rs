//! Nearly valid responses of the store: each decoder accepts them or reports an error.
//!
//! `PROPTEST_CASES=1000000` runs that many cases.

#![allow(clippy::unwrap_used)]

use hemlocktack_platform::{NATIVE_CODEC, Object, StoreError};
use hemlocktack_protocol::Member;
use hemlocktack_testkit::mutated_json::{fixed_seed_config, mutated};
use proptest::prelude::*;
use reqwest::StatusCode;
use serde_json::{Value, json};

fn configuration() -> Value {
    json!({
        "key": "configuration/current",
        "version": 41,
        "value": {
            "generation": "7", "changeId": "c7", "author": "asha",
            "document": "[[classes]]\nname = \"all\"\n",
        },
    })
}

fn node_record() -> Value {
    json!({
        "key": "nodes/listings-1",
        "version": 42,
        "value": {
            "nodeId": "listings-1", "incarnation": "9", "version": "3", "startOrder": "1",
            "state": "NODE_STATE_READY", "upstream": "UPSTREAM_STATE_READY",
            "service": "listings", "dataCentre": "howrah", "region": "kolkata",
            "linkAddress": "10.0.0.7:7401", "gossipAddress": "10.0.0.7:7402", "slots": 44,
            "successions": [{ "homeNodeId": "listings-2", "homeIncarnation": "4" }],
        },
    })
}

fn listing() -> Value {
    json!({ "revision": 533, "objects": [node_record(), configuration()] })
}

fn watched() -> Value {
    let mut changed = configuration();
    changed["deleted"] = json!(false);
    json!({ "revision": 533, "objects": [changed] })
}

fn written() -> Value {
    json!({ "version": 43 })
}

fn refusal() -> Value {
    json!({ "error": "version-conflict", "current_version": 44 })
}

fn bytes(message: Value) -> Vec<u8> {
    message.to_string().into_bytes()
}

fn member(object: Object) -> Option<Member> {
    serde_json::from_value(object.value).ok()
}

/// The messages that the mutations start from must be valid: otherwise decoders would always stop
/// at the same first error.
#[test]
fn unmodified_messages_are_decoded_completely() {
    let stored = (NATIVE_CODEC.read_object)("", &bytes(configuration())).unwrap();
    let stored = (NATIVE_CODEC.read_configuration)(&stored).unwrap();
    assert_eq!((stored.generation, stored.author.as_str()), (7, "asha"));
    let page = (NATIVE_CODEC.read_listing)("nodes/", &bytes(listing())).unwrap();
    assert_eq!(page.listing.objects.len(), 2);
    let first = page.listing.objects.into_iter().next().and_then(member);
    assert_eq!(first.unwrap().successions.len(), 1);
    let watched = (NATIVE_CODEC.read_watched)("", &bytes(watched())).unwrap();
    assert_eq!(watched.objects.len(), 1);
    assert_eq!((NATIVE_CODEC.read_written)(&bytes(written())), Ok(43));
    let refused = (NATIVE_CODEC.read_error)(StatusCode::CONFLICT, &bytes(refusal()));
    assert_eq!(refused, StoreError::Conflict(44));
}

/// Failure: one object with contents that a parser rejects hides all others from a list or a watch.
#[test]
fn an_unreadable_object_hides_no_other_one() {
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    for odd in ["1e999", "NaN", "\"\\ud800\"", &deep] {
        for (odd_object, is_readable) in [
            (odd.to_owned(), false),
            (
                format!("{{\"key\":\"nodes/b\",\"version\":{odd},\"value\":1}}"),
                false,
            ),
            (
                format!("{{\"key\":\"nodes/b\",\"version\":4,\"value\":{odd}}}"),
                true,
            ),
        ] {
            let good = node_record();
            let body = format!("{{\"revision\":533,\"objects\":[{good},{odd_object},{good}]}}");
            let page = (NATIVE_CODEC.read_listing)("nodes/", body.as_bytes()).unwrap();
            let watched = (NATIVE_CODEC.read_watched)("nodes/", body.as_bytes()).unwrap();
            let count = 2 + usize::from(is_readable);
            assert_eq!(
                (page.listing.objects.len(), watched.objects.len()),
                (count, count)
            );
            assert_eq!(page.listing.unreadable_count, 3 - count);
            assert_eq!(
                (page.listing.revision.number, watched.revision.number),
                (533, 533)
            );
            let place = page.listing.first_unreadable.unwrap_or_default();
            assert_eq!(place.starts_with("objects[1]"), !is_readable, "{place}");
            page.listing
                .objects
                .into_iter()
                .for_each(|object| drop(member(object)));
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(27))]

    /// Guards against a decoder that panics on unforeseen contents, such as objects written by hand
    /// or by another version of the store: a node that crashes takes its upstream out of service.
    #[test]
    fn objects_of_the_store_are_decoded_or_rejected(
        one in mutated(configuration), record in mutated(node_record),
        page in mutated(listing), events in mutated(watched),
        short in mutated(written), refused in mutated(refusal), status in 100_u16..1000,
    ) {
        for body in [&one, &record] {
            if let Ok(object) = (NATIVE_CODEC.read_object)("", body) {
                let _ = (NATIVE_CODEC.read_configuration)(&object);
                let _ = member(object);
            }
        }
        if let Ok(page) = (NATIVE_CODEC.read_listing)("nodes/", &page) {
            prop_assert!(page.next_after.is_none());
            page.listing.objects.into_iter().for_each(|object| drop(member(object)));
        }
        let _ = (NATIVE_CODEC.read_watched)("", &events);
        let _ = (NATIVE_CODEC.read_written)(&short);
        let _ = (NATIVE_CODEC.read_deleted)(&short);
        let status = StatusCode::from_u16(status).unwrap();
        let _ = (NATIVE_CODEC.read_error)(status, &refused);
    }
}
