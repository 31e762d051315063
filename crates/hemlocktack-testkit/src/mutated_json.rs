//! Randomly mutated JSON messages, which parsers have to accept or reject without failing.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

/// Returns a configuration with a fixed seed, so that each run has the same cases. `PROPTEST_CASES`
/// sets their number; the default is 256.
pub fn fixed_seed_config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates values of a wrong type or at the limits of their type.
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

/// Generates texts of the message with one to three values replaced or removed. Only every tenth text
/// has a byte changed, and every tenth is truncated, because most parsers stop early on such texts.
pub fn mutated(message: fn() -> Value) -> impl Strategy<Value = Vec<u8>> {
    let values = vec((any::<Index>(), proptest::option::of(odd_value())), 1..4);
    let byte = proptest::option::weighted(0.1, (any::<Index>(), any::<u8>()));
    let cut = proptest::option::weighted(0.1, any::<Index>());
    (values, byte, cut).prop_map(move |(values, byte, cut)| {
        let mut message = message();
        for (position, value) in values {
            let mut left = position.index(count(&message).max(1));
            mutate(&mut message, &mut left, &value);
        }
        let mut text = message.to_string().into_bytes();
        if let Some((position, byte)) = byte {
            let position = position.index(text.len());
            text[position] = byte;
        }
        if let Some(cut) = cut {
            text.truncate(cut.index(text.len()));
        }
        text
    })
}

/// Counts the values inside a value, at any depth.
fn count(value: &Value) -> usize {
    match value {
        Value::Array(items) => items.iter().map(|item| 1 + count(item)).sum(),
        Value::Object(fields) => fields.values().map(|field| 1 + count(field)).sum(),
        _ => 0,
    }
}

/// Replaces the value with index `left` in depth-first order, or removes it if `to` is `None`. Returns
/// whether there is such a value.
fn mutate(value: &mut Value, left: &mut usize, to: &Option<Value>) -> bool {
    for position in positions(value) {
        if *left == 0 {
            match to {
                Some(to) => *value_at(value, &position) = to.clone(),
                None => remove_at(value, &position),
            }
            return true;
        }
        *left -= 1;
        if mutate(value_at(value, &position), left, to) {
            return true;
        }
    }
    false
}

/// Position of a value in its parent.
enum Position {
    Item(usize),
    Field(String),
}

fn positions(value: &Value) -> Vec<Position> {
    match value {
        Value::Array(items) => (0..items.len()).map(Position::Item).collect(),
        Value::Object(fields) => fields.keys().cloned().map(Position::Field).collect(),
        _ => Vec::new(),
    }
}

fn value_at<'a>(value: &'a mut Value, position: &Position) -> &'a mut Value {
    match position {
        Position::Item(number) => &mut value[number],
        Position::Field(name) => &mut value[name],
    }
}

fn remove_at(value: &mut Value, position: &Position) {
    match (value, position) {
        (Value::Array(items), Position::Item(number)) => drop(items.remove(*number)),
        (Value::Object(fields), Position::Field(name)) => drop(fields.remove(name)),
        _ => panic!("the place is of another value"),
    }
}
