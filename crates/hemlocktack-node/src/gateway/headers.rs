//! Selects the headers that a proxy may forward.

use bytes::Bytes;
use hemlocktack_protocol::Header;
use http::HeaderMap;
use http::header::CONNECTION;

use crate::callers::CONNECTION_HEADERS;

/// Returns the end-to-end headers of a message, without those named in `dropped`.
/// `Host` is forwarded because upstreams of such interfaces read it.
pub(crate) fn forwarded_headers(headers: &HeaderMap, dropped: &[&str]) -> Vec<Header> {
    let connection_options = connection_options(headers);
    let mut forwarded = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let name = name.as_str();
        let is_dropped = CONNECTION_HEADERS.contains(&name)
            || dropped.contains(&name)
            || connection_options.iter().any(|option| option == name);
        if !is_dropped {
            forwarded.push(Header {
                name: name.to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            });
        }
    }
    forwarded
}

/// Returns the hop-by-hop headers that the sender lists in `Connection`.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let mut options = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(text) = value.to_str() else { continue };
        for name in text.split(',') {
            options.push(name.trim().to_ascii_lowercase());
        }
    }
    options
}
