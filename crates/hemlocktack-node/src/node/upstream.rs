//! The upstream beside the node and the services behind it.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Instant;

use hemlocktack_decide::{ShedLevel, WorkKind};
use hemlocktack_fleet::drain::{self, NodeLifecycle};
use hemlocktack_protocol::UpstreamState;

use super::Node;
use crate::upstream::{Announcement, UpstreamStarts};

impl Node {
    /// Which starts of the upstream have announced themselves.
    pub(crate) fn upstream_starts(&self) -> MutexGuard<'_, UpstreamStarts> {
        self.upstream_starts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an announcement; calls go to the announced address from then on.
    pub(crate) fn apply_announcement(&self, announcement: Announcement) {
        self.update_lifecycle(|life, now| {
            let before = self.upstream.load();
            let is_other_start = before
                .as_ref()
                .is_some_and(|before| before.start_number != announcement.start_number);
            let word = drain::Announcement {
                address: announcement.address,
                slots: announcement.slots,
                is_cold: announcement.cold,
                is_other_start,
            };
            let actions = life.announce(now, word);
            self.upstream.store(Some(Arc::new(announcement)));
            self.admission_follows(life, now);
            actions
        });
    }

    /// Drops an upstream whose announcement has lapsed.
    ///
    /// Failure: an upstream vanishes without a word, and calls queue for slots
    /// that are not there until their callers give up. They are refused as soon
    /// as the announcement has lapsed, while another node may still answer them.
    pub(crate) fn check_upstream(&self) {
        self.update_lifecycle(|life, now| {
            let actions = life.check_upstream(now);
            self.admission_follows(life, now);
            actions
        });
    }

    pub(crate) fn mark_upstream_draining(&self) {
        self.update_lifecycle(|life, now| {
            let actions = life.drain_upstream();
            self.admission_follows(life, now);
            actions
        });
    }

    /// Takes the admission's lock inside that of the life, never the other way
    /// round: what one event decides is carried out before the next one.
    fn admission_follows(&self, life: &NodeLifecycle, now: Instant) {
        let announcement = self.upstream.load();
        let announcement = announcement.as_deref();
        let slots = announcement.map_or(0, |announcement| announcement.slots);
        let connections = announcement.map_or(0, |announcement| announcement.connections);
        self.admission_queue.with_admission(|admission| {
            admission.sync_upstream_state(life.upstream(), slots, connections, now)
        });
    }

    pub(crate) fn announcement(&self) -> Option<Announcement> {
        self.upstream.load().as_deref().cloned()
    }

    pub(crate) fn upstream_state(&self) -> UpstreamState {
        self.publication().upstream
    }

    /// Learns which kinds of deeper calls an answered call of `kind` made.
    pub(crate) fn record_chain_edges(&self, kind: WorkKind, deeper: &[WorkKind]) {
        self.chain_edges
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_answer(kind, deeper);
    }

    /// Strictest shed level among the services that calls of `kind` go on to.
    pub(crate) fn chain_shed_level(&self, kind: WorkKind) -> ShedLevel {
        let edges = self
            .chain_edges
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        edges.level(kind, |deeper| self.services.shed_level_of_kind(deeper))
    }
}
