//! Whether the far end of a link is still there, while calls wait on it.

use std::time::{Duration, Instant};

/// Numbers of [`LinkMonitor`].
#[derive(Clone, Copy, Debug)]
pub struct LinkMonitorPolicy {
    /// Silence on a link with calls that wait, after which the far end is asked
    /// for an echo. Most calls are answered sooner, and cost no echo.
    pub asked_after: Duration,
    /// Longest wait for anything from the far end after that. A packet that is
    /// lost is sent again after 200 ms, so one lost packet is not taken for a
    /// lost peer; two in a row cost a new connection.
    pub echo_within: Duration,
    /// Time between two looks at a link that seems lost: what came while this
    /// node did not run lies unread until then.
    pub looked_again_after: Duration,
}

impl Default for LinkMonitorPolicy {
    fn default() -> Self {
        LinkMonitorPolicy {
            asked_after: Duration::from_millis(150),
            echo_within: Duration::from_millis(250),
            looked_again_after: Duration::from_millis(20),
        }
    }
}

/// What to do about a link now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Nothing until then.
    Wait(Instant),
    /// Ask the far end for an echo, and look again then.
    RequestEcho(Instant),
    /// It is gone, or the way to it.
    Lost,
}

/// Watches one link for one call that waits on it. Each call has a watch of its
/// own: what any of them hears counts for all, and the first that gives the link
/// up closes it for all.
///
/// Load: any; a peer that lost power, stands still or is cut off, or a
/// connection that a path has forgotten. Harm: nothing says so, and every call
/// there waits for its caller's whole patience, until the fleet's probes have
/// come round to the peer; of many lost at once that takes seconds. The far end
/// answers an echo whatever its upstream does, so silence after one is the
/// node's or the way's own, and calls learn of it within 0.4 s.
#[derive(Debug)]
pub struct LinkMonitor {
    policy: LinkMonitorPolicy,
    asked: Option<Instant>,
    seemed_lost: bool,
}

impl LinkMonitor {
    /// Has not asked yet.
    pub fn new(policy: LinkMonitorPolicy) -> Self {
        LinkMonitor {
            policy,
            asked: None,
            seemed_lost: false,
        }
    }

    /// To be asked when the wait that was given last is over. `heard` is when
    /// anything came over the link last, or when the call was sent, whichever is
    /// later.
    pub fn check(&mut self, heard: Instant, now: Instant) -> LinkAction {
        let Some(asked) = self.asked.filter(|asked| heard <= *asked) else {
            return self.look_for_silence(heard, now);
        };
        let until = asked + self.policy.echo_within;
        if now < until {
            return LinkAction::Wait(until);
        }
        if !std::mem::replace(&mut self.seemed_lost, true) {
            return LinkAction::Wait(now + self.policy.looked_again_after);
        }
        LinkAction::Lost
    }

    fn look_for_silence(&mut self, heard: Instant, now: Instant) -> LinkAction {
        self.asked = None;
        self.seemed_lost = false;
        let until = heard + self.policy.asked_after;
        if now < until {
            return LinkAction::Wait(until);
        }
        self.asked = Some(now);
        LinkAction::RequestEcho(now + self.policy.echo_within)
    }
}
