//! What passing time changes: probes, suspicions, deaths, retries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{IndirectProbe, NodeState, Probe, SyncPull, gossip};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::machine::{Membership, MembershipAction, Sweep};
use super::probes::Pending;
use super::settings::MembershipSafeguard;

/// Periods without an answer after which a node that finds nobody takes itself
/// for the first of the fleet.
const JOIN_PERIODS: u32 = 5;
/// Behind every name of a node: names are ASCII.
const BEHIND_ALL_NAMES: &str = "\u{10ffff}";
/// A node that did not run for so many periods was paused itself.
const PAUSE_PERIODS: u32 = 2;

impl Membership {
    /// To be called every tenth of a period or so.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.now = now;
        self.forgive_own_pause(now);
        self.ask_others(now, &mut actions, rng);
        self.ask_seeds(&mut actions);
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
        self.pages_given = 0;
        self.urgent_sent = 0;
        self.conclude_probe(now, actions);
        self.declare_dead(now, actions);
        let (age, limit) = (self.settings.tombstone_age, self.settings.tombstone_limit);
        let age = match self.settings.keeps(MembershipSafeguard::Tombstones) {
            true => age,
            false => Duration::ZERO,
        };
        self.table.drop_old_tombstones(now, age, limit);
        self.probe_next(now, actions, rng);
        self.try_lost(now, actions, rng);
        self.continue_sweep(now, actions);
    }

    /// A node that was paused itself must not accuse others: their answers lay
    /// unread in its socket, and every suspicion's time passed while nobody
    /// could be heard. Symptom: on waking it holds half the fleet for dead.
    /// And it has to read what it missed before others stop repeating it:
    /// until then it places calls on upstreams that left meanwhile.
    fn forgive_own_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        let was_paused = gap > self.settings.probe_period * PAUSE_PERIODS;
        if was_paused && self.settings.keeps(MembershipSafeguard::OwnPause) {
            self.probes.pending = None;
            self.table.extend_suspicions(gap);
        }
        if was_paused && self.settings.keeps(MembershipSafeguard::ReadAfterPause) {
            self.sweep = None;
            self.reading_since = Some(now);
            self.read_from.clear();
        }
    }

    /// Where a direct probe stays unanswered, others try: one bad path between
    /// two nodes must not take a member from everybody's view.
    fn ask_others(
        &mut self,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let timeout = self.settings.direct_timeout;
        let wanted = self.settings.keeps(MembershipSafeguard::IndirectProbes);
        let Some(pending) = &mut self.probes.pending else {
            return;
        };
        let waited = now.saturating_duration_since(pending.sent);
        if !wanted || pending.asked_others || waited < timeout {
            return;
        }
        pending.asked_others = true;
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

    fn conclude_probe(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
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
        self.table.judge(now, &pending.node_id, NodeState::Suspect);
        self.news.push(&pending.node_id);
        actions.push(MembershipAction::MembersChanged);
    }

    /// Time for a suspected member to hear of it and for its answer to spread:
    /// each doubling of the fleet takes a period more.
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
            self.table.judge(now, &node_id, NodeState::Dead);
            actions.push(MembershipAction::MembersChanged);
        }
    }

    fn probe_next(
        &mut self,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let far_interval = self.settings.far_probe_interval;
        let data_centre = &self.own.data_centre;
        let target = self
            .probes
            .next_target(&self.table, data_centre, far_interval, rng);
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
        let first = entry.is_accused().then(|| entry.belief());
        let sequence = self.probes.next_sequence();
        if !is_retry {
            self.probes.pending = Some(Pending {
                sequence,
                node_id: node_id.to_owned(),
                incarnation: entry.member.incarnation,
                sent: now,
                asked_others: false,
            });
        }
        let body = gossip::Body::Probe(Probe {
            sequence,
            on_behalf_of: String::new(),
        });
        // Most likely nobody reads a retry: news on it would count as told.
        match is_retry {
            true => self.send_without_news(address, Some(body), first.as_slice(), actions),
            false => self.send(address, Some(body), first.as_slice(), actions),
        }
    }

    /// Tries one dead member or one unknown seed now and then. Without this
    /// two regions that lost each other for longer than a suspicion lasts
    /// would each go on alone for ever.
    fn try_lost(&mut self, now: Instant, actions: &mut Vec<MembershipAction>, rng: &mut impl Rng) {
        if now < self.next_retry || !self.settings.keeps(MembershipSafeguard::DeadRetry) {
            return;
        }
        self.next_retry = now + self.settings.dead_retry_period;
        let gone = self.probes.next_gone(&self.table, rng);
        if let Some(node_id) = gone {
            self.probe(now, &node_id, true, actions);
        }
        if let Some(seed) = self.unknown_seed(rng) {
            self.greet(seed, actions);
        }
    }

    /// Asks all seeds that are not known yet who they are, once after a start.
    ///
    /// Failure: all nodes are killed at once. Each finds the others' addresses
    /// in the platform and asks one a second; until they have told each other,
    /// callers are refused for want of an upstream that stands idle. A page
    /// behind the last name holds nothing but its giver's own record, so this
    /// costs a datagram each way for each seed, once a start.
    fn ask_seeds(&mut self, actions: &mut Vec<MembershipAction>) {
        if !std::mem::take(&mut self.asks_seeds) || self.reading_since.is_none() {
            return;
        }
        let own = self.own.clone();
        for seed in self.unknown_seeds() {
            let pull = SyncPull {
                after_node_id: BEHIND_ALL_NAMES.to_owned(),
            };
            let body = Some(gossip::Body::SyncPull(pull));
            self.send_without_news(seed, body, std::slice::from_ref(&own), actions);
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

    fn greet(&mut self, seed: SocketAddr, actions: &mut Vec<MembershipAction>) {
        let sequence = self.probes.next_sequence();
        let body = gossip::Body::Probe(Probe {
            sequence,
            on_behalf_of: String::new(),
        });
        let own = self.own.clone();
        self.send_without_news(seed, Some(body), &[own], actions);
    }

    fn continue_sweep(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if self.reading_since.is_some() || now < self.next_sync {
            return;
        }
        self.next_sync = now + self.settings.sync_period;
        self.drop_dead_sweep();
        self.pull_page(actions);
    }

    /// A sweep whose peer has gone would wait for ever.
    fn drop_dead_sweep(&mut self) {
        let Some(sweep) = &self.sweep else {
            return;
        };
        let peer = sweep.peer;
        let is_live = self
            .table
            .live()
            .any(|(_, entry)| entry.address == Some(peer));
        if !is_live {
            self.sweep = None;
        }
    }

    /// Reads a whole table from a live member or a seed; from another one if a
    /// page does not come soon, since a node that was paused for long knows
    /// many that are gone.
    fn read_table(
        &mut self,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let Some(since) = self.reading_since else {
            return;
        };
        let waited = now.saturating_duration_since(self.pulled);
        let is_waiting = self.sweep.is_some() && waited < self.settings.direct_timeout;
        if is_waiting {
            return;
        }
        let patience = self.settings.probe_period * JOIN_PERIODS;
        if now.saturating_duration_since(since) >= patience {
            self.joined = true;
            self.reading_since = None;
            return;
        }
        let known = self
            .table
            .live()
            .filter_map(|(_, entry)| entry.address)
            .filter(|address| !self.read_from.contains(address))
            .choose(rng);
        let Some(peer) = known.or_else(|| self.unknown_seed(rng)) else {
            return;
        };
        let cursor = self
            .sweep
            .take()
            .map_or(String::new(), |sweep| sweep.cursor);
        self.sweep = Some(Sweep { peer, cursor });
        self.pull_page(actions);
    }
}
