//! Splits complete request heads off the bytes of a connection, without I/O.

use derive_more::{Display, Error};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version, request};

/// Hyper's limit; it refuses a request with more headers.
const MAX_HEADERS: usize = 100;

/// Bytes of a connection that begin with a request, as long as no request has a body.
#[derive(Default)]
pub(super) struct HeadSplitter {
    bytes: Vec<u8>,
}

/// A complete head cannot be parsed, and hyper refuses it.
#[derive(Debug, Display, Error)]
#[display("the head is malformed")]
pub(super) struct Malformed;

/// Head of a request and its length on the connection.
#[derive(Debug)]
pub(super) struct SplitHead {
    pub(super) parts: request::Parts,
    pub(super) length_bytes: usize,
}

impl HeadSplitter {
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    pub(super) fn length_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Removes the next head without parsing it; returns whether it was complete.
    pub(super) fn skip_head(&mut self) -> bool {
        let Some(length_bytes) = head_length_bytes(&self.bytes) else {
            return false;
        };
        self.bytes.drain(..length_bytes);
        true
    }

    /// Removes the next head and returns it parsed, if it is complete.
    pub(super) fn split_head(&mut self) -> Result<Option<SplitHead>, Malformed> {
        let Some(length_bytes) = head_length_bytes(&self.bytes) else {
            return Ok(None);
        };
        let parts = parse_head(&self.bytes[..length_bytes]).ok_or(Malformed)?;
        self.bytes.drain(..length_bytes);
        Ok(Some(SplitHead {
            parts,
            length_bytes,
        }))
    }

    /// Releases all bytes.
    pub(super) fn clear(&mut self) {
        self.bytes = Vec::new();
    }
}

/// Returns the length of the first head, with the empty lines before it, if it is complete.
/// As in hyper's parser, a line ends with a line feed, with or without a carriage return.
fn head_length_bytes(bytes: &[u8]) -> Option<usize> {
    let mut is_after_request_line = false;
    let mut line_start = 0;
    loop {
        let rest = &bytes[line_start..];
        let line_length_bytes = rest.iter().position(|byte| *byte == b'\n')? + 1;
        let is_empty = matches!(&rest[..line_length_bytes], b"\n" | b"\r\n");
        line_start += line_length_bytes;
        if is_empty && is_after_request_line {
            return Some(line_start);
        }
        is_after_request_line |= !is_empty;
    }
}

/// Parses a complete head with the parser that hyper uses.
fn parse_head(bytes: &[u8]) -> Option<request::Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    if parsed.parse(bytes) != Ok(httparse::Status::Complete(bytes.len())) {
        return None;
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = Uri::try_from(parsed.path?).ok()?;
    *request.version_mut() = match parsed.version? {
        1 => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    for header in parsed.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request.into_parts().0)
}

/// Returns whether hyper has parsed the same request.
pub(super) fn is_equal(split: &request::Parts, read: &request::Parts) -> bool {
    split.method == read.method
        && split.uri == read.uri
        && split.version == read.version
        && split.headers == read.headers
}

/// Returns whether the next request follows directly behind this head and its response leaves
/// the connection open: it has no body and asks for no other protocol or close.
pub(super) fn is_plain(head: &request::Parts) -> bool {
    let headers = &head.headers;
    head.version == Version::HTTP_11
        && head.method != Method::CONNECT
        && !headers.contains_key(TRANSFER_ENCODING)
        && !headers.contains_key(UPGRADE)
        && !headers.contains_key(EXPECT)
        && headers
            .get_all(CONTENT_LENGTH)
            .iter()
            .all(|length| length == "0")
        && !ends_connection(headers)
}

/// Returns whether `Connection` asks for a close, or has a value that cannot be read.
fn ends_connection(headers: &HeaderMap) -> bool {
    let ends = |value: &HeaderValue| {
        value.to_str().map_or(true, |text| {
            let mut options = text.split(',').map(str::trim);
            options.any(|option| {
                option.eq_ignore_ascii_case("close") || option.eq_ignore_ascii_case("upgrade")
            })
        })
    };
    headers.get_all(CONNECTION).iter().any(ends)
}
