//! The last spans of a node, kept for operators' questions.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use crate::{SpanRecord, TraceId};

/// Traces are spread over these by their number, so that threads which end
/// spans at the same time seldom meet.
const SHARDS: usize = 16;

/// A bounded number of spans; the oldest go first.
#[derive(Debug)]
pub struct RecentSpans {
    shards: [Mutex<VecDeque<SpanRecord>>; SHARDS],
    shard_limit: usize,
}

impl RecentSpans {
    /// Keeps about `limit` spans.
    pub fn new(limit: usize) -> Self {
        RecentSpans {
            shards: std::array::from_fn(|_| Mutex::default()),
            shard_limit: limit.div_ceil(SHARDS).max(1),
        }
    }

    /// Keeps a span, in place of the oldest one where there is no room.
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

    /// The kept spans of a trace, in the order in which they ended.
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

    /// Trace ids are random in their low bits by the standard; a caller that
    /// counts up spreads as well.
    fn shard(&self, trace_id: TraceId) -> &Mutex<VecDeque<SpanRecord>> {
        &self.shards[(trace_id % SHARDS as TraceId) as usize]
    }
}
