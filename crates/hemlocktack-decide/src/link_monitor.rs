//! Detects a lost link while calls wait on it.

use std::time::{Duration, Instant};

/// Parameters of [`LinkMonitor`].
#[derive(Clone, Copy, Debug)]
pub struct LinkMonitorPolicy {
    /// Silence on a link with pending calls after which an echo is requested. Most calls are
    /// answered sooner and need no echo.
    pub echo_after: Duration,
    /// Maximum wait for any data from the peer after an echo request. A lost packet is
    /// retransmitted after 200 ms, so that one lost packet does not count as a lost peer; two in
    /// a row cost a new connection.
    pub echo_timeout: Duration,
    /// Delay before a link that seems lost is checked again, so that data received while this
    /// node was suspended can be read first.
    pub recheck_after: Duration,
}

impl Default for LinkMonitorPolicy {
    fn default() -> Self {
        LinkMonitorPolicy {
            echo_after: Duration::from_millis(150),
            echo_timeout: Duration::from_millis(250),
            recheck_after: Duration::from_millis(20),
        }
    }
}

/// Next action on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Do nothing until this time.
    Wait(Instant),
    /// Request an echo from the peer and check again at this time.
    RequestEcho(Instant),
    /// The peer or the connection to it is lost.
    Lost,
}

/// Monitors one link for one call that waits on it. Each call has its own monitor: data received
/// for any of them counts for all, and the first that finds the link lost closes it for all.
///
/// A peer that has lost power, is suspended or is cut off, or a connection dropped on the
/// network path, gives no sign. Without the monitor, every call on the link would wait for its
/// caller's full timeout, or until the membership probes reach the peer, which takes seconds
/// when many peers are lost at once. The peer answers an echo whatever the state of its
/// upstream, so silence after an echo request means that the node or the path has failed; calls
/// learn of it within 0.4 s.
#[derive(Debug)]
pub struct LinkMonitor {
    policy: LinkMonitorPolicy,
    echo_requested_at: Option<Instant>,
    seemed_lost: bool,
}

impl LinkMonitor {
    /// Creates a monitor that has not requested an echo yet.
    pub fn new(policy: LinkMonitorPolicy) -> Self {
        LinkMonitor {
            policy,
            echo_requested_at: None,
            seemed_lost: false,
        }
    }

    /// Returns the next action. Call it when the time returned last has passed. `last_received`
    /// is the time of the last data received on the link or the time at which the call was sent,
    /// whichever is later.
    pub fn check(&mut self, last_received: Instant, now: Instant) -> LinkAction {
        let Some(echo_requested_at) = self
            .echo_requested_at
            .filter(|echo_requested_at| last_received <= *echo_requested_at)
        else {
            return self.check_silence(last_received, now);
        };
        let until = echo_requested_at + self.policy.echo_timeout;
        if now < until {
            return LinkAction::Wait(until);
        }
        if !std::mem::replace(&mut self.seemed_lost, true) {
            return LinkAction::Wait(now + self.policy.recheck_after);
        }
        LinkAction::Lost
    }

    fn check_silence(&mut self, last_received: Instant, now: Instant) -> LinkAction {
        self.echo_requested_at = None;
        self.seemed_lost = false;
        let until = last_received + self.policy.echo_after;
        if now < until {
            return LinkAction::Wait(until);
        }
        self.echo_requested_at = Some(now);
        LinkAction::RequestEcho(now + self.policy.echo_timeout)
    }
}
