//! News that does not wait for the next probe: to whom it goes at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlocktack_protocol::Member;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::machine::{Membership, MembershipAction};
use super::settings::MembershipSafeguard;
use super::table::Entry;

impl Membership {
    /// Sends news of this node's own to a few members right away, with one at
    /// least in each data centre. Within one period only so many, so that a mass
    /// of drains cannot raise the cost without bound; what is over the limit
    /// rides on the ordinary datagrams. For the same reason these carry nothing
    /// else.
    pub(super) fn tell_at_once(
        &mut self,
        records: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let mut targets = self.far_targets(rng);
        targets.extend(self.targets(true, self.settings.urgent_fanout / 2, rng));
        self.send_at_once(&targets, &records, actions);
    }

    /// Passes urgent news on: to one member elsewhere, and for the rest to the
    /// own data centre, which its owner has told one of.
    pub(super) fn pass_on_at_once(
        &mut self,
        records: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
        rng: &mut impl Rng,
    ) {
        let fanout = self.settings.urgent_fanout;
        let mut targets = self.targets(true, fanout.saturating_sub(1), rng);
        targets.extend(self.targets(false, fanout - targets.len(), rng));
        self.send_at_once(&targets, &records, actions);
    }

    fn send_at_once(
        &mut self,
        targets: &[SocketAddr],
        records: &[Member],
        actions: &mut Vec<MembershipAction>,
    ) {
        if !self.settings.keeps(MembershipSafeguard::UrgentNews) {
            return;
        }
        for to in targets {
            if self.urgent_sent >= self.settings.urgent_limit {
                return;
            }
            self.urgent_sent += 1;
            self.send_without_news(*to, None, records, actions);
        }
    }

    /// One member of each other data centre.
    ///
    /// Failure: members mostly probe and tell those of their own data centre.
    /// Where the few who are told happen to lie in the others, a whole data
    /// centre hears nothing for seconds. Symptom: all its nodes place calls on
    /// an upstream that left.
    fn far_targets(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
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

    /// Members of the own data centre, or of the others. A sample comes in no
    /// random order: it is drawn in the number that is wanted and not cut down.
    fn targets(&self, near: bool, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let is_near = |entry: &Entry| entry.member.data_centre == self.own.data_centre;
        self.table
            .live()
            .filter(|(_, entry)| is_near(entry) == near)
            .filter_map(|(_, entry)| entry.address)
            .sample(rng, count)
    }
}
