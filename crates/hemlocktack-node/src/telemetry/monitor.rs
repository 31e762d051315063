//! Logs changes of the node's state, each once.
//!
//! The parts of the node change their state where they have to; this task looks
//! at all of it together, so that a state which flaps between two looks does not
//! fill the log.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{Fingerprint, Member, NodeState, NodeStatus, UpstreamState};
use hemlocktack_telemetry::{Event, log_event};

use super::status;
use crate::node::Node;

const LOOK_EVERY: Duration = Duration::from_millis(500);
/// The platform's answers are late now and then; only what lasts is an event.
const PLATFORM_LOST_AFTER: Duration = Duration::from_secs(3);
/// Under overload shedding comes and goes with the queue; it has ended when it
/// has been away for this long.
const SHEDDING_ENDED_AFTER: Duration = Duration::from_secs(10);

/// Watches the node until the process ends.
pub(crate) async fn monitor(node: Arc<Node>) {
    let mut seen = Seen::default();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let now = Instant::now();
        let status = status(&node);
        seen.upstream(&status);
        seen.platform(&status, now);
        seen.shedding(&status, now);
        log_load(&status);
        seen.quarantine(&status);
        seen.peers(&node.members());
    }
}

/// While calls wait, what decides about them is written down with each look, so
/// that a refusal can be explained afterwards.
fn log_load(status: &NodeStatus) {
    let Some(load) = status.load.filter(|load| load.queued > 0) else {
        return;
    };
    log_event!(
        Event::CallsWait,
        in_flight = load.in_flight,
        limit = load.limit,
        queued = load.queued,
        queue_delay_us = load.queue_delay_us,
        service_time_us = load.service_time_us,
        shed_level = load.shed_level
    );
}

/// What has been logged so far.
#[derive(Default)]
struct Seen {
    upstream: UpstreamState,
    platform: Lasting,
    shedding: Lasting,
    quarantined: HashSet<Fingerprint>,
    lost_peers: HashSet<String>,
}

/// A condition that counts once it has lasted.
#[derive(Default)]
struct Lasting {
    holds: bool,
    /// Since when it is the other way round.
    differs_since: Option<Instant>,
}

impl Lasting {
    /// Whether it has just begun or ended to hold; `wait` is how long it has to
    /// be the other way round first.
    fn turns(&mut self, found: bool, wait: Duration, now: Instant) -> bool {
        if found == self.holds {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_duration_since(since) < wait {
            return false;
        }
        self.holds = found;
        self.differs_since = None;
        true
    }
}

impl Seen {
    fn upstream(&mut self, status: &NodeStatus) {
        let state = status.upstream();
        let before = std::mem::replace(&mut self.upstream, state);
        if state == before {
            return;
        }
        let was_there = matches!(before, UpstreamState::Cold | UpstreamState::Ready);
        match state {
            UpstreamState::Cold | UpstreamState::Ready if !was_there => {
                log_event!(Event::UpstreamAnnounced);
            }
            UpstreamState::Draining => log_event!(Event::UpstreamDraining),
            UpstreamState::Absent if before != UpstreamState::Unspecified => {
                log_event!(Event::UpstreamLapsed);
            }
            _ => {}
        }
    }

    fn platform(&mut self, status: &NodeStatus, now: Instant) {
        let is_lost = !status.platform_reachable;
        let wait = match is_lost {
            true => PLATFORM_LOST_AFTER,
            false => Duration::ZERO,
        };
        if !self.platform.turns(is_lost, wait, now) {
            return;
        }
        match is_lost {
            true => log_event!(Event::PlatformLost),
            false => log_event!(Event::PlatformBack),
        }
    }

    fn shedding(&mut self, status: &NodeStatus, now: Instant) {
        let sheds = status.load.is_some_and(|load| load.shed_level > 0);
        let wait = match sheds {
            true => Duration::ZERO,
            false => SHEDDING_ENDED_AFTER,
        };
        if !self.shedding.turns(sheds, wait, now) {
            return;
        }
        let queued_count = status.load.map_or(0, |load| load.queued);
        match sheds {
            true => log_event!(Event::SheddingBegun, queued_count),
            false => log_event!(Event::SheddingEnded),
        }
    }

    fn quarantine(&mut self, status: &NodeStatus) {
        let refused = status.quarantined_fingerprints.iter().copied();
        let refused = refused.collect::<HashSet<_>>();
        for fingerprint in refused.difference(&self.quarantined) {
            let fingerprint = format!("{fingerprint:016x}");
            log_event!(Event::RequestQuarantined, fingerprint);
        }
        self.quarantined = refused;
    }

    fn peers(&mut self, members: &[Member]) {
        let dead = members
            .iter()
            .filter(|member| member.state() == NodeState::Dead)
            .map(|member| member.node_id.clone())
            .collect::<HashSet<_>>();
        for node in dead.difference(&self.lost_peers) {
            log_event!(Event::PeerLost, node);
        }
        self.lost_peers = dead;
    }
}
