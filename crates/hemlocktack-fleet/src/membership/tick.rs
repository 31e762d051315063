//! Periodic work: probes, suspicion timeouts, retries and table synchronisation.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{IndirectProbe, NodeState, Probe, SyncPull, gossip};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::machine::{Membership, MembershipAction, TableSync};
use super::probes::Pending;
use super::settings::MembershipSafeguard;

/// Probe periods without an answer after which a starting node assumes that it is the first of the
/// fleet.
const JOIN_PERIODS: u32 = 5;
/// Sorts after every node id, since node ids are ASCII.
const AFTER_ALL_NODE_IDS: &str = "\u{10ffff}";
/// A node whose ticks are more than this many probe periods apart was itself paused.
const PAUSE_PERIODS: u32 = 2;

impl Membership {
    /// Performs the work that is due; should be called about ten times per probe period.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.now = now;
        self.handle_own_pause(now);
        self.send_indirect_probes(now, &mut actions, rng);
        self.query_seeds(&mut actions);
        self.read_table(now, &mut actions, rng);
        if now >= self.next_period {
            self.next_period = now + self.settings.probe_period;
            self.begin_period(now, &mut actions, rng);
        }
        actions
    }

    fn begin_period(
        &mut self,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        self.pages_sent = 0;
        self.urgent_sent = 0;
        self.contacts_sent = 0;
        self.suspect_unanswered(now, actions);
        self.declare_dead(now, actions);
        let (age, limit) = (self.settings.tombstone_age, self.settings.tombstone_limit);
        let age = match self.settings.is_enabled(MembershipSafeguard::Tombstones) {
            true => age,
            false => Duration::ZERO,
        };
        self.table.drop_old_tombstones(now, age, limit);
        self.probe_next(now, actions, rng);
        self.retry_unreachable(now, actions, rng);
        self.continue_table_sync(now, actions);
    }

    /// Detects that this node was itself paused, and compensates for it.
    ///
    /// After a pause the node must not accuse others: their answers are still unread in its socket,
    /// and all suspicions timed out while nothing could be received. Otherwise it would consider
    /// half the fleet dead when it resumes. It must also read the updates that it missed before
    /// others stop sending them; until then it sends calls to upstreams that have left in the
    /// meantime.
    fn handle_own_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        let was_paused = gap > self.settings.probe_period * PAUSE_PERIODS;
        if was_paused && self.settings.is_enabled(MembershipSafeguard::OwnPause) {
            self.probes.pending = None;
            self.table.extend_suspicions(gap);
        }
        if was_paused
            && self
                .settings
                .is_enabled(MembershipSafeguard::ReadAfterPause)
        {
            self.table_sync = None;
            self.full_read_since = Some(now);
            self.tables_read_from.clear();
        }
    }

    /// Asks other members to probe a member that does not answer a direct probe, so that one bad
    /// network path between two nodes does not remove a member from every view.
    fn send_indirect_probes(
        &mut self,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let timeout = self.settings.direct_timeout;
        let may_ask = self
            .settings
            .is_enabled(MembershipSafeguard::IndirectProbes);
        let Some(pending) = &mut self.probes.pending else {
            return;
        };
        let waited = now.saturating_duration_since(pending.sent);
        if !may_ask || pending.sent_indirect || waited < timeout {
            return;
        }
        pending.sent_indirect = true;
        let body = gossip::Body::IndirectProbe(IndirectProbe {
            sequence: pending.sequence,
            target_node_id: pending.node_id.clone(),
        });
        let target = pending.node_id.clone();
        let helpers: Vec<SocketAddr> = self
            .table
            .live()
            .filter(|(node_id, _)| **node_id != target)
            .filter_map(|(_, entry)| entry.address)
            .sample(rng, self.settings.indirect_probes);
        for helper in helpers {
            self.send(helper, Some(body.clone()), &[], actions);
        }
    }

    fn suspect_unanswered(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let Some(pending) = self.probes.pending.take() else {
            return;
        };
        let Some(entry) = self.table.get(&pending.node_id) else {
            return;
        };
        let same_start = entry.member.incarnation == pending.incarnation;
        if !same_start || !entry.is_live() || entry.is_accused() {
            return;
        }
        self.table
            .set_state(now, &pending.node_id, NodeState::Suspect);
        self.gossip_queue.push(&pending.node_id);
        actions.push(MembershipAction::MembersChanged);
    }

    /// Returns the time for a suspected member to learn of the suspicion and for its refutation to
    /// spread. Each doubling of the fleet adds one period.
    pub(super) fn suspicion_timeout(&self) -> Duration {
        let members = self.table.live_count() + 1;
        let doublings = usize::BITS - members.leading_zeros();
        self.settings.probe_period * (self.settings.suspicion_periods + doublings)
    }

    fn declare_dead(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let timeout = self.suspicion_timeout();
        let expired: Vec<String> = self
            .table
            .entries()
            .filter(|(_, entry)| entry.state == NodeState::Suspect)
            .filter(|(_, entry)| now.saturating_duration_since(entry.since) >= timeout)
            .map(|(node_id, _)| node_id.clone())
            .collect();
        for node_id in expired {
            self.table.set_state(now, &node_id, NodeState::Dead);
            actions.push(MembershipAction::MembersChanged);
        }
    }

    fn probe_next(
        &mut self,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let remote_interval = self.settings.remote_probe_interval;
        let data_centre = &self.own.data_centre;
        let target = self
            .probes
            .next_target(&self.table, data_centre, remote_interval, rng);
        if let Some(target) = target {
            self.probe(now, &target, false, actions);
        }
    }

    fn probe(
        &mut self,
        now: Instant,
        node_id: &str,
        is_retry: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(entry) = self.table.get(node_id) else {
            return;
        };
        let Some(address) = entry.address else {
            return;
        };
        let first = entry.is_accused().then(|| entry.gossip_record());
        let sequence = self.probes.next_sequence();
        if !is_retry {
            self.probes.pending = Some(Pending {
                sequence,
                node_id: node_id.to_owned(),
                incarnation: entry.member.incarnation,
                sent: now,
                sent_indirect: false,
            });
        }
        let body = gossip::Body::Probe(Probe {
            sequence,
            on_behalf_of: String::new(),
        });
        // A retry most likely reaches nobody, so records on it would wrongly count as sent.
        match is_retry {
            true => self.send_without_queued(address, Some(body), first.as_slice(), actions),
            false => self.send(address, Some(body), first.as_slice(), actions),
        }
    }

    /// Periodically probes one dead or left member and one unknown seed. Otherwise two regions that
    /// were partitioned for longer than the suspicion timeout would never join again.
    fn retry_unreachable(
        &mut self,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        if now < self.next_retry || !self.settings.is_enabled(MembershipSafeguard::DeadRetry) {
            return;
        }
        self.next_retry = now + self.settings.dead_retry_period;
        let gone = self.probes.next_gone(&self.table, rng);
        if let Some(node_id) = gone {
            self.probe(now, &node_id, true, actions);
        }
        if let Some(seed) = self.unknown_seed(rng) {
            self.probe_seed(seed, actions);
        }
    }

    /// Asks all unknown seeds for their own record, once after they were set while this node is
    /// starting.
    ///
    /// If all nodes are killed at once, each finds the others' addresses in the platform. If it
    /// only probed one seed per second, callers would be refused for lack of an upstream, although
    /// idle ones exist, until the nodes know each other. A page after the last node id contains
    /// nothing but the sender's own record, so this costs one datagram in each direction per seed
    /// and start.
    fn query_seeds(&mut self, actions: &mut Vec<MembershipAction>) {
        if !std::mem::take(&mut self.seeds_changed) || self.full_read_since.is_none() {
            return;
        }
        let own = self.own.clone();
        for seed in self.unknown_seeds() {
            let pull = SyncPull {
                after_node_id: AFTER_ALL_NODE_IDS.to_owned(),
            };
            let body = Some(gossip::Body::SyncPull(pull));
            self.send_without_queued(seed, body, std::slice::from_ref(&own), actions);
        }
    }

    fn unknown_seed(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        self.unknown_seeds().into_iter().choose(rng)
    }

    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let own: Option<SocketAddr> = self.own.gossip_address.parse().ok();
        let is_unknown = |seed: &SocketAddr| {
            let known = self
                .table
                .live()
                .any(|(_, entry)| entry.address == Some(*seed));
            !known && Some(*seed) != own
        };
        self.seeds.iter().copied().filter(is_unknown).collect()
    }

    fn probe_seed(&mut self, seed: SocketAddr, actions: &mut Vec<MembershipAction>) {
        let sequence = self.probes.next_sequence();
        let body = gossip::Body::Probe(Probe {
            sequence,
            on_behalf_of: String::new(),
        });
        let own = self.own.clone();
        self.send_without_queued(seed, Some(body), &[own], actions);
    }

    fn continue_table_sync(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if self.full_read_since.is_some() || now < self.next_sync {
            return;
        }
        self.next_sync = now + self.settings.sync_period;
        self.drop_dead_table_sync();
        self.pull_page(actions);
    }

    /// Drops a table synchronisation whose peer is gone, which would otherwise wait forever.
    fn drop_dead_table_sync(&mut self) {
        let Some(table_sync) = &self.table_sync else {
            return;
        };
        let peer = table_sync.peer;
        let is_live = self
            .table
            .live()
            .any(|(_, entry)| entry.address == Some(peer));
        if !is_live {
            self.table_sync = None;
        }
    }

    /// Reads a whole table from a live member or a seed. If a page does not arrive soon, it
    /// continues with another peer, since a node that was paused for long knows many members that
    /// are gone.
    fn read_table(
        &mut self,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let Some(since) = self.full_read_since else {
            return;
        };
        let waited = now.saturating_duration_since(self.last_pull);
        let is_waiting = self.table_sync.is_some() && waited < self.settings.direct_timeout;
        if is_waiting {
            return;
        }
        let join_timeout = self.settings.probe_period * JOIN_PERIODS;
        if now.saturating_duration_since(since) >= join_timeout {
            self.joined = true;
            self.full_read_since = None;
            return;
        }
        let known = self
            .table
            .live()
            .filter_map(|(_, entry)| entry.address)
            .filter(|address| !self.tables_read_from.contains(address))
            .choose(rng);
        let Some(peer) = known.or_else(|| self.unknown_seed(rng)) else {
            return;
        };
        let cursor = self
            .table_sync
            .take()
            .map_or(String::new(), |table_sync| table_sync.cursor);
        self.table_sync = Some(TableSync { peer, cursor });
        self.pull_page(actions);
    }
}
