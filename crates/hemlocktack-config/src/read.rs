//! From the tables of a document to its plain data.

use toml::de::DeTable;

use crate::bounds::{
    ANSWER_LIMIT_BYTES, BODY_LIMIT_BYTES, DRAIN_LIMIT_MS, KEPT_ANSWERS_BYTES, PATIENCE_MS,
    QUARANTINE_CRASHES, QUARANTINE_MS, QUEUE_LIMIT_CALLS, RETRY_ALLOWANCE, RETRY_SHARE_PERCENT,
    TRACE_SAMPLE_PER_MILLION,
};
use crate::entry::{Entry, Reading};
use crate::{CallerKind, Class, Document, Limits, RequestRule, Service};

/// Reads what can be read and leaves a finding for the rest.
pub(crate) fn document(table: &DeTable<'_>, reading: &mut Reading) -> Document {
    let mut entry = Entry::new(String::new(), table, reading);
    let document = Document {
        limits: entry.table("limits", reading, limits).unwrap_or_default(),
        classes: entry.list("classes", reading, class),
        caller_kinds: entry.list("caller_kinds", reading, caller_kind),
        services: entry.list("services", reading, service),
        ..Document::default()
    };
    entry.finish(reading);
    document
}

fn limits(mut entry: Entry<'_, '_>, reading: &mut Reading) -> Limits {
    let limits = Limits {
        drain_limit_ms: entry.number(DRAIN_LIMIT_MS, reading),
        kept_answers_bytes: entry.number(KEPT_ANSWERS_BYTES, reading),
        trace_sample_per_million: entry.number(TRACE_SAMPLE_PER_MILLION, reading) as u32,
        retry_share_percent: entry.number(RETRY_SHARE_PERCENT, reading) as u32,
        quarantine_crashes: entry.number(QUARANTINE_CRASHES, reading) as u32,
        quarantine_ms: entry.number(QUARANTINE_MS, reading),
    };
    entry.finish(reading);
    limits
}

fn class(mut entry: Entry<'_, '_>, reading: &mut Reading) -> Class {
    let class = Class {
        name: entry.text("name", reading),
    };
    entry.finish(reading);
    class
}

fn caller_kind(mut entry: Entry<'_, '_>, reading: &mut Reading) -> CallerKind {
    let kind = CallerKind {
        name: entry.text("name", reading),
        patience_ms: entry.number(PATIENCE_MS, reading),
        retry_allowance: entry.number(RETRY_ALLOWANCE, reading) as u32,
    };
    entry.finish(reading);
    kind
}

fn service(mut entry: Entry<'_, '_>, reading: &mut Reading) -> Service {
    let service = Service {
        body_limit_bytes: entry.number(BODY_LIMIT_BYTES, reading) as usize,
        answer_limit_bytes: entry.number(ANSWER_LIMIT_BYTES, reading) as usize,
        queue_limit_calls: entry.number(QUEUE_LIMIT_CALLS, reading) as usize,
        requests: entry.list("requests", reading, request_rule),
        ..Service::new(entry.text("name", reading))
    };
    entry.finish(reading);
    service
}

fn request_rule(mut entry: Entry<'_, '_>, reading: &mut Reading) -> RequestRule {
    let rule = RequestRule {
        method: entry.text("method", reading),
        path_prefix: entry.text("path_prefix", reading),
        class: entry.text("class", reading),
        idempotent: entry.flag("idempotent", reading),
    };
    entry.finish(reading);
    rule
}
