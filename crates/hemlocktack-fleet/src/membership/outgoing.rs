//! Datagrams that a node sends, within their size limit.

use std::net::SocketAddr;

use hemlocktack_protocol::{Gossip, Member, gossip};
use prost::Message;

use super::gossip_queue::transmission_limit;
use super::machine::{Membership, MembershipAction};
use super::settings::MembershipSafeguard;

impl Membership {
    /// Adds a datagram with the given records, and then as many queued records as fit.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        body: Option<gossip::Body>,
        first: &[Member],
        actions: &mut Vec<MembershipAction>,
    ) {
        let (mut gossip, bytes_left) = self.datagram(body, first);
        self.fill_with_queued(&mut gossip, bytes_left);
        let gossip = Box::new(gossip);
        actions.push(MembershipAction::Send { to, gossip });
    }

    /// Adds a datagram with the given records only.
    pub(super) fn send_without_queued(
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

    /// Returns a datagram with the given records, and the number of bytes left in it.
    fn datagram(&self, body: Option<gossip::Body>, first: &[Member]) -> (Gossip, usize) {
        let mut gossip = self.empty_datagram(body);
        let mut bytes_left = self.bytes_left_in(&gossip);
        for record in first {
            if !try_add_record(&mut gossip, &mut bytes_left, record.clone()) {
                break;
            }
        }
        (gossip, bytes_left)
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

    pub(super) fn bytes_left_in(&self, gossip: &Gossip) -> usize {
        let limit = self.settings.datagram_limit_bytes;
        limit.saturating_sub(self.settings.mac_bytes + gossip.encoded_len())
    }

    fn fill_with_queued(&mut self, gossip: &mut Gossip, mut bytes_left: usize) {
        let limit = transmission_limit(self.table.count() + 1);
        for node_id in self.gossip_queue.pending() {
            let already_in = gossip
                .members
                .iter()
                .any(|record| record.node_id == node_id);
            let Some(record) = self.record_to_send(&node_id) else {
                self.gossip_queue.record_sent(&node_id, 0);
                continue;
            };
            if already_in {
                continue;
            }
            if !try_add_record(gossip, &mut bytes_left, record) {
                return;
            }
            self.gossip_queue.record_sent(&node_id, limit);
        }
    }

    /// Returns the record to send about a member; `None` for an accusation that is too old.
    ///
    /// A node that was partitioned for a while considers all others dead. If it sent that once it
    /// is back, the members of the fleet would suspect each other for a while. By then its
    /// accusations have expired.
    fn record_to_send(&self, node_id: &str) -> Option<Member> {
        if node_id == self.own.node_id {
            return Some(self.own.clone());
        }
        let entry = self.table.get(node_id)?;
        let age = self.now.saturating_duration_since(entry.since);
        let is_old = entry.is_accused() && age >= self.suspicion_timeout();
        let drops_old = self.settings.is_enabled(MembershipSafeguard::AccusationAge);
        (!is_old || !drops_old).then(|| entry.gossip_record())
    }
}

/// Adds a record to a datagram if it fits; returns whether it did.
pub(super) fn try_add_record(gossip: &mut Gossip, bytes_left: &mut usize, record: Member) -> bool {
    let length = record.encoded_len();
    let needed = 1 + prost::length_delimiter_len(length) + length;
    if needed > *bytes_left {
        return false;
    }
    *bytes_left -= needed;
    gossip.members.push(record);
    true
}
