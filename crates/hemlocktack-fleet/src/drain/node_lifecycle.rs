//! Lifecycle of a node, from its start to a graceful stop.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{NodeState, UpstreamState};

use strum::{Display, EnumIter, EnumString};

use super::upstream_lifecycle::{Announcement, Upstream, UpstreamSettings};

/// A safeguard that a mutation test disables, to show that the randomised runs detect its absence.
/// A node never disables one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum DrainSafeguard {
    /// A late renewal by a draining upstream does not make it available again.
    LateRenewal,
    /// A stop waits for the calls in flight.
    WaitForCalls,
}

/// Settings of a node's planned stop.
#[derive(Clone, Debug)]
pub struct DrainSettings {
    /// Minimum duration of a drain, during which the node refuses new calls, so that other nodes
    /// learn of the drain before this node stops answering.
    pub min_drain_time: Duration,
    /// Maximum time to wait for calls in flight, set by the operators. When it is exceeded, the
    /// remaining calls are reported and end as unknown.
    pub hard_limit: Option<Duration>,
    /// Maximum time to wait for the handover.
    pub handover_limit: Duration,
    /// Timing of the upstream's announcements.
    pub upstream: UpstreamSettings,
    /// Safeguard that a mutation test disables.
    pub disabled_safeguard: Option<DrainSafeguard>,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            min_drain_time: Duration::from_secs(3),
            hard_limit: None,
            handover_limit: Duration::from_secs(10),
            upstream: UpstreamSettings::default(),
            disabled_safeguard: None,
        }
    }
}

/// Action for the runtime to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Publish the state to the members (`Membership::update_own`).
    Publish(PublishedState),
    /// The wait for calls in flight is over: hand the tickets over to a successor, then call
    /// [`NodeLifecycle::handed_over`].
    HandOver,
    /// The hard limit was exceeded with calls still in flight.
    ReportOverrun {
        /// Number of calls that will be aborted.
        in_flight: usize,
    },
    /// Close the listeners and exit.
    Leave,
}

/// State of a node and its upstream that is published to the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedState {
    /// State of the node.
    pub state: NodeState,
    /// State of its upstream.
    pub upstream: UpstreamState,
    /// Number of calls that the upstream runs concurrently.
    pub slots: u32,
}

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopPhase {
    None,
    WaitingForCalls { since: Instant },
    HandingOver { since: Instant },
    Done,
}

/// State machine for the lifecycle of one node and its upstream.
pub struct NodeLifecycle {
    settings: DrainSettings,
    caught_up: bool,
    stop: StopPhase,
    upstream: Upstream,
    published: PublishedState,
}

impl NodeLifecycle {
    /// Creates the state of a node that has just started.
    pub fn new(settings: DrainSettings, now: Instant) -> Self {
        let upstream = Upstream::new(settings.upstream.clone(), now);
        Self {
            settings,
            caught_up: false,
            stop: StopPhase::None,
            upstream,
            published: PublishedState {
                state: NodeState::Starting,
                upstream: UpstreamState::Absent,
                slots: 0,
            },
        }
    }

    /// Returns the state that was published last.
    pub fn publication(&self) -> PublishedState {
        self.published
    }

    /// Returns the state of this node.
    pub fn state(&self) -> NodeState {
        match self.stop {
            StopPhase::None if self.caught_up => NodeState::Ready,
            StopPhase::None => NodeState::Starting,
            StopPhase::WaitingForCalls { .. } | StopPhase::HandingOver { .. } => {
                NodeState::Draining
            }
            StopPhase::Done => NodeState::Left,
        }
    }

    /// Returns the state of this node's upstream.
    pub fn upstream(&self) -> UpstreamState {
        self.upstream.state()
    }

    /// Returns whether a new call may be sent to the upstream now.
    pub fn accepts_new_calls(&self) -> bool {
        let upstream = self.upstream();
        self.state() == NodeState::Ready
            && matches!(upstream, UpstreamState::Cold | UpstreamState::Ready)
    }

