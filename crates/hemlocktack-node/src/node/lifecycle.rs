//! From the node's start to its planned stop.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_fleet::drain::{LifecycleAction, NodeLifecycle, PublishedState};
use hemlocktack_protocol::NodeState;

use super::Node;

/// A stopping node takes requests for this long: readiness is asked once a
/// second, and two refusals send callers elsewhere.
const ENTRIES_TAKEN_IN_STOP: Duration = Duration::from_millis(2_800);

impl Node {
    /// An operator wants this node to drain and stop; once is enough.
    pub(crate) fn request_stop(&self) {
        self.stop_request.notify_one();
    }

    /// Ends when an operator has ordered the stop.
    pub(crate) async fn stop_requested(&self) {
        self.stop_request.notified().await;
    }

    /// Takes nothing new for the upstream from now on.
    pub(crate) fn begin_stop(&self) {
        let _ = self.stop_began.set(Instant::now());
        self.update_lifecycle(|life, now| life.drain(now));
    }

    /// Time left of a planned stop for calls in flight; none before it begins.
    pub(crate) fn drain_time_left(&self) -> Duration {
        let limit = super::policies::drain_limit(&self.adjustable());
        let elapsed = self.stop_began.get().map(Instant::elapsed);
        elapsed.map_or(Duration::ZERO, |elapsed| limit.saturating_sub(elapsed))
    }

    /// Whether requests that enter now are refused because the node stops.
    ///
    /// Failure: the platform sends callers elsewhere only once the node has
    /// said twice that it is not ready. Refusing before that would turn away
    /// callers who had no way to know; taking requests until the end would cut
    /// those off that are not done by then.
    pub(crate) fn refuses_entries(&self) -> bool {
        self.stop_began
            .get()
            .is_some_and(|began| began.elapsed() >= ENTRIES_TAKEN_IN_STOP)
    }

    /// Whether nothing is passed on any more: the stop waits for the answers to
    /// what was passed on before, and for nothing else.
    pub(crate) fn has_closed(&self) -> bool {
        self.signals.closing.is_cancelled()
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.state(), NodeState::Draining | NodeState::Left)
    }

    pub(crate) fn state(&self) -> NodeState {
        self.publication().state
    }

    /// What others are told of this node and its upstream.
    pub(crate) fn publication(&self) -> PublishedState {
        **self.publication.load()
    }

    /// Lets something happen in the life of this node; what it publishes then
    /// is told to members at once.
    pub(crate) fn update_lifecycle(
        &self,
        change: impl FnOnce(&mut NodeLifecycle, Instant) -> Vec<LifecycleAction>,
    ) -> Vec<LifecycleAction> {
        let mut life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = change(&mut life, Instant::now());
        for action in &actions {
            if let LifecycleAction::Publish(publication) = action {
                self.publication.store(Arc::new(*publication));
                self.signals.own_record_changed.notify_one();
            }
        }
        actions
    }
}
