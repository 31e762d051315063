//! Lifecycle of a node, from its start to its planned stop.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_fleet::drain::{LifecycleAction, NodeLifecycle, PublishedState};
use hemlocktack_protocol::NodeState;

use super::Node;

/// How long a stopping node still accepts requests from callers. Readiness is probed once
/// per second, and after two failed probes callers are sent to other nodes.
const ENTRY_ACCEPT_TIME: Duration = Duration::from_millis(2_800);

impl Node {
    /// Requests the drain and stop of this node. Repeated requests have no further effect.
    pub(crate) fn request_stop(&self) {
        self.stop_request.notify_one();
    }

    /// Completes when a stop has been requested.
    pub(crate) async fn stop_requested(&self) {
        self.stop_request.notified().await;
    }

    /// Begins the planned stop: no new calls are accepted for the upstream.
    pub(crate) fn begin_stop(&self) {
        let _ = self.stop_began.set(Instant::now());
        self.update_lifecycle(|life, now| life.drain(now));
    }

    /// Returns the time that a planned stop still waits for calls in flight; zero before the
    /// stop begins.
    pub(crate) fn drain_time_left(&self) -> Duration {
        let limit = super::policies::drain_limit(&self.adjustable());
        let elapsed = self.stop_began.get().map(Instant::elapsed);
        elapsed.map_or(Duration::ZERO, |elapsed| limit.saturating_sub(elapsed))
    }

    /// Returns how long a planned stop sends final responses after its drain limit.
    pub(crate) fn final_responses_time(&self) -> Duration {
        super::policies::final_responses_time(&self.adjustable())
    }

    /// Returns whether new requests from callers are refused because the node is stopping.
    ///
    /// The platform redirects callers only after two failed readiness probes. Refusing
    /// earlier would fail requests of callers that could not know of the stop; accepting
    /// until the end would interrupt requests that do not finish in time.
    pub(crate) fn refuses_entries(&self) -> bool {
        self.stop_began
            .get()
            .is_some_and(|began| began.elapsed() >= ENTRY_ACCEPT_TIME)
    }

    /// Returns whether requests are no longer forwarded. The stop then only waits for the
    /// answers to requests that were forwarded before.
    pub(crate) fn has_closed(&self) -> bool {
        self.signals.closing.is_cancelled()
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.state(), NodeState::Draining | NodeState::Left)
    }

    pub(crate) fn state(&self) -> NodeState {
        self.published_state().state
    }

    /// Returns the state of this node and its upstream published to members.
    pub(crate) fn published_state(&self) -> PublishedState {
        **self.published_state.load()
    }

    /// Applies a change to the node's lifecycle. If that changes the published state, members
    /// are notified at once.
    pub(crate) fn update_lifecycle(
        &self,
        change: impl FnOnce(&mut NodeLifecycle, Instant) -> Vec<LifecycleAction>,
    ) -> Vec<LifecycleAction> {
        let mut lifecycle = self
            .lifecycle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let actions = change(&mut lifecycle, Instant::now());
        for action in &actions {
            if let LifecycleAction::Publish(state) = action {
                self.published_state.store(Arc::new(*state));
                self.signals.own_record_changed.notify_one();
            }
        }
        actions
    }
}
