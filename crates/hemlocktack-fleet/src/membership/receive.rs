//! What a datagram from another node changes.

use std::net::SocketAddr;
use std::time::Instant;

use hemlocktack_protocol::{
    Gossip, IndirectProbe, Member, NodeState, Probe, ProbeAck, SyncPage, SyncPull, gossip,
};
use rand::Rng;

use super::machine::{Membership, MembershipAction, Sweep};
use super::outgoing::put_record;
use super::probes::Relayed;
use super::record::{self, Freshness};
use super::settings::{MembershipSafeguard, NODE_ID_LIMIT_BYTES};
use super::table::Merged;

/// Tables that a starting node reads, each of another member.
const TABLES_READ: usize = 2;

impl Membership {
    /// Takes in a datagram whose MAC was found right.
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
        self.take_in(now, records, is_page, &mut corrections, &mut actions, rng);
        self.hear_generation(&gossip, &mut actions);
        if !gossip.suspects.is_empty() {
            let suspects = std::mem::take(&mut gossip.suspects);
            actions.push(MembershipAction::SuspectsReceived { suspects });
        }
        self.correct_sender(&gossip, &mut corrections);
        self.compare_digest(from, &gossip, &mut actions);
        self.handle_body(from, gossip, corrections, &mut actions);
        actions
    }

    /// Merges records and passes on what is new; not what a page brought, which
    /// the giver knew already: a starting node would tell the whole fleet about
    /// the whole fleet.
    fn take_in(
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
                self.hear_of_own(record, corrections, actions);
                continue;
            }
            let node_id = record.node_id.clone();
            let merged = self.table.merge(now, record.clone());
            if merged == Merged::Stale {
                corrections.extend(self.table.word_of_leaving(&record));
                continue;
            }
            changed = true;
            if !is_page {
                self.news.push(&node_id);
            }
            if merged == Merged::BeganLeaving && !is_page {
                urgent.push(record);
            }
        }
        if changed {
            actions.push(MembershipAction::MembersChanged);
        }
        if !urgent.is_empty() {
            self.pass_on_at_once(urgent, actions, rng);
        }
    }

    /// Answers what others say of this node.
    ///
    /// An accusation is refuted by a higher version. A record of another start
    /// of this node's id that ranks above this one is either an earlier start
    /// whose clock ran ahead (then this start ranks itself above it), or a
    /// replacement elsewhere while this process was paused (then this one
    /// yields). The address tells them apart: an earlier start at this very
    /// address cannot be running.
    fn hear_of_own(
        &mut self,
        heard: Member,
        corrections: &mut Vec<Member>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let same_start = heard.incarnation == self.own.incarnation;
        let is_accusation = record::is_accusation(&heard);
        if Freshness::of(&heard) <= Freshness::of(&self.own) {
            if !same_start {
                self.news.push(&self.own.node_id);
            }
            if !same_start || is_accusation {
                corrections.push(self.own.clone());
            }
            return;
        }
        if same_start {
            self.refute(&heard, corrections);
            return;
        }
        if !self.settings.keeps(MembershipSafeguard::StartOrder) {
            return;
        }
        let is_elsewhere = !is_accusation && heard.gossip_address != self.own.gossip_address;
        let is_gone = heard.state() == NodeState::Left;
        if is_elsewhere && !is_gone && self.joined {
            actions.push(MembershipAction::Superseded {
                by: heard.incarnation,
            });
            return;
        }
        self.own.start_order = heard.start_order.saturating_add(1);
        self.raise_own_version();
        corrections.push(self.own.clone());
    }

    fn refute(&mut self, heard: &Member, corrections: &mut Vec<Member>) {
        if !self.settings.keeps(MembershipSafeguard::Refutation) {
            return;
        }
        self.own.version = heard.version;
        self.raise_own_version();
        corrections.push(self.own.clone());
    }

    fn hear_generation(&self, gossip: &Gossip, actions: &mut Vec<MembershipAction>) {
        if gossip.generation_in_force > self.generation {
            actions.push(MembershipAction::NewerGenerationSeen {
                node_id: gossip.from_node_id.clone(),
                generation: gossip.generation_in_force,
            });
        }
    }

    /// Tells a sender that is known otherwise what is believed of it, so that
    /// it can refute: after a cut both sides hold each other for dead.
    ///
    /// Never in answer to such a correction: two nodes that hold each other
    /// for dead would go on correcting each other without a pause.
    fn correct_sender(&mut self, gossip: &Gossip, corrections: &mut Vec<Member>) {
        if gossip.body.is_none() {
            return;
        }
        let Some(entry) = self.table.get(&gossip.from_node_id) else {
            return;
        };
        if entry.is_accused() || entry.member.incarnation != gossip.from_incarnation {
            corrections.push(entry.belief());
        }
    }

    /// Begins a comparison with a sender whose table differs: with the first
    /// page at once where none was pulled lately, since a node that comes back
    /// from a cut has to learn soon who has left meanwhile.
    fn compare_digest(
        &mut self,
        from: SocketAddr,
        gossip: &Gossip,
        actions: &mut Vec<MembershipAction>,
    ) {
        let wanted = self.settings.keeps(MembershipSafeguard::AntiEntropy);
        if !wanted || self.sweep.is_some() || gossip.table_digest == self.digest() {
            return;
        }
        self.sweep = Some(Sweep {
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
                self.give_page(from, &pull, &corrections, actions);
                return;
            }
            Some(gossip::Body::Ack(ack)) => self.take_ack(&ack, actions),
            Some(gossip::Body::IndirectProbe(probe)) => self.probe_for(from, probe, actions),
            Some(gossip::Body::SyncPage(page)) => self.take_page(from, page, actions),
            None => {}
        }
        if !corrections.is_empty() {
            self.send(from, None, &corrections, actions);
        }
    }

    fn take_ack(&mut self, ack: &ProbeAck, actions: &mut Vec<MembershipAction>) {
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
            sequence: relayed.asker_sequence,
            of_node_id: relayed.target,
        };
        self.send(relayed.asker, Some(gossip::Body::Ack(ack)), &[], actions);
    }

    fn probe_for(
        &mut self,
        asker: SocketAddr,
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
            asker,
            asker_sequence: asked.sequence,
            target: asked.target_node_id,
        });
        let probe = Probe {
            sequence,
            on_behalf_of: String::new(),
        };
        self.send(address, Some(gossip::Body::Probe(probe)), &[], actions);
    }

    /// Gives one page of this node's table, its own record on each, and only
    /// what members said of themselves. Those that may be down are left out: a
    /// joining node would hold them for sound until it has probed them itself.
    /// If they are up, they say so to everybody. A bounded number in a period: joining
    /// nodes wait a little rather than load one.
    fn give_page(
        &mut self,
        from: SocketAddr,
        pull: &SyncPull,
        corrections: &[Member],
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.pages_given >= self.settings.page_limit {
            return;
        }
        self.pages_given += 1;
        let full = SyncPage {
            after_node_id: pull.after_node_id.clone(),
            last_node_id: pull.after_node_id.clone(),
            complete: true,
        };
        let mut gossip = self.empty_datagram(Some(gossip::Body::SyncPage(full.clone())));
        let mut room = self.room_in(&gossip).saturating_sub(NODE_ID_LIMIT_BYTES);
        let first = corrections.iter().chain([&self.own]);
        for record in first {
            put_record(&mut gossip, &mut room, record.clone());
        }
        let mut page = full;
        for (node_id, entry) in self.table.after(&pull.after_node_id) {
            let is_told = !entry.is_accused();
            if is_told && !put_record(&mut gossip, &mut room, entry.member.clone()) {
                page.complete = false;
                break;
            }
            page.last_node_id = node_id.clone();
        }
        gossip.body = Some(gossip::Body::SyncPage(page));
        let gossip = Box::new(gossip);
        actions.push(MembershipAction::Send { to: from, gossip });
    }

    /// Failure: a node starts between cuts, and the one whose table it reads had
    /// not heard yet that others left. Symptom: seconds after all faults have
    /// ended it still places calls on them. Whoever has heard passes the news on
    /// for a few periods only, so a second table is read, of another member.
    fn take_page(&mut self, from: SocketAddr, page: SyncPage, actions: &mut Vec<MembershipAction>) {
        let Some(sweep) = &mut self.sweep else {
            return;
        };
        if sweep.peer != from || sweep.cursor != page.after_node_id {
            return;
        }
        let made_no_progress = page.last_node_id == page.after_node_id;
        if page.complete || made_no_progress {
            self.sweep = None;
            self.joined = true;
            self.read_from.push(from);
            if self.read_from.len() >= TABLES_READ {
                self.reading_since = None;
            }
            return;
        }
        sweep.cursor = page.last_node_id;
        if self.reading_since.is_some() {
            self.pull_page(actions);
        }
    }

    pub(super) fn pull_page(&mut self, actions: &mut Vec<MembershipAction>) {
        let Some(sweep) = &self.sweep else {
            return;
        };
        let to = sweep.peer;
        self.pulled = self.now;
        let pull = SyncPull {
            after_node_id: sweep.cursor.clone(),
        };
        let own = self.own.clone();
        self.send(to, Some(gossip::Body::SyncPull(pull)), &[own], actions);
    }
}
