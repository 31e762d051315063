//! Which headers go on to the next party.

use bytes::Bytes;
use hemlocktack_protocol::Header;
use http::HeaderMap;
use http::header::CONNECTION;

use crate::callers::CONNECTION_HEADERS;

/// The headers of a message that go on, but for those with one of the `dropped`
/// names. The host goes on: upstreams of such interfaces read it.
pub(crate) fn forwarded_headers(headers: &HeaderMap, dropped: &[&str]) -> Vec<Header> {
    let named = named_by_connection(headers);
    let mut passed = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let name = name.as_str();
        let stays = CONNECTION_HEADERS.contains(&name)
            || dropped.contains(&name)
            || named.iter().any(|named| named == name);
        if !stays {
            passed.push(Header {
                name: name.to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            });
        }
    }
    passed
}

/// Headers that the sender names as those of this connection.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(text) = value.to_str() else { continue };
        for name in text.split(',') {
            named.push(name.trim().to_ascii_lowercase());
        }
    }
    named
}
