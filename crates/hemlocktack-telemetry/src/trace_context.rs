//! W3C trace context.

/// Number of a trace; never 0.
pub type TraceId = u128;
/// Number of a span; never 0.
pub type SpanId = u64;

/// The only version of `traceparent` so far; later ones begin the same way.
const VERSION: &str = "00";
const INVALID_VERSION: &str = "ff";
const SAMPLED_FLAG: u8 = 1;
const TRACE_ID_DIGITS: usize = 32;
const SPAN_ID_DIGITS: usize = 16;

/// Where in which trace something happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Same for all of one request.
    pub trace_id: TraceId,
    /// The span around what happens; 0 at the beginning of a trace.
    pub span_id: SpanId,
    /// Whether the spans of this trace are recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Reads a `traceparent` header; `None` where it is malformed, which by the
    /// standard counts as absent.
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.trim().split('-');
        let version = parts.next()?;
        let trace_id = parse_trace_id(parts.next()?)?;
        let span_id = parse_span_id(parts.next()?)?;
        let flags = parts.next()?;
        let is_version = version.len() == VERSION.len() && is_lower_hex(version);
        if !is_version || version == INVALID_VERSION {
            return None;
        }
        if version == VERSION && parts.next().is_some() {
            return None;
        }
        if flags.len() != 2 || !is_lower_hex(flags) {
            return None;
        }
        let flags = u8::from_str_radix(flags, 16).ok()?;
        Some(TraceContext {
            trace_id,
            span_id,
            sampled: flags & SAMPLED_FLAG != 0,
        })
    }

    /// Value of a `traceparent` header.
    pub fn header(&self) -> String {
        let flags = u8::from(self.sampled);
        format!(
            "{VERSION}-{:032x}-{:016x}-{flags:02x}",
            self.trace_id, self.span_id
        )
    }
}

/// Reads a trace id as headers and operators write it.
pub fn parse_trace_id(text: &str) -> Option<TraceId> {
    if text.len() != TRACE_ID_DIGITS || !is_lower_hex(text) {
        return None;
    }
    let trace_id = TraceId::from_str_radix(text, 16).ok()?;
    (trace_id != 0).then_some(trace_id)
}

fn parse_span_id(text: &str) -> Option<SpanId> {
    if text.len() != SPAN_ID_DIGITS || !is_lower_hex(text) {
        return None;
    }
    let span_id = SpanId::from_str_radix(text, 16).ok()?;
    (span_id != 0).then_some(span_id)
}

fn is_lower_hex(text: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.bytes().all(is_digit)
}
