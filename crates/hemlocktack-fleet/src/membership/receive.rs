//! Handling of datagrams from other nodes.

use std::net::SocketAddr;
use std::time::Instant;

use hemlocktack_protocol::{
    Gossip, IndirectProbe, Member, NodeState, Probe, ProbeAck, StoreContact, SyncPage, SyncPull,
    gossip,
};
use rand::Rng;

use super::machine::{Membership, MembershipAction, TableSync};
use super::outgoing::try_add_record;
use super::probes::Relayed;
use super::record::{self, Freshness};
use super::settings::{MembershipSafeguard, NODE_ID_LIMIT_BYTES};
use super::table::Merged;

/// Number of tables that a starting node reads, each from another member.
const TABLES_READ: usize = 2;

impl Membership {
    /// Handles a datagram whose MAC has been verified.
    pub fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        mut gossip: Gossip,
        rng: &mut impl Rng,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.now = now;
        if gossip.from_node_id == self.own.node_id
            && gossip.from_incarnation == self.own.incarnation
        {
            return actions;
        }
        let mut corrections = Vec::new();
        let records = std::mem::take(&mut gossip.members);
        let is_page = matches!(gossip.body, Some(gossip::Body::SyncPage(_)));
        self.merge_records(now, records, is_page, &mut corrections, &mut actions, rng);
        self.check_generation(&gossip, &mut actions);
        if !gossip.suspects.is_empty() {
            let suspects = std::mem::take(&mut gossip.suspects);
            actions.push(MembershipAction::SuspectsReceived { suspects });
        }
        self.correct_sender(&gossip, &mut corrections);
        self.compare_digest(from, &gossip, &mut actions);
        self.handle_body(from, gossip, corrections, &mut actions);
        actions
    }

    /// Merges records, and queues new ones for dissemination.
    ///
    /// Records from a table page are not queued, because other nodes already know them: a starting
    /// node would send the records of the whole fleet to the whole fleet.
    fn merge_records(
        &mut self,
        now: Instant,
        records: Vec<Member>,
        is_page: bool,
        corrections: &mut Vec<Member>,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let mut urgent = Vec::new();
        let mut changed = false;
        for record in records {
            if record.node_id == self.own.node_id {
                self.handle_record_of_self(record, corrections, actions);
                continue;
            }
            let node_id = record.node_id.clone();
            let has_new_contact = self.has_new_store_contact(&record);
            let merged = self.table.merge(now, record.clone());
            if merged == Merged::Stale {
                corrections.extend(self.table.departure_record(&record));
                continue;
            }
            changed = true;
            if !is_page {
                self.gossip_queue.push(&node_id);
            }
            if has_new_contact && !is_page {
                self.forward_store_contact(record.clone(), actions, rng);
            }
            if merged == Merged::BeganLeaving && !is_page {
                urgent.push(record);
            }
        }
        if changed {
            actions.push(MembershipAction::MembersChanged);
        }
        if !urgent.is_empty() {
            self.forward_urgent_update(urgent, actions, rng);
        }
    }

    /// Returns whether a record says that the store now serves or now refuses a known member of the
    /// own data centre.
    fn has_new_store_contact(&self, record: &Member) -> bool {
        let is_news = record.data_centre == self.own.data_centre
            && record.store_contact() != StoreContact::Unknown;
        let known = self.table.get(&record.node_id);
        is_news && known.is_some_and(|entry| entry.member.store_contact != record.store_contact)
    }

    /// Handles a record of this node that another node sent.
    ///
    /// An accusation is refuted with a higher version. A record of another incarnation with this
    /// node's id that ranks above this one has one of two causes:
    /// - an earlier incarnation whose clock was ahead: this incarnation then ranks itself above it;
    /// - a replacement at another address, started while this process was paused: this incarnation
    ///   then gives way.
    ///
    /// The address distinguishes them, because an earlier incarnation at this node's own address
    /// cannot still be running.
    fn handle_record_of_self(
        &mut self,
        received: Member,
        corrections: &mut Vec<Member>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let same_start = received.incarnation == self.own.incarnation;
        let is_accusation = record::is_accusation(&received);
        if Freshness::of(&received) <= Freshness::of(&self.own) {
            if !same_start {
                self.gossip_queue.push(&self.own.node_id);
            }
            if !same_start || is_accusation {
                corrections.push(self.own.clone());
            }
            return;
        }
        if same_start {
            self.refute(&received, corrections);
            return;
        }
        if !self.settings.is_enabled(MembershipSafeguard::StartOrder) {
            return;
        }
        let is_elsewhere = !is_accusation && received.gossip_address != self.own.gossip_address;
        let is_gone = received.state() == NodeState::Left;
        if is_elsewhere && !is_gone && self.joined {
            actions.push(MembershipAction::Superseded {
                by: received.incarnation,
            });
            return;
        }
        self.own.start_order = received.start_order.saturating_add(1);
        self.raise_own_version();
        corrections.push(self.own.clone());
    }

    fn refute(&mut self, received: &Member, corrections: &mut Vec<Member>) {
        if !self.settings.is_enabled(MembershipSafeguard::Refutation) {
            return;
        }
        self.own.version = received.version;
        self.raise_own_version();
        corrections.push(self.own.clone());
    }

    fn check_generation(&self, gossip: &Gossip, actions: &mut Vec<MembershipAction>) {
        if gossip.generation_in_force > self.generation {
            actions.push(MembershipAction::NewerGenerationSeen {
                node_id: gossip.from_node_id.clone(),
                generation: gossip.generation_in_force,
            });
        }
    }

    /// Sends this node's view of the sender back to it if that view is an accusation or another
    /// incarnation, so that the sender can refute it: after a network partition both sides consider
    /// each other dead.
    ///
    /// Datagrams without a body, which carry such corrections, are not corrected. Two nodes that
    /// consider each other dead would otherwise correct each other in an endless loop.
    fn correct_sender(&mut self, gossip: &Gossip, corrections: &mut Vec<Member>) {
        if gossip.body.is_none() {
            return;
        }
        let Some(entry) = self.table.get(&gossip.from_node_id) else {
            return;
        };
        if entry.is_accused() || entry.member.incarnation != gossip.from_incarnation {
            corrections.push(entry.gossip_record());
        }
    }

    /// Starts to synchronise with a sender whose table differs. The first page is pulled at once
    /// unless one was pulled recently, since a node that was partitioned must soon learn who has
    /// left in the meantime.
    fn compare_digest(
        &mut self,
        from: SocketAddr,
        gossip: &Gossip,
        actions: &mut Vec<MembershipAction>,
    ) {
        let may_sync = self.settings.is_enabled(MembershipSafeguard::AntiEntropy);
        if !may_sync || self.table_sync.is_some() || gossip.table_digest == self.digest() {
            return;
        }
        self.table_sync = Some(TableSync {
            peer: from,
            cursor: String::new(),
        });
        if self.now >= self.next_sync {
            self.next_sync = self.now + self.settings.sync_period;
            self.pull_page(actions);
        }
    }

    fn handle_body(
        &mut self,
        from: SocketAddr,
        gossip: Gossip,
        corrections: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
    ) {
        match gossip.body {
            Some(gossip::Body::Probe(probe)) => {
                let ack = ProbeAck {
                    sequence: probe.sequence,
                    of_node_id: self.own.node_id.clone(),
                };
                self.send(from, Some(gossip::Body::Ack(ack)), &corrections, actions);
                return;
            }
            Some(gossip::Body::SyncPull(pull)) => {
                self.send_page(from, &pull, &corrections, actions);
                return;
            }
            Some(gossip::Body::Ack(ack)) => self.handle_ack(&ack, actions),
            Some(gossip::Body::IndirectProbe(probe)) => {
                self.handle_indirect_probe(from, probe, actions)
            }
            Some(gossip::Body::SyncPage(page)) => self.handle_page(from, page, actions),
            None => {}
        }
        if !corrections.is_empty() {
            self.send(from, None, &corrections, actions);
        }
    }

    fn handle_ack(&mut self, ack: &ProbeAck, actions: &mut Vec<MembershipAction>) {
        let pending = self.probes.pending.as_ref();
        let is_answer = pending.is_some_and(|pending| {
            pending.sequence == ack.sequence && pending.node_id == ack.of_node_id
        });
        if is_answer {
            self.probes.pending = None;
            return;
        }
        let Some(relayed) = self.probes.take_relayed(ack) else {
            return;
        };
        let ack = ProbeAck {
            sequence: relayed.requester_sequence,
            of_node_id: relayed.target,
        };
        self.send(
            relayed.requester,
            Some(gossip::Body::Ack(ack)),
            &[],
            actions,
        );
    }

    fn handle_indirect_probe(
        &mut self,
        requester: SocketAddr,
        asked: IndirectProbe,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(entry) = self.table.get(&asked.target_node_id) else {
            return;
        };
        let Some(address) = entry.address else {
            return;
        };
        let sequence = self.probes.next_sequence();
        self.probes.relay(Relayed {
            sequence,
            requester,
            requester_sequence: asked.sequence,
            target: asked.target_node_id,
        });
        let probe = Probe {
            sequence,
            on_behalf_of: String::new(),
        };
        self.send(address, Some(gossip::Body::Probe(probe)), &[], actions);
    }

    /// Sends one page of this node's table. Each page also has this node's own record.
    ///
    /// Pages contain only records that members published themselves. Accused members are left out,
    /// because a joining node would consider them healthy until it has probed them itself; if they
    /// are up, they refute the accusation to everybody. The number of pages per period is limited:
    /// joining nodes rather wait a little than overload one node.
    fn send_page(
        &mut self,
        from: SocketAddr,
        pull: &SyncPull,
        corrections: &[Member],
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.pages_sent >= self.settings.page_limit {
            return;
        }
        self.pages_sent += 1;
        let empty_page = SyncPage {
            after_node_id: pull.after_node_id.clone(),
            last_node_id: pull.after_node_id.clone(),
            complete: true,
        };
        let mut gossip = self.empty_datagram(Some(gossip::Body::SyncPage(empty_page.clone())));
        let mut bytes_left = self
            .bytes_left_in(&gossip)
            .saturating_sub(NODE_ID_LIMIT_BYTES);
        let first = corrections.iter().chain([&self.own]);
        for record in first {
            try_add_record(&mut gossip, &mut bytes_left, record.clone());
        }
        let mut page = empty_page;
        for (node_id, entry) in self.table.after(&pull.after_node_id) {
            let is_included = !entry.is_accused();
            if is_included && !try_add_record(&mut gossip, &mut bytes_left, entry.member.clone()) {
                page.complete = false;
                break;
            }
            page.last_node_id = node_id.clone();
        }
        gossip.body = Some(gossip::Body::SyncPage(page));
        let gossip = Box::new(gossip);
        actions.push(MembershipAction::Send { to: from, gossip });
    }

    /// Handles one page of a peer's table.
    ///
    /// A starting node reads the tables of two members, because the first one may not know yet that
    /// other members have left, and those who know it disseminate it for a few periods only.
    /// Otherwise a node that starts between network partitions would send calls to them even
    /// seconds after the last fault.
    fn handle_page(
        &mut self,
        from: SocketAddr,
        page: SyncPage,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(table_sync) = &mut self.table_sync else {
            return;
        };
        if table_sync.peer != from || table_sync.cursor != page.after_node_id {
            return;
        }
        let made_no_progress = page.last_node_id == page.after_node_id;
        if page.complete || made_no_progress {
            self.table_sync = None;
            self.joined = true;
            self.tables_read_from.push(from);
            if self.tables_read_from.len() >= TABLES_READ {
                self.full_read_since = None;
            }
            return;
        }
        table_sync.cursor = page.last_node_id;
        if self.full_read_since.is_some() {
            self.pull_page(actions);
        }
    }

    pub(super) fn pull_page(&mut self, actions: &mut Vec<MembershipAction>) {
        let Some(table_sync) = &self.table_sync else {
            return;
        };
        let to = table_sync.peer;
        self.last_pull = self.now;
        let pull = SyncPull {
            after_node_id: table_sync.cursor.clone(),
        };
        let own = self.own.clone();
        self.send(to, Some(gossip::Body::SyncPull(pull)), &[own], actions);
    }
}
