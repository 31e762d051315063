//! Limits and defaults of the whole-number fields, stated once for the reader
//! of documents and for the page that describes them.

/// What a whole-number field may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Name of the field, unit included.
    pub field: &'static str,
    /// Value where the document is silent; `None` where it must say one.
    pub default: Option<u64>,
    /// Least value taken.
    pub least: u64,
    /// Greatest value taken.
    pub greatest: u64,
}

const fn required(field: &'static str, least: u64, greatest: u64) -> Bound {
    Bound {
        field,
        default: None,
        least,
        greatest,
    }
}

const fn optional(field: &'static str, default: u64, least: u64, greatest: u64) -> Bound {
    Bound {
        field,
        default: Some(default),
        least,
        greatest,
    }
}

const HOUR_MS: u64 = 3_600_000;
const MIB_BYTES: u64 = 1 << 20;

/// An hour covers the most patient caller; longer waits hold memory for callers
/// that have gone.
pub(crate) const PATIENCE_MS: Bound = required("patience_ms", 1, HOUR_MS);
/// More retries than this of one request are load and not help.
pub(crate) const RETRY_ALLOWANCE: Bound = required("retry_allowance", 0, 16);
/// Bodies are held whole in memory, in each node on the way.
pub(crate) const BODY_LIMIT_BYTES: Bound =
    optional("body_limit_bytes", MIB_BYTES, 0, 16 * MIB_BYTES);
/// Answers are read whole before they are passed on.
pub(crate) const ANSWER_LIMIT_BYTES: Bound =
    optional("answer_limit_bytes", 4 * MIB_BYTES, 0, 16 * MIB_BYTES);
/// A longer queue holds only calls that will miss their deadline.
pub(crate) const QUEUE_LIMIT_CALLS: Bound = optional("queue_limit_calls", 1_024, 0, 65_536);
/// Below a second a drain would cut ordinary calls; see `docs/OPERATING.md`.
pub(crate) const DRAIN_LIMIT_MS: Bound = optional("drain_limit_ms", 60_000, 1_000, HOUR_MS);
/// Half of a node's 128 MB is the most that kept answers may take.
pub(crate) const KEPT_ANSWERS_BYTES: Bound =
    optional("kept_answers_bytes", 16 * MIB_BYTES, 0, 64 * MIB_BYTES);
pub(crate) const TRACE_SAMPLE_PER_MILLION: Bound =
    optional("trace_sample_per_million", 1_000, 0, 1_000_000);
/// Retries to one service, as a share of first tries: a higher share keeps an
/// overload up after its cause has gone.
pub(crate) const RETRY_SHARE_PERCENT: Bound = optional("retry_share_percent", 10, 0, 100);
/// With one, calls that only ran beside a guilty one would be taken for it.
pub(crate) const QUARANTINE_CRASHES: Bound = optional("quarantine_crashes", 2, 2, 100);
pub(crate) const QUARANTINE_MS: Bound = optional("quarantine_ms", 300_000, 1_000, HOUR_MS);

/// Every whole-number field of the document.
pub const BOUNDS: [Bound; 11] = [
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
];

/// The platform holds values of up to a megabyte; the other half is left for
/// the generation, the author and the escaping of the text.
pub const DOCUMENT_LIMIT_BYTES: usize = 512 << 10;
/// Shedding and queues are kept for each class, for as many in
/// `hemlocktack-decide`.
pub const CLASS_LIMIT: usize = 16;
/// Kinds of caller are label values of metrics.
pub const CALLER_KIND_LIMIT: usize = 64;
/// Services are label values of metrics too; ten times the aimed size.
pub const SERVICE_LIMIT: usize = 1_024;
/// Rules of a service are tried in order on the path of each request.
pub const RULE_LIMIT: usize = 128;
/// A name is one part of a path and one label value.
pub const NAME_LIMIT_BYTES: usize = 63;
/// Longest path prefix of a rule.
pub const PATH_PREFIX_LIMIT_BYTES: usize = 1_024;
/// Each connection of a caller may hold one head in memory.
pub const HEAD_LIMIT_BYTES: usize = 1 << 20;
/// Bodies of callers are held whole in memory.
pub const CLIENT_BODY_LIMIT_BYTES: usize = 64 << 20;
/// As many upstreams as a call with the largest allowance of retries reaches.
pub const ATTEMPT_LIMIT: u32 = 17;
