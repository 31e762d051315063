//! Converts the tables of a document to its plain data types.

use toml::de::DeTable;

use crate::accounts::{ClientAccount, Quota};
use crate::bounds::{
    ANSWER_LIMIT_BYTES, BODY_LIMIT_BYTES, BURST_REQUESTS, DRAIN_LIMIT_MS, KEPT_ANSWERS_BYTES,
    PATIENCE_MS, PRIORITY, QUARANTINE_CRASHES, QUARANTINE_MS, QUEUE_LIMIT_CALLS, RATE_PER_S,
    RETRY_ALLOWANCE, RETRY_SHARE_PERCENT, TRACE_SAMPLE_PER_MILLION,
};
use crate::table_reader::{ParseState, TableReader};
use crate::{CallerKind, Class, Document, Limits, RequestRule, Service};

/// Reads every valid field and adds a finding for each of the others.
pub(crate) fn document(table: &DeTable<'_>, state: &mut ParseState) -> Document {
    let mut reader = TableReader::new(String::new(), table, state);
    let document = Document {
        limits: reader.table("limits", state, limits).unwrap_or_default(),
        classes: reader.list("classes", state, class),
        caller_kinds: reader.list("caller_kinds", state, caller_kind),
        services: reader.list("services", state, service),
        client_accounts: reader.list("client_accounts", state, account),
        ..Document::default()
    };
    reader.finish(state);
    document
}

fn limits(mut reader: TableReader<'_, '_>, state: &mut ParseState) -> Limits {
    let limits = Limits {
        drain_limit_ms: reader.integer(DRAIN_LIMIT_MS, state),
        kept_answers_bytes: reader.integer(KEPT_ANSWERS_BYTES, state),
        trace_sample_per_million: reader.integer(TRACE_SAMPLE_PER_MILLION, state) as u32,
        retry_share_percent: reader.integer(RETRY_SHARE_PERCENT, state) as u32,
        quarantine_crashes: reader.integer(QUARANTINE_CRASHES, state) as u32,
        quarantine_ms: reader.integer(QUARANTINE_MS, state),
    };
    reader.finish(state);
    limits
}

fn class(mut reader: TableReader<'_, '_>, state: &mut ParseState) -> Class {
    let class = Class {
        name: reader.string("name", state),
    };
    reader.finish(state);
    class
}

fn caller_kind(mut reader: TableReader<'_, '_>, state: &mut ParseState) -> CallerKind {
    let kind = CallerKind {
        name: reader.string("name", state),
        patience_ms: reader.integer(PATIENCE_MS, state),
        retry_allowance: reader.integer(RETRY_ALLOWANCE, state) as u32,
    };
    reader.finish(state);
    kind
}

fn account(mut reader: TableReader<'_, '_>, state: &mut ParseState) -> ClientAccount {
    let rate_per_s = reader.integer(RATE_PER_S, state);
    let burst_requests = reader.integer(BURST_REQUESTS, state);
    reader.check_both_or_neither([RATE_PER_S.field, BURST_REQUESTS.field], state);
    let account = ClientAccount {
        name: reader.string("name", state),
        keys: reader.digests("key_digests", state),
        priority: reader
            .optional_integer(PRIORITY, state)
            .map(|rank| rank as u32),
        quota: (rate_per_s > 0).then_some(Quota {
            rate_per_s,
            burst_requests,
        }),
    };
    reader.finish(state);
    account
}

fn service(mut reader: TableReader<'_, '_>, state: &mut ParseState) -> Service {
    let service = Service {
        body_limit_bytes: reader.integer(BODY_LIMIT_BYTES, state) as usize,
        answer_limit_bytes: reader.integer(ANSWER_LIMIT_BYTES, state) as usize,
        queue_limit_calls: reader.integer(QUEUE_LIMIT_CALLS, state) as usize,
        requests: reader.list("requests", state, request_rule),
        ..Service::new(reader.string("name", state))
    };
    reader.finish(state);
    service
}

fn request_rule(mut reader: TableReader<'_, '_>, state: &mut ParseState) -> RequestRule {
    let rule = RequestRule {
        method: reader.string("method", state),
        path_prefix: reader.string("path_prefix", state),
        class: reader.string("class", state),
        idempotent: reader.boolean("idempotent", state),
    };
    reader.finish(state);
    rule
}
