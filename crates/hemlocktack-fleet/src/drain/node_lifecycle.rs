//! A node from its start to a stop that cuts nothing off.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{NodeState, UpstreamState};

use strum::{Display, EnumIter, EnumString};

use super::upstream_lifecycle::{Announcement, Upstream, UpstreamSettings};

/// A rule that a mutation run switches off, to show that the run notices.
/// A node never does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum DrainSafeguard {
    /// A draining upstream's late renewal does not bring it back.
    LateRenewal,
    /// A stop waits for the calls in flight.
    WaitForCalls,
}

/// How a node stops.
#[derive(Clone, Debug)]
pub struct DrainSettings {
    /// A draining node stays at least so long, refusing, so that others have
    /// heard of the drain before it cannot answer any more.
    pub min_drain_time: Duration,
    /// Longest that calls in flight are waited for, by the operators' choice.
    /// Where it is exceeded, the calls left are reported and end as unknown.
    pub hard_limit: Option<Duration>,
    /// Longest that a handover is waited for.
    pub handover_limit: Duration,
    /// Periods of the upstream's announcements.
    pub upstream: UpstreamSettings,
    /// Rule that a mutation run leaves out.
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

/// What the runtime has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Tell the members (`Membership::update_own`).
    Publish(PublishedState),
    /// Nothing is in flight: give the tickets to a successor, then call
    /// [`NodeLifecycle::handed_over`].
    HandOver,
    /// The hard limit was exceeded with calls still in flight.
    ReportOverrun {
        /// Calls that will be cut off.
        in_flight: usize,
    },
    /// Close the listeners and exit.
    Leave,
}

/// What members are told of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedState {
    /// State of the node.
    pub state: NodeState,
    /// State of its upstream.
    pub upstream: UpstreamState,
    /// Calls that the upstream runs side by side.
    pub slots: u32,
}

/// Where a stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    None,
    WaitingForCalls { since: Instant },
    HandingOver { since: Instant },
    Done,
}

/// The life of one node and its upstream.
pub struct NodeLifecycle {
    settings: DrainSettings,
    caught_up: bool,
    stop: Stop,
    upstream: Upstream,
    published: PublishedState,
}

impl NodeLifecycle {
    /// A node that has just started.
    pub fn new(settings: DrainSettings, now: Instant) -> Self {
        let upstream = Upstream::new(settings.upstream.clone(), now);
        Self {
            settings,
            caught_up: false,
            stop: Stop::None,
            upstream,
            published: PublishedState {
                state: NodeState::Starting,
                upstream: UpstreamState::Absent,
                slots: 0,
            },
        }
    }

    /// What members were told last.
    pub fn publication(&self) -> PublishedState {
        self.published
    }

    /// State of this node.
    pub fn state(&self) -> NodeState {
        match self.stop {
            Stop::None if self.caught_up => NodeState::Ready,
            Stop::None => NodeState::Starting,
            Stop::WaitingForCalls { .. } | Stop::HandingOver { .. } => NodeState::Draining,
            Stop::Done => NodeState::Left,
        }
    }

    /// State of the upstream beside it.
    pub fn upstream(&self) -> UpstreamState {
        self.upstream.state()
    }

    /// Whether a call may be handed to the upstream now.
    pub fn accepts_new_calls(&self) -> bool {
        let upstream = self.upstream();
        self.state() == NodeState::Ready
            && matches!(upstream, UpstreamState::Cold | UpstreamState::Ready)
    }

    /// The configuration has caught up.
    pub fn configuration_caught_up(&mut self) -> Vec<LifecycleAction> {
        self.caught_up = true;
        self.publish_changes()
    }

    /// The upstream announced itself or renewed its announcement.
    pub fn announce(&mut self, now: Instant, announcement: Announcement) -> Vec<LifecycleAction> {
        let keeps = self.settings.disabled_safeguard != Some(DrainSafeguard::LateRenewal);
        self.upstream.announce(now, announcement, keeps);
        self.publish_changes()
    }

    /// The upstream asked for no more work.
    pub fn drain_upstream(&mut self) -> Vec<LifecycleAction> {
        self.upstream.drain();
        self.publish_changes()
    }

    /// The operators have set another limit for calls in flight at a stop.
    pub fn set_hard_limit(&mut self, hard_limit: Duration) {
        self.settings.hard_limit = Some(hard_limit);
    }

    /// This node is to stop: by a signal, by an operator's command, or since it
    /// has been replaced. Repeating it changes nothing.
    pub fn drain(&mut self, now: Instant) -> Vec<LifecycleAction> {
        if self.stop == Stop::None {
            self.stop = Stop::WaitingForCalls { since: now };
        }
        self.publish_changes()
    }

    /// The tickets have a new home, or none could be found.
    pub fn handed_over(&mut self) -> Vec<LifecycleAction> {
        if !matches!(self.stop, Stop::HandingOver { .. }) {
            return Vec::new();
        }
        self.stop = Stop::Done;
        let mut actions = self.publish_changes();
        actions.push(LifecycleAction::Leave);
        actions
    }

    /// To be called several times a second: an upstream's announcement may
    /// have lapsed.
    pub fn check_upstream(&mut self, now: Instant) -> Vec<LifecycleAction> {
        self.upstream.tick(now);
        self.publish_changes()
    }

    /// To be called several times a second during a stop, with the calls in
    /// flight here in both roles.
    pub fn check_stop(&mut self, now: Instant, in_flight: usize) -> Vec<LifecycleAction> {
        let mut actions = Vec::new();
        match self.stop {
            Stop::WaitingForCalls { since } => {
                self.wait_for_calls(now, since, in_flight, &mut actions);
            }
            Stop::HandingOver { since } => {
                if now.saturating_duration_since(since) >= self.settings.handover_limit {
                    actions.append(&mut self.handed_over());
                }
            }
            Stop::None | Stop::Done => {}
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
        let is_over = self
            .settings
            .hard_limit
            .is_some_and(|limit| waited >= limit);
        if is_over && in_flight > 0 {
            actions.push(LifecycleAction::ReportOverrun { in_flight });
        }
        let waits = self.settings.disabled_safeguard != Some(DrainSafeguard::WaitForCalls);
        let is_idle = in_flight == 0 || !waits;
        let is_settled = is_idle && waited >= self.settings.min_drain_time;
        if is_over || is_settled {
            self.stop = Stop::HandingOver { since: now };
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
