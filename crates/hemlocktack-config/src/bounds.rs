//! Limits and defaults of the integer fields, shared by the document reader and the test of the
//! page that describes them.

/// Name, default and allowed range of an integer field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Name of the field, unit included.
    pub field: &'static str,
    /// Value if the document does not set the field; `None` if the field is required.
    pub default: Option<u64>,
    /// Smallest allowed value.
    pub min: u64,
    /// Largest allowed value.
    pub max: u64,
}

const fn required(field: &'static str, min: u64, max: u64) -> Bound {
    Bound {
        field,
        default: None,
        min,
        max,
    }
}

const fn optional(field: &'static str, default: u64, min: u64, max: u64) -> Bound {
    Bound {
        field,
        default: Some(default),
        min,
        max,
    }
}

const HOUR_MS: u64 = 3_600_000;
const MIB_BYTES: u64 = 1 << 20;

/// An hour covers the most patient caller; longer waits hold memory for callers that have
/// disconnected.
pub(crate) const PATIENCE_MS: Bound = required("patience_ms", 1, HOUR_MS);
/// More retries of one request than this only add load.
pub(crate) const RETRY_ALLOWANCE: Bound = required("retry_allowance", 0, 16);
/// Each node on the path buffers the whole body in memory.
pub(crate) const BODY_LIMIT_BYTES: Bound =
    optional("body_limit_bytes", MIB_BYTES, 0, 16 * MIB_BYTES);
/// Answers are buffered whole before they are forwarded.
pub(crate) const ANSWER_LIMIT_BYTES: Bound =
    optional("answer_limit_bytes", 4 * MIB_BYTES, 0, 16 * MIB_BYTES);
/// Calls in a longer queue would miss their deadlines.
pub(crate) const QUEUE_LIMIT_CALLS: Bound = optional("queue_limit_calls", 1_024, 0, 65_536);
/// A drain limit below a second would cut off ordinary calls; see `docs/OPERATING.md`.
pub(crate) const DRAIN_LIMIT_MS: Bound = optional("drain_limit_ms", 60_000, 1_000, HOUR_MS);
/// Kept answers may use at most half of a node's 128 MB.
pub(crate) const KEPT_ANSWERS_BYTES: Bound =
    optional("kept_answers_bytes", 16 * MIB_BYTES, 0, 64 * MIB_BYTES);
pub(crate) const TRACE_SAMPLE_PER_MILLION: Bound =
    optional("trace_sample_per_million", 1_000, 0, 1_000_000);
/// Retries to one service, as a percentage of first attempts. A higher share sustains an overload
/// after its cause is gone.
pub(crate) const RETRY_SHARE_PERCENT: Bound = optional("retry_share_percent", 10, 0, 100);
/// With a threshold of one crash, calls that merely ran at the same time as the faulty one would be
/// quarantined too.
pub(crate) const QUARANTINE_CRASHES: Bound = optional("quarantine_crashes", 2, 2, 100);
pub(crate) const QUARANTINE_MS: Bound = optional("quarantine_ms", 300_000, 1_000, HOUR_MS);

pub(crate) const RATE_PER_S: Bound = optional("rate_per_s", 0, 0, QUOTA_LIMIT);
pub(crate) const BURST_REQUESTS: Bound = optional("burst_requests", 0, 0, QUOTA_LIMIT);

/// Rank of a class: one of at most [`CLASS_LIMIT`]. Without one, that of the route applies.
pub(crate) const PRIORITY: Bound = optional("priority", 0, 0, CLASS_LIMIT as u64 - 1);

/// Bounds of every integer field of the document that has a default or is required.
pub const BOUNDS: [Bound; 13] = [
    PATIENCE_MS,
    RETRY_ALLOWANCE,
    BODY_LIMIT_BYTES,
    ANSWER_LIMIT_BYTES,
    QUEUE_LIMIT_CALLS,
    DRAIN_LIMIT_MS,
    KEPT_ANSWERS_BYTES,
    TRACE_SAMPLE_PER_MILLION,
    RETRY_SHARE_PERCENT,
    QUARANTINE_CRASHES,
    QUARANTINE_MS,
    RATE_PER_S,
    BURST_REQUESTS,
];

/// The platform stores values of up to 1 MiB; the other half is left for the generation, the author
/// and the escaping of the text.
pub const DOCUMENT_LIMIT_BYTES: usize = 512 << 10;
/// Shedding and queueing keep state per class; `hemlocktack-decide` has the same limit.
pub const CLASS_LIMIT: usize = 16;
/// Kinds of caller are metric label values.
pub const CALLER_KIND_LIMIT: usize = 64;
/// Services are metric label values too; the limit is ten times the intended number.
pub const SERVICE_LIMIT: usize = 1_024;
/// Largest rate and burst of a client account: the largest integer up to which every JSON reader
/// represents all exactly.
pub const QUOTA_LIMIT: u64 = 1 << 53;
/// Ten times the intended number; the document has room for about as many.
pub const ACCOUNT_LIMIT: usize = 5_000;
/// An account has one key for each program that uses it, and two during a replacement.
pub const ACCOUNT_KEY_LIMIT: usize = 64;
/// The rules of a service are matched in order for every request.
pub const RULE_LIMIT: usize = 128;
/// A name is one path segment and one metric label value.
pub const NAME_LIMIT_BYTES: usize = 63;
/// Longest path prefix of a rule.
pub const PATH_PREFIX_LIMIT_BYTES: usize = 1_024;
/// Each caller connection may hold one request head in memory.
pub const HEAD_LIMIT_BYTES: usize = 1 << 20;
/// Callers' request bodies are buffered whole in memory.
pub const CLIENT_BODY_LIMIT_BYTES: usize = 64 << 20;
/// As many upstreams as a call with the largest retry allowance can reach: the first attempt and
/// 16 retries.
pub const ATTEMPT_LIMIT: u32 = 17;
