//! State of the upstream beside the node and of the services that it calls.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Instant;

use hemlocktack_decide::{ShedLevel, UpstreamStart, WorkKind};
use hemlocktack_fleet::drain::{self, NodeLifecycle};
use hemlocktack_protocol::UpstreamState;

use super::Node;
use crate::upstream::{Announcement, UpstreamStarts};

impl Node {
    /// Returns the starts of the upstream that have announced themselves.
    pub(crate) fn upstream_starts(&self) -> MutexGuard<'_, UpstreamStarts> {
        self.upstream_starts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records when the current start of the upstream began, if it has reported that.
    pub(crate) fn set_upstream_started(&self, started_unix_ms: Option<u64>) {
        let Some(started_unix_ms) = started_unix_ms else {
            return;
        };
        let (is_news, number) = {
            let mut starts = self.upstream_starts();
            let is_news = starts.started_unix_ms() != Some(started_unix_ms);
            starts.set_started(started_unix_ms);
            (is_news, starts.current_number())
        };
        if is_news {
            self.admission_queue.with_admission_only(|admission| {
                admission.set_upstream_started(number, started_unix_ms);
            });
        }
    }

    /// Applies an announcement; from then on calls go to the announced address.
    pub(crate) fn apply_announcement(&self, announcement: Announcement) {
        self.update_lifecycle(|lifecycle, now| {
            let before = self.upstream.load();
            let is_other_start = before
                .as_ref()
                .is_some_and(|before| before.start_number != announcement.start_number);
            let announced = drain::Announcement {
                address: announcement.address,
                slots: announcement.slots,
                is_cold: announcement.cold,
                is_other_start,
            };
            let actions = lifecycle.announce(now, announced);
            self.upstream.store(Some(Arc::new(announcement)));
            self.sync_admission(lifecycle, now);
            actions
        });
    }

    /// Removes an upstream whose announcement has expired.
    ///
    /// If an upstream disappears without notice, calls would queue for its slots until their
    /// callers time out. They are refused as soon as the announcement expires, while another
    /// node may still answer them.
    pub(crate) fn check_upstream(&self) {
        self.update_lifecycle(|lifecycle, now| {
            let actions = lifecycle.check_upstream(now);
            self.sync_admission(lifecycle, now);
            actions
        });
    }

    pub(crate) fn mark_upstream_draining(&self) {
        self.update_lifecycle(|lifecycle, now| {
            let actions = lifecycle.drain_upstream();
            self.sync_admission(lifecycle, now);
            self.admission_queue
                .with_admission(|admission| admission.begin_to_leave());
            actions
        });
    }

    /// Records that this start of the upstream is leaving, unless another has begun since.
    pub(crate) fn mark_upstream_leaving(&self, start_number: u64) {
        {
            let mut starts = self.upstream_starts();
            if starts.current_number() != start_number {
                return;
            }
            starts.mark_left();
        }
        self.mark_upstream_draining();
    }

    /// Updates the admission to the upstream's state. The admission's lock is taken while the
    /// lifecycle's is held, never the other way round, so that the effects of one event are
    /// applied before the next event.
    fn sync_admission(&self, lifecycle: &NodeLifecycle, now: Instant) {
        let announcement = self.upstream.load();
        let announcement = announcement.as_deref();
        let slots = announcement.map_or(0, |announcement| announcement.slots);
        let connections = announcement.map_or(0, |announcement| announcement.connections);
        let start = announcement.and_then(start_of);
        self.admission_queue.with_admission(|admission| {
            if let Some(start) = start {
                admission.set_upstream_start(start);
            }
            admission.sync_upstream_state(lifecycle.upstream(), slots, connections, now);
        });
    }

    pub(crate) fn announcement(&self) -> Option<Announcement> {
        self.upstream.load().as_deref().cloned()
    }

    /// Returns the slots that the upstream has announced, 0 without an upstream.
    pub(crate) fn announced_slots(&self) -> u32 {
        let announcement = self.upstream.load();
        announcement.as_deref().map_or(0, |upstream| upstream.slots)
    }

    pub(crate) fn upstream_state(&self) -> UpstreamState {
        self.published_state().upstream
    }

    /// Records which kinds of child calls an answered call of `kind` made.
    pub(crate) fn record_chain_edges(&self, kind: WorkKind, child_kinds: &[WorkKind]) {
        self.chain_edges
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_answer(kind, child_kinds);
    }

    /// Returns the strictest shed level among the services that calls of `kind` call in turn.
    pub(crate) fn chain_shed_level(&self, kind: WorkKind) -> ShedLevel {
        let edges = self
            .chain_edges
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        edges.level(kind, |child_kind| {
            self.services.shed_level_of_kind(child_kind)
        })
    }
}

fn start_of(announcement: &Announcement) -> Option<UpstreamStart> {
    Some(UpstreamStart {
        id: announcement.upstream_start.clone()?,
        started_unix_ms: announcement.started_unix_ms,
        number: announcement.start_number,
    })
}
