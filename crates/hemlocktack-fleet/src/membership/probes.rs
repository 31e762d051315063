//! Whom to probe, and the probes that wait for an answer.

use std::net::SocketAddr;
use std::time::Instant;

use hemlocktack_protocol::{Incarnation, ProbeAck};
use rand::Rng;
use rand::seq::SliceRandom;

use super::table::{Entry, Table};

/// The one probe of this period.
pub(crate) struct Pending {
    pub(crate) sequence: u64,
    pub(crate) node_id: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent: Instant,
    pub(crate) asked_others: bool,
}

/// A probe made for another node.
pub(crate) struct Relayed {
    pub(crate) sequence: u64,
    pub(crate) asker: SocketAddr,
    pub(crate) asker_sequence: u64,
    pub(crate) target: String,
}

/// Order of probing and what is outstanding.
#[derive(Default)]
pub(crate) struct Probes {
    near: Vec<String>,
    far: Vec<String>,
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

    /// Next member in a shuffled round, so that each is reached within a
    /// bounded time. Most probes stay within the data centre; a fixed share
    /// goes across, whatever the fleet's size.
    pub(crate) fn next_target(
        &mut self,
        table: &Table,
        data_centre: &str,
        far_interval: u32,
        rng: &mut impl Rng,
    ) -> Option<String> {
        self.count = self.count.wrapping_add(1);
        let far_first = self.count.is_multiple_of(far_interval);
        for far in [far_first, !far_first] {
            let round = if far { &mut self.far } else { &mut self.near };
            if let Some(target) = next_of_round(round, table, data_centre, far, rng) {
                return Some(target);
            }
        }
        None
    }

    /// Next dead or left member to try again, in a shuffled round: tried at
    /// random, a member that is back could wait long behind those that are gone
    /// for good. A left one too: its place may have a new start that knows
    /// nobody here, and nobody here would know it.
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

    /// The probe that this answers.
    ///
    /// Failure: a node is gone, and its address is another's now. Symptom: that one
    /// answers, helpers vouch for the node that is gone, and calls are placed on it
    /// for ever. Only a node's own name vouches for it.
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
    far: bool,
    rng: &mut impl Rng,
) -> Option<String> {
    let is_wanted = |node_id: &String| table.get(node_id).is_some_and(|entry| entry.is_live());
    while let Some(node_id) = round.pop() {
        if is_wanted(&node_id) {
            return Some(node_id);
        }
    }
    *round = table
        .live()
        .filter(|(_, entry)| (entry.member.data_centre != data_centre) == far)
        .map(|(node_id, _)| node_id.clone())
        .collect();
    round.shuffle(rng);
    round.pop()
}
