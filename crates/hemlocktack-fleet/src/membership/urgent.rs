//! Urgent updates, which are sent at once instead of with the next probe.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlocktack_protocol::Member;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::machine::{Membership, MembershipAction};
use super::settings::MembershipSafeguard;
use super::table::Entry;

impl Membership {
    /// Sends an update about this node to a few members at once, with at least one in each data
    /// centre.
    ///
    /// The number per period is limited, so that many simultaneous drains cannot raise the cost
    /// without bound; updates above the limit are piggybacked on ordinary datagrams. For the same
    /// reason these datagrams carry no other records.
    pub(super) fn send_urgent_update(
        &mut self,
        records: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let mut targets = self.one_per_remote_data_centre(rng);
        targets.extend(self.sample_members(true, self.settings.urgent_fanout / 2, rng));
        self.send_urgent(&targets, &records, actions);
    }

    /// Forwards an urgent update: to one member of another data centre, and otherwise to members of
    /// the own data centre, one of which the originating node has notified.
    pub(super) fn forward_urgent_update(
        &mut self,
        records: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let fanout = self.settings.urgent_fanout;
        let mut targets = self.sample_members(true, fanout.saturating_sub(1), rng);
        targets.extend(self.sample_members(false, fanout - targets.len(), rng));
        self.send_urgent(&targets, &records, actions);
    }

    /// Sends a change of a node's access to the store to members of the own data centre, most often
    /// all of them. The number per period is limited, so that a node that the store serves by turns
    /// cannot raise the cost without bound.
    pub(super) fn send_store_contact(
        &mut self,
        record: Member,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let targets = self.sample_members(true, self.settings.contact_fanout, rng);
        let record = [record];
        for to in targets {
            if self.contacts_sent >= self.settings.contact_limit {
                return;
            }
            self.contacts_sent += 1;
            self.send_without_queued(to, None, &record, actions);
        }
    }

    /// Forwards such a change once, in a data centre that is larger than the number of members to
    /// which the node that it is about has sent it.
    pub(super) fn forward_store_contact(
        &mut self,
        record: Member,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let is_local = |entry: &Entry| entry.member.data_centre == self.own.data_centre;
        let local = self.table.live().filter(|(_, entry)| is_local(entry));
        if local.count() > self.settings.contact_fanout {
            self.send_store_contact(record, actions, rng);
        }
    }

    fn send_urgent(
        &mut self,
        targets: &[SocketAddr],
        records: &[Member],
        actions: &mut Vec<MembershipAction>,
    ) {
        if !self.settings.is_enabled(MembershipSafeguard::UrgentNews) {
            return;
        }
        for to in targets {
            if self.urgent_sent >= self.settings.urgent_limit {
                return;
            }
            self.urgent_sent += 1;
            self.send_without_queued(*to, None, records, actions);
        }
    }

    /// Returns one random member of each other data centre.
    ///
    /// Members mostly probe members of their own data centre. If none of the few notified members
    /// were in a data centre, all of it would learn nothing for seconds, and its nodes would send
    /// calls to an upstream that has left.
    fn one_per_remote_data_centre(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut by_data_centre: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        for (_, entry) in self.table.live() {
            let data_centre = entry.member.data_centre.as_str();
            let Some(address) = entry.address else {
                continue;
            };
            if data_centre != self.own.data_centre {
                by_data_centre.entry(data_centre).or_default().push(address);
            }
        }
        let members = by_data_centre.into_values();
        members
            .filter_map(|members| members.into_iter().choose(rng))
            .collect()
    }

    /// Returns a random sample of members of the own data centre (`is_local`) or of the others. The
    /// order of a sample is not random, so it must be drawn with the wanted size and not truncated.
    fn sample_members(&self, is_local: bool, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let in_own_data_centre = |entry: &Entry| entry.member.data_centre == self.own.data_centre;
        self.table
            .live()
            .filter(|(_, entry)| in_own_data_centre(entry) == is_local)
            .filter_map(|(_, entry)| entry.address)
            .sample(rng, count)
    }
}