    /// Handles that the configuration has caught up.
    pub fn configuration_caught_up(&mut self) -> Vec<LifecycleAction> {
        self.caught_up = true;
        self.publish_changes()
    }

    /// Handles an announcement of the upstream or its renewal.
    pub fn announce(&mut self, now: Instant, announcement: Announcement) -> Vec<LifecycleAction> {
        let ignore_late_renewals =
            self.settings.disabled_safeguard != Some(DrainSafeguard::LateRenewal);
        self.upstream
            .announce(now, announcement, ignore_late_renewals);
        self.publish_changes()
    }

    /// Handles a request of the upstream to get no more calls.
    pub fn drain_upstream(&mut self) -> Vec<LifecycleAction> {
        self.upstream.drain();
        self.publish_changes()
    }

    /// Changes the maximum time to wait for calls in flight.
    pub fn set_hard_limit(&mut self, hard_limit: Duration) {
        self.settings.hard_limit = Some(hard_limit);
    }

    /// Starts the planned stop: after a signal or an operator's command, or because this node has
    /// been replaced. Idempotent.
    pub fn drain(&mut self, now: Instant) -> Vec<LifecycleAction> {
        if self.stop == StopPhase::None {
            self.stop = StopPhase::WaitingForCalls { since: now };
        }
        self.publish_changes()
    }

    /// Handles the end of the handover, whether or not a successor took the tickets.
    pub fn handed_over(&mut self) -> Vec<LifecycleAction> {
        if !matches!(self.stop, StopPhase::HandingOver { .. }) {
            return Vec::new();
        }
        self.stop = StopPhase::Done;
        let mut actions = self.publish_changes();
        actions.push(LifecycleAction::Leave);
        actions
    }

    /// Checks whether the upstream's announcement has expired; must be called several times per
    /// second.
    pub fn check_upstream(&mut self, now: Instant) -> Vec<LifecycleAction> {
        self.upstream.tick(now);
        self.publish_changes()
    }

    /// Advances a planned stop; must be called several times per second while it lasts.
    ///
    /// `in_flight` is the number of calls in flight on this node, both those that entered here and
    /// those that run here.
    pub fn check_stop(&mut self, now: Instant, in_flight: usize) -> Vec<LifecycleAction> {
        let mut actions = Vec::new();
        match self.stop {
            StopPhase::WaitingForCalls { since } => {
                self.wait_for_calls(now, since, in_flight, &mut actions);
            }
            StopPhase::HandingOver { since } => {
                if now.saturating_duration_since(since) >= self.settings.handover_limit {
                    actions.append(&mut self.handed_over());
                }
            }
            StopPhase::None | StopPhase::Done => {}
        }
        actions
    }

    fn wait_for_calls(
        &mut self,
        now: Instant,
        since: Instant,
        in_flight: usize,
        actions: &mut Vec<LifecycleAction>,
    ) {
        let waited = now.saturating_duration_since(since);
        let limit_reached = self
            .settings
            .hard_limit
            .is_some_and(|limit| waited >= limit);
        if limit_reached && in_flight > 0 {
            actions.push(LifecycleAction::ReportOverrun { in_flight });
        }
        let waits_for_calls =
            self.settings.disabled_safeguard != Some(DrainSafeguard::WaitForCalls);
        let is_idle = in_flight == 0 || !waits_for_calls;
        let may_hand_over = is_idle && waited >= self.settings.min_drain_time;
        if limit_reached || may_hand_over {
            self.stop = StopPhase::HandingOver { since: now };
            actions.push(LifecycleAction::HandOver);
        }
    }

    fn publish_changes(&mut self) -> Vec<LifecycleAction> {
        let current = PublishedState {
            state: self.state(),
            upstream: self.upstream(),
            slots: self.upstream.slots,
        };
        if current == self.published {
            return Vec::new();
        }
        self.published = current;
        vec![LifecycleAction::Publish(current)]
    }
}
