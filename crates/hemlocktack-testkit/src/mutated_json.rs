//! Messages that are nearly right, for readers that have to take or refuse them.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

/// The same cases in each run, as many as `PROPTEST_CASES` says, or else 256.
pub fn fixed_seed_config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Values that stand where another kind is due, or at the edge of their own.
fn odd_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u32>().prop_map(Value::from),
        prop::sample::select(vec![0, 1, u64::from(u32::MAX), u64::MAX]).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,24}".prop_map(Value::from),
        "(-|)([0-9]{1,24}|1e[0-9]{1,3}|NaN|inf)(ms|s|m|)".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
        Just(json!([[], { "metadata": 1 }])),
    ]
}

/// A message with some of its values replaced or gone; its text seldom has a byte
/// changed or its end cut off, as most readers look no further then.
pub fn mutated(message: fn() -> Value) -> impl Strategy<Value = Vec<u8>> {
    let values = vec((any::<Index>(), proptest::option::of(odd_value())), 1..4);
    let byte = proptest::option::weighted(0.1, (any::<Index>(), any::<u8>()));
    let cut = proptest::option::weighted(0.1, any::<Index>());
    (values, byte, cut).prop_map(move |(values, byte, cut)| {
        let mut message = message();
        for (place, value) in values {
            let mut left = place.index(count(&message).max(1));
            change(&mut message, &mut left, &value);
        }
        let mut text = message.to_string().into_bytes();
        if let Some((place, byte)) = byte {
            let place = place.index(text.len());
            text[place] = byte;
        }
        if let Some(cut) = cut {
            text.truncate(cut.index(text.len()));
        }
        text
    })
}

/// Values inside a value, at any depth.
fn count(value: &Value) -> usize {
    match value {
        Value::Array(items) => items.iter().map(|item| 1 + count(item)).sum(),
        Value::Object(fields) => fields.values().map(|field| 1 + count(field)).sum(),
        _ => 0,
    }
}

/// Replaces the value with this number, or takes it out. Whether it was found.
fn change(value: &mut Value, left: &mut usize, to: &Option<Value>) -> bool {
    for place in places(value) {
        if *left == 0 {
            match to {
                Some(to) => *inner(value, &place) = to.clone(),
                None => take_out(value, &place),
            }
            return true;
        }
        *left -= 1;
        if change(inner(value, &place), left, to) {
            return true;
        }
    }
    false
}

/// Where a value stands in the one around it.
enum Place {
    Item(usize),
    Field(String),
}

fn places(value: &Value) -> Vec<Place> {
    match value {
        Value::Array(items) => (0..items.len()).map(Place::Item).collect(),
        Value::Object(fields) => fields.keys().cloned().map(Place::Field).collect(),
        _ => Vec::new(),
    }
}

fn inner<'a>(value: &'a mut Value, place: &Place) -> &'a mut Value {
    match place {
        Place::Item(number) => &mut value[number],
        Place::Field(name) => &mut value[name],
    }
}

fn take_out(value: &mut Value, place: &Place) {
    match (value, place) {
        (Value::Array(items), Place::Item(number)) => drop(items.remove(*number)),
        (Value::Object(fields), Place::Field(name)) => drop(fields.remove(name)),
        _ => panic!("the place is of another value"),
    }
}
