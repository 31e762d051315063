//! A request that runs before hyper has read it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hemlocktack_interface::Interface;
use http::{Request, Response, request};
use http_body_util::{Either, Empty};
use hyper::body::Body;
use tokio_util::task::AbortOnDropHandle;

use crate::calls::CallerWatch;
use crate::gateway::requests;
use crate::gateway::tracked_body::TrackedBody;
use crate::node::Node;

/// A running early request. If it is dropped, the request is cancelled.
pub(in crate::gateway) struct EarlyRequest {
    task: AbortOnDropHandle<Option<HeldResponse>>,
    discard: DiscardGuard,
}

/// How an early request ends.
pub(in crate::gateway) enum EarlyEnd {
    Answered(Response<TrackedBody>),
    CallerLeft,
    /// A bug of the node interrupted it.
    Failed,
}

/// Total size of the responses that wait for an earlier one.
#[derive(Clone, Default)]
pub(super) struct HeldBytes {
    total: Arc<AtomicUsize>,
}

struct HeldResponse {
    response: Response<TrackedBody>,
    _held: HeldGuard,
}

/// Counts a response as held until the guard is dropped.
struct HeldGuard {
    held: HeldBytes,
    length_bytes: usize,
}

/// Counts an early request as discarded unless its response is taken.
struct DiscardGuard {
    node: Arc<Node>,
    is_taken: bool,
}

impl EarlyRequest {
    /// Starts the request with a body of no bytes.
    pub(super) fn start(
        node: &Arc<Node>,
        interface: Interface,
        mut head: request::Parts,
        watch: &CallerWatch,
        held: &HeldBytes,
    ) -> Self {
        node.counters.record_early_start();
        head.extensions.insert(watch.clone());
        let request = Request::from_parts(head, Either::Right(Empty::new()));
        let answering = requests::answer(node.clone(), interface, request);
        let (watch, held) = (watch.clone(), held.clone());
        let task = tokio::spawn(async move {
            tokio::select! {
                biased;
                response = answering => Some(held.hold(response)),
                () = watch.left() => None,
            }
        });
        Self {
            task: AbortOnDropHandle::new(task),
            discard: DiscardGuard {
                node: node.clone(),
                is_taken: false,
            },
        }
    }

    /// Waits for the response.
    pub(in crate::gateway) async fn wait(mut self) -> EarlyEnd {
        let ended = (&mut self.task).await;
        match ended {
            Ok(Some(held)) => {
                self.discard.is_taken = true;
                EarlyEnd::Answered(held.response)
            }
            Ok(None) => EarlyEnd::CallerLeft,
            Err(_) => EarlyEnd::Failed,
        }
    }
}

impl HeldBytes {
    pub(super) fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    fn hold(self, response: Response<TrackedBody>) -> HeldResponse {
        let length_bytes = response.body().size_hint().lower() as usize;
        self.total.fetch_add(length_bytes, Ordering::Relaxed);
        HeldResponse {
            response,
            _held: HeldGuard {
                held: self,
                length_bytes,
            },
        }
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        let total = &self.held.total;
        total.fetch_sub(self.length_bytes, Ordering::Relaxed);
    }
}

impl Drop for DiscardGuard {
    fn drop(&mut self) {
        if !self.is_taken {
            self.node.counters.record_early_discard();
        }
    }
}
