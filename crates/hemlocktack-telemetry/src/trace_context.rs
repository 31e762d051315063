//! W3C trace context: the `traceparent` header.

/// Id of a trace; never 0.
pub type TraceId = u128;
/// Id of a span; never 0.
pub type SpanId = u64;

/// The only version of `traceparent` so far; later ones start with the same fields.
const VERSION: &str = "00";
const INVALID_VERSION: &[u8] = b"ff";
const SAMPLED_FLAG: u128 = 1;
/// Positions of the dashes between the fields of the header.
const DASHES: [usize; 3] = [2, 35, 52];
const HEADER_LENGTH: usize = 55;
const TRACE_ID_DIGITS: usize = 32;

/// Position in a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Id of the trace; the same for all spans of a request.
    pub trace_id: TraceId,
    /// Id of the enclosing span; 0 at the beginning of a trace.
    pub span_id: SpanId,
    /// Whether the spans of this trace are recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Parses a `traceparent` header. Returns `None` if it is malformed, which the standard treats
    /// as absent.
    pub fn parse(header: &str) -> Option<Self> {
        let header = header.trim().as_bytes();
        let (known, rest) = header.split_at_checked(HEADER_LENGTH)?;
        let has_dashes = DASHES.iter().all(|position| known[*position] == b'-');
        if !has_dashes || !is_version(&known[..2], rest) {
            return None;
        }
        let trace_id = read_hex(&known[3..35])?;
        let span_id = SpanId::try_from(read_hex(&known[36..52])?).ok()?;
        let flags = read_hex(&known[53..])?;
        let is_valid = trace_id != 0 && span_id != 0;
        is_valid.then_some(TraceContext {
            trace_id,
            span_id,
            sampled: flags & SAMPLED_FLAG != 0,
        })
    }

    /// Returns the value of a `traceparent` header.
    pub fn header(&self) -> String {
        let mut header = String::with_capacity(HEADER_LENGTH);
        header.push_str(VERSION);
        header.push('-');
        push_hex(&mut header, &self.trace_id.to_be_bytes());
        header.push('-');
        push_hex(&mut header, &self.span_id.to_be_bytes());
        header.push('-');
        push_hex(&mut header, &[u8::from(self.sampled)]);
        header
    }
}

/// Appends bytes as hexadecimal digits. This runs twice for every call, and `format!` takes about
/// three times as long (`benches/spans.rs`).
fn push_hex(text: &mut String, bytes: &[u8]) {
    const DIGITS: [char; 16] = [
        '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e', 'f',
    ];
    for byte in bytes {
        text.push(DIGITS[usize::from(byte >> 4)]);
        text.push(DIGITS[usize::from(byte & 0xf)]);
    }
}

/// Parses a trace id in the form used by headers and operators.
pub fn parse_trace_id(text: &str) -> Option<TraceId> {
    if text.len() != TRACE_ID_DIGITS {
        return None;
    }
    read_hex(text.as_bytes()).filter(|trace_id| *trace_id != 0)
}

/// Returns whether the version is supported. Later versions start with the same fields and may add
/// more after another dash.
fn is_version(version: &[u8], rest: &[u8]) -> bool {
    if version == VERSION.as_bytes() {
        return rest.is_empty();
    }
    let is_later = read_hex(version).is_some() && version != INVALID_VERSION;
    is_later && (rest.is_empty() || rest[0] == b'-')
}

/// Parses up to 32 hexadecimal digits; the standard allows only lower case.
fn read_hex(digits: &[u8]) -> Option<u128> {
    let mut number = 0;
    for digit in digits {
        let value = match digit {
            b'0'..=b'9' => digit - b'0',
            b'a'..=b'f' => digit - b'a' + 10,
            _ => return None,
        };
        number = number << 4 | u128::from(value);
    }
    Some(number)
}
