//! The most recent spans of a node, kept for operators' queries.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use crate::{SpanRecord, TraceId};

/// Traces are distributed over shards by their ids, so that threads which end spans at the same
/// time rarely contend for a lock.
const SHARDS: usize = 16;

/// Bounded buffer of spans; the oldest ones are evicted first.
#[derive(Debug)]
pub struct RecentSpans {
    shards: [Mutex<VecDeque<SpanRecord>>; SHARDS],
    shard_limit: usize,
}

impl RecentSpans {
    /// Creates a buffer for about `limit` spans.
    pub fn new(limit: usize) -> Self {
        RecentSpans {
            shards: std::array::from_fn(|_| Mutex::default()),
            shard_limit: limit.div_ceil(SHARDS).max(1),
        }
    }

    /// Adds a span, and evicts the oldest one of its shard if that is full.
    pub fn push(&self, record: SpanRecord) {
        let mut shard = self
            .shard(record.trace_id)
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if shard.len() == self.shard_limit {
            shard.pop_front();
        }
        shard.push_back(record);
    }

    /// Returns the kept spans of a trace, in the order in which they ended.
    pub fn of_trace(&self, trace_id: TraceId) -> Vec<SpanRecord> {
        let shard = self
            .shard(trace_id)
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        shard
            .iter()
            .filter(|record| record.trace_id == trace_id)
            .cloned()
            .collect()
    }

    /// Returns the shard of a trace. The standard makes the low bits of trace ids random;
    /// sequential ids are distributed evenly too.
    fn shard(&self, trace_id: TraceId) -> &Mutex<VecDeque<SpanRecord>> {
        &self.shards[(trace_id % SHARDS as TraceId) as usize]
    }
}
