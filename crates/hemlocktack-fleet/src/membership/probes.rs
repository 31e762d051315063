//! Selection of members to probe, and outstanding probes.

use std::net::SocketAddr;
use std::time::Instant;

use hemlocktack_protocol::{Incarnation, ProbeAck};
use rand::Rng;
use rand::seq::SliceRandom;

use super::table::{Entry, Table};

/// The probe of this period, which waits for an answer.
pub(crate) struct Pending {
    pub(crate) sequence: u64,
    pub(crate) node_id: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent: Instant,
    pub(crate) sent_indirect: bool,
}

/// A probe on behalf of another node.
pub(crate) struct Relayed {
    pub(crate) sequence: u64,
    pub(crate) requester: SocketAddr,
    pub(crate) requester_sequence: u64,
    pub(crate) target: String,
}

/// Order of probing, and outstanding probes.
#[derive(Default)]
pub(crate) struct Probes {
    local: Vec<String>,
    remote: Vec<String>,
    gone: Vec<String>,
    count: u32,
    sequence: u64,
    pub(crate) pending: Option<Pending>,
    relayed: Vec<Relayed>,
}

impl Probes {
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the next member of a shuffled round, so that each is probed within a bounded time.
    ///
    /// Most probes stay within the data centre. A fixed share goes to other data centres, whatever
    /// the size of the fleet.
    pub(crate) fn next_target(
        &mut self,
        table: &Table,
        data_centre: &str,
        remote_interval: u32,
        rng: &mut impl Rng,
    ) -> Option<String> {
        self.count = self.count.wrapping_add(1);
        let remote_first = self.count.is_multiple_of(remote_interval);
        for remote in [remote_first, !remote_first] {
            let round = if remote {
                &mut self.remote
            } else {
                &mut self.local
            };
            if let Some(target) = next_of_round(round, table, data_centre, remote, rng) {
                return Some(target);
            }
        }
        None
    }

    /// Returns the next dead or left member to retry, from a shuffled round. With a random choice a
    /// member that is back could wait long behind those that are gone permanently.
    ///
    /// Left members are retried too: a new incarnation may run at the same address, and neither it
    /// nor the nodes here would know of each other.
    pub(crate) fn next_gone(&mut self, table: &Table, rng: &mut impl Rng) -> Option<String> {
        let is_gone = |entry: &Entry| !entry.is_live();
        while let Some(node_id) = self.gone.pop() {
            if table.get(&node_id).is_some_and(is_gone) {
                return Some(node_id);
            }
        }
        let gone = table.entries().filter(|(_, entry)| is_gone(entry));
        self.gone = gone.map(|(node_id, _)| node_id.clone()).collect();
        self.gone.shuffle(rng);
        self.gone.pop()
    }

    pub(crate) fn relay(&mut self, relayed: Relayed) {
        const RELAYED_LIMIT: usize = 64;
        if self.relayed.len() >= RELAYED_LIMIT {
            self.relayed.remove(0);
        }
        self.relayed.push(relayed);
    }

    /// Removes and returns the relayed probe that an ack answers.
    ///
    /// The ack must carry the node id of the target. If a node is gone and another node now uses
    /// its address, that one answers the probe; accepting its ack would keep the gone node alive,
    /// and calls would be sent to it forever.
    pub(crate) fn take_relayed(&mut self, ack: &ProbeAck) -> Option<Relayed> {
        let position = self.relayed.iter().position(|relayed| {
            relayed.sequence == ack.sequence && relayed.target == ack.of_node_id
        })?;
        Some(self.relayed.remove(position))
    }
}

fn next_of_round(
    round: &mut Vec<String>,
    table: &Table,
    data_centre: &str,
    remote: bool,
    rng: &mut impl Rng,
) -> Option<String> {
    let is_live = |node_id: &String| table.get(node_id).is_some_and(|entry| entry.is_live());
    while let Some(node_id) = round.pop() {
        if is_live(&node_id) {
            return Some(node_id);
        }
    }
    *round = table
        .live()
        .filter(|(_, entry)| (entry.member.data_centre != data_centre) == remote)
        .map(|(node_id, _)| node_id.clone())
        .collect();
    round.shuffle(rng);
    round.pop()
}
