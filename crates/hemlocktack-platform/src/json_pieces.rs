//! Reads a JSON text piece by piece, so that a piece that cannot be decoded hides no other one.
//!
//! A JSON parser rejects a whole text for one number out of range, one invalid character or one
//! value that is nested too deeply. These functions only look for quotes, brackets and commas; the
//! pieces between them are decoded one by one. No function recurses deeper than `DEPTH_LIMIT`.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

/// Depth below which a value is not decoded, far above that of any object of this project.
const DEPTH_LIMIT: usize = 32;
/// Longest part of a name that is shown to people, in characters.
const SHOWN_CHARS: usize = 64;

/// Returns the elements of a list; `None` if the text is not a list.
pub fn elements(text: &[u8]) -> Option<Vec<&[u8]>> {
    parts(text, b'[', b']')
}

/// Returns the value of a member; `None` if the text is not an object or has no such member. The
/// last one counts if there are several.
pub fn member<'a>(text: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let members = members(text)?;
    let mut with_name = members
        .into_iter()
        .filter(|(key, _)| decode::<String>(key).is_some_and(|key| key == name));
    with_name.next_back().map(|(_, value)| value)
}

/// Decodes a piece; `None` if it is no valid value of the type.
pub fn decode<T: DeserializeOwned>(piece: &[u8]) -> Option<T> {
    serde_json::from_slice(piece).ok()
}

/// Decodes a piece as far as possible.
///
/// Members with an unreadable name are left out. A part that cannot be decoded, or is nested too
/// deeply, is replaced by nested lists, which no field of this project's objects accepts. The
/// object is thus invalid only if the unreadable part is needed.
pub fn read_value(piece: &[u8]) -> Value {
    decode(piece).unwrap_or_else(|| read_parts(piece, 0))
}

/// Describes where an unreadable entry stands in a response.
pub fn place(list: &str, index: usize, name: Option<&str>) -> String {
    match name {
        Some(name) => format!("{list}[{index}], name {:?}", shown(name)),
        None => format!("{list}[{index}]"),
    }
}

/// Returns the beginning of a name that another writer has chosen.
pub fn shown(name: &str) -> String {
    name.chars().take(SHOWN_CHARS).collect()
}

fn read_parts(piece: &[u8], depth: usize) -> Value {
    if depth >= DEPTH_LIMIT {
        return unreadable();
    }
    if let Some(members) = members(piece) {
        let readable = members.into_iter().filter_map(|(key, value)| {
            let key = decode::<String>(key)?;
            Some((key, read_parts(value, depth + 1)))
        });
        return Value::Object(readable.collect::<Map<_, _>>());
    }
    if let Some(elements) = elements(piece) {
        let read = |element| read_parts(element, depth + 1);
        return elements.into_iter().map(read).collect();
    }
    decode(piece).unwrap_or_else(unreadable)
}

fn unreadable() -> Value {
    json!([[["cannot be read"]]])
}

/// Returns the members of an object as keys with their quotes and values.
fn members(text: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    parts(text, b'{', b'}')?
        .into_iter()
        .map(key_and_value)
        .collect()
}

fn key_and_value(member: &[u8]) -> Option<(&[u8], &[u8])> {
    let key_length = member.starts_with(b"\"").then(|| string_length(member))??;
    let (key, rest) = member.split_at(key_length);
    let value = rest.trim_ascii_start().strip_prefix(b":")?;
    Some((key, value.trim_ascii_start()))
}

/// Returns what stands between the commas of a list or an object; `None` if the text does not begin
/// and end with the brackets.
fn parts(text: &[u8], open: u8, close: u8) -> Option<Vec<&[u8]>> {
    let text = text.trim_ascii();
    let content = text.strip_prefix(&[open])?.strip_suffix(&[close])?;
    if content.trim_ascii().is_empty() {
        return Some(Vec::new());
    }
    let mut parts = Vec::new();
    let mut rest = content;
    loop {
        let length = part_length(rest)?;
        parts.push(rest[..length].trim_ascii());
        if length == rest.len() {
            return Some(parts);
        }
        rest = &rest[length + 1..];
    }
}

/// Returns the length of a part up to the comma behind it or to the end; `None` if a quote or a
/// bracket lacks its counterpart.
fn part_length(text: &[u8]) -> Option<usize> {
    let mut depth = 0_usize;
    let mut position = 0;
    while let Some(byte) = text.get(position) {
        match byte {
            b'"' => {
                position += string_length(&text[position..])?;
                continue;
            }
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.checked_sub(1)?,
            b',' if depth == 0 => break,
            _ => {}
        }
        position += 1;
    }
    (depth == 0).then_some(position)
}

/// Returns the length of the string at the beginning of the text, with both quotes.
fn string_length(text: &[u8]) -> Option<usize> {
    let mut position = 1;
    loop {
        match text.get(position)? {
            b'"' => return Some(position + 1),
            b'\\' => position += 2,
            _ => position += 1,
        }
    }
}
