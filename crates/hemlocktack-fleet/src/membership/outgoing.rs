//! Datagrams that a node sends, filled within their limit.

use std::net::SocketAddr;

use hemlocktack_protocol::{Gossip, Member, gossip};
use prost::Message;

use super::gossip_queue::tellings_limit;
use super::machine::{Membership, MembershipAction};
use super::settings::MembershipSafeguard;

impl Membership {
    /// Adds a datagram: first the given records, then as much other news as
    /// fits.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        body: Option<gossip::Body>,
        first: &[Member],
        actions: &mut Vec<MembershipAction>,
    ) {
        let (mut gossip, room) = self.datagram(body, first);
        self.fill_with_news(&mut gossip, room);
        let gossip = Box::new(gossip);
        actions.push(MembershipAction::Send { to, gossip });
    }

    /// Adds a datagram with nothing but the given records.
    pub(super) fn send_without_news(
        &mut self,
        to: SocketAddr,
        body: Option<gossip::Body>,
        first: &[Member],
        actions: &mut Vec<MembershipAction>,
    ) {
        let (gossip, _) = self.datagram(body, first);
        let gossip = Box::new(gossip);
        actions.push(MembershipAction::Send { to, gossip });
    }

    /// A datagram with the given records, and the room that is left in it.
    fn datagram(&self, body: Option<gossip::Body>, first: &[Member]) -> (Gossip, usize) {
        let mut gossip = self.empty_datagram(body);
        let mut room = self.room_in(&gossip);
        for record in first {
            if !put_record(&mut gossip, &mut room, record.clone()) {
                break;
            }
        }
        (gossip, room)
    }

    pub(super) fn empty_datagram(&self, body: Option<gossip::Body>) -> Gossip {
        Gossip {
            from_node_id: self.own.node_id.clone(),
            from_incarnation: self.own.incarnation,
            generation_in_force: self.generation,
            table_digest: self.digest(),
            suspects: Vec::new(),
            members: Vec::new(),
            body,
        }
    }

    pub(super) fn room_in(&self, gossip: &Gossip) -> usize {
        let limit = self.settings.datagram_limit_bytes;
        limit.saturating_sub(self.settings.mac_bytes + gossip.encoded_len())
    }

    fn fill_with_news(&mut self, gossip: &mut Gossip, mut room: usize) {
        let limit = tellings_limit(self.table.count() + 1);
        for node_id in self.news.pending() {
            let already_in = gossip
                .members
                .iter()
                .any(|record| record.node_id == node_id);
            let Some(record) = self.fresh_belief(&node_id) else {
                self.news.told(&node_id, 0);
                continue;
            };
            if already_in {
                continue;
            }
            if !put_record(gossip, &mut room, record) {
                return;
            }
            self.news.told(&node_id, limit);
        }
    }

    /// What to tell others of a member; `None` for an accusation that is too
    /// old. A node that was cut off for a while holds all others for dead. Were
    /// it to tell that when it is back, the fleet would doubt itself for a
    /// while; by then its accusations are past their age.
    fn fresh_belief(&self, node_id: &str) -> Option<Member> {
        if node_id == self.own.node_id {
            return Some(self.own.clone());
        }
        let entry = self.table.get(node_id)?;
        let age = self.now.saturating_duration_since(entry.since);
        let is_old = entry.is_accused() && age >= self.suspicion_timeout();
        let keeps = self.settings.keeps(MembershipSafeguard::AccusationAge);
        (!is_old || !keeps).then(|| entry.belief())
    }
}

/// Puts a record into a datagram if there is room for it.
pub(super) fn put_record(gossip: &mut Gossip, room: &mut usize, record: Member) -> bool {
    let length = record.encoded_len();
    let needed = 1 + prost::length_delimiter_len(length) + length;
    if needed > *room {
        return false;
    }
    *room -= needed;
    gossip.members.push(record);
    true
}
