//! Logs changes of the node's state, each once.
//!
//! One task polls the state of all parts of the node, so that a state that flaps between
//! two polls does not fill the log.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{Fingerprint, Member, NodeState, NodeStatus, UpstreamState};
use hemlocktack_telemetry::{Event, log_event};

use super::status;
use crate::freshness::boot_time;
use crate::node::Node;

const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The platform's answers are occasionally late, so only a longer outage is logged.
const PLATFORM_LOST_AFTER: Duration = Duration::from_secs(3);
/// Under overload, shedding starts and stops with the queue length. It counts as ended once
/// nothing has been shed for this long.
const SHEDDING_ENDED_AFTER: Duration = Duration::from_secs(10);

/// Monitors the node until the process exits.
pub(crate) async fn monitor(node: Arc<Node>) {
    let mut logged = LoggedState::default();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = Instant::now();
        let status = status(&node);
        logged.log_upstream(&status);
        logged.log_platform(&status, now);
        logged.log_key_admission(&node);
        logged.log_shedding(&status, now);
        log_load(&node, &status);
        logged.log_quarantine(&status);
        logged.log_peers(&node.members());
    }
}

/// Logs the values that decide about queued calls with each poll while calls wait, so that
/// a refusal can be explained afterwards.
fn log_load(node: &Node, status: &NodeStatus) {
    let Some(load) = status.load.filter(|load| load.queued > 0) else {
        return;
    };
    let is_ordered_by_root_request = node
        .admission_queue
        .with_admission(|admission| admission.is_ordered_by_root_request());
    log_event!(
        Event::CallsWait,
        in_flight = load.in_flight,
        limit = load.limit,
        queued = load.queued,
        queue_delay_us = load.queue_delay_us,
        service_time_us = load.service_time_us,
        shed_level = load.shed_level,
        is_ordered_by_root_request
    );
}

/// State as it was last logged.
#[derive(Default)]
struct LoggedState {
    upstream: UpstreamState,
    platform: DebouncedFlag,
    shedding: DebouncedFlag,
    refuses_keys: bool,
    quarantined: HashSet<Fingerprint>,
    lost_peers: HashSet<String>,
}

/// A flag that changes only after its new value has lasted for a while.
#[derive(Default)]
struct DebouncedFlag {
    value: bool,
    /// Since when the observed value differs from `value`.
    differs_since: Option<Instant>,
}

impl DebouncedFlag {
    /// Takes an observed value; returns whether the flag changes, which it does once the
    /// observed value has differed for at least `delay`.
    fn update(&mut self, observed: bool, delay: Duration, now: Instant) -> bool {
        if observed == self.value {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_duration_since(since) < delay {
            return false;
        }
        self.value = observed;
        self.differs_since = None;
        true
    }
}

impl LoggedState {
    fn log_upstream(&mut self, status: &NodeStatus) {
        let state = status.upstream();
        let before = std::mem::replace(&mut self.upstream, state);
        if state == before {
            return;
        }
        let was_announced = matches!(before, UpstreamState::Cold | UpstreamState::Ready);
        match state {
            UpstreamState::Cold | UpstreamState::Ready if !was_announced => {
                log_event!(Event::UpstreamAnnounced);
            }
            UpstreamState::Draining => log_event!(Event::UpstreamDraining),
            UpstreamState::Absent if before != UpstreamState::Unspecified => {
                log_event!(Event::UpstreamLapsed);
            }
            _ => {}
        }
    }

    fn log_platform(&mut self, status: &NodeStatus, now: Instant) {
        let is_lost = !status.platform_reachable;
        let delay = match is_lost {
            true => PLATFORM_LOST_AFTER,
            false => Duration::ZERO,
        };
        if !self.platform.update(is_lost, delay, now) {
            return;
        }
        match is_lost {
            true => log_event!(Event::PlatformLost),
            false => log_event!(Event::PlatformBack),
        }
    }

    fn log_key_admission(&mut self, node: &Node) {
        let now = boot_time();
        let refuses_keys = !node.can_admit_keys(now);
        let is_changed = refuses_keys != self.refuses_keys;
        self.refuses_keys = refuses_keys;
        if !is_changed {
            return;
        }
        let generation = node.active_generation();
        let proof = node.freshness_proof();
        let proof_age_ms = proof.map(|proof| proof.age(now).as_millis() as u64);
        let proven_generation = proof.map(|proof| proof.generation);
        match refuses_keys {
            true => log_event!(
                Event::KeysNotAdmitted,
                generation,
                proven_generation,
                proof_age_ms
            ),
            false => log_event!(Event::KeysAdmitted, generation, proof_age_ms),
        }
    }

    fn log_shedding(&mut self, status: &NodeStatus, now: Instant) {
        let is_shedding = status.load.is_some_and(|load| load.shed_level > 0);
        let delay = match is_shedding {
            true => Duration::ZERO,
            false => SHEDDING_ENDED_AFTER,
        };
        if !self.shedding.update(is_shedding, delay, now) {
            return;
        }
        let queued_count = status.load.map_or(0, |load| load.queued);
        match is_shedding {
            true => log_event!(Event::SheddingBegun, queued_count),
            false => log_event!(Event::SheddingEnded),
        }
    }

    fn log_quarantine(&mut self, status: &NodeStatus) {
        let quarantined = status.quarantined_fingerprints.iter().copied();
        let quarantined = quarantined.collect::<HashSet<_>>();
        for fingerprint in quarantined.difference(&self.quarantined) {
            let fingerprint = format!("{fingerprint:016x}");
            log_event!(Event::RequestQuarantined, fingerprint);
        }
        self.quarantined = quarantined;
    }

    fn log_peers(&mut self, members: &[Member]) {
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
