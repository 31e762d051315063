//! Bodies of callers' requests, whatever their interface.

use std::time::Instant;

use bytes::Bytes;
use futures::Stream;
use hemlocktack_decide::BodyOwner;
use hemlocktack_protocol::{ClassRank, Reason};

use super::budget::BodyNeed;
use super::buffer::{BodyPlan, CollectError};
use super::log::{log_body_displaced, log_body_refused};
use crate::node::Node;

/// The body of a caller's request, before it is read.
pub(crate) struct CallerBody<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) class_rank: ClassRank,
    pub(crate) began: Instant,
    pub(crate) deadline: Instant,
    /// Its length, if that is known.
    pub(crate) length_bytes: Option<usize>,
    pub(crate) limit_bytes: usize,
}

impl CallerBody<'_> {
    /// Collects the body from its pieces; returns why the request can't run if that fails.
    pub(crate) async fn collect<E>(
        &self,
        node: &Node,
        pieces: impl Stream<Item = Result<Bytes, E>> + Unpin,
    ) -> Result<Bytes, Reason> {
        let need = BodyNeed {
            owner: BodyOwner::Caller,
            class_rank: self.class_rank,
            refuse_at: super::wait_limit(self.began, self.deadline),
        };
        let plan = BodyPlan {
            length_bytes: self.length_bytes,
            limit_bytes: self.limit_bytes,
            may_be_displaced: true,
        };
        let collected = node.memory.collect(&need, plan, pieces).await;
        collected.map_err(|error| match error {
            CollectError::TooLarge => Reason::BodyTooLarge,
            CollectError::NoMemory(refusal) => {
                log_body_refused(node, self.request_id, need.owner, &refusal);
                Reason::MemoryFull
            }
            CollectError::Standstill => {
                log_body_displaced(node, self.request_id, self.began);
                Reason::MemoryFull
            }
            CollectError::Source(_) => Reason::MalformedRequest,
        })
    }
}
