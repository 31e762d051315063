//! Transfer of a ticket table from a stopping home to its successor.

use std::sync::Arc;

use hemlocktack_protocol::{Answer, Fingerprint, Reason};

use crate::peer::NodeIncarnation;
use crate::tickets::epochs::EpochAge;
use crate::tickets::record::{Nonce, Record, State, TicketOutcome};
use crate::tickets::table::{Phase, TicketTable};

/// State of one ticket that is handed over to the successor.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TransferEntry {
    pub(crate) nonce: Nonce,
    pub(crate) epoch: u64,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) end: TicketOutcome,
    pub(crate) answer: Option<Arc<Answer>>,
}

/// Content of one home's ticket table.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TransferTable {
    pub(crate) home: NodeIncarnation,
    pub(crate) current_epoch: u64,
    pub(crate) entries: Vec<TransferEntry>,
}

impl TicketTable {
    /// Freezes the table permanently and returns its content, one item per home.
    ///
    /// Queued requests are fenced. Requests that are still running are transferred as "may have
    /// run": the successor cannot learn their outcome, but this node may still answer the callers
    /// that wait for them here.
    pub(crate) fn freeze(&mut self) -> Vec<TransferTable> {
        self.phase = Phase::Frozen;
        self.fence_queued();
        self.homes
            .iter()
            .map(|window| {
                let entries = window
                    .nonces()
                    .filter_map(|nonce| self.transfer_entry(*nonce));
                TransferTable {
                    home: window.home.clone(),
                    current_epoch: window.current(),
                    entries: entries.collect(),
                }
            })
            .collect()
    }

    /// Returns whether this node may still adopt the table of another node.
    pub(crate) fn can_adopt(&self) -> bool {
        self.phase == Phase::Accepting
    }

    pub(crate) fn has_adopted(&self, home: &NodeIncarnation) -> bool {
        self.homes.iter().skip(1).any(|window| window.home == *home)
            || self.dropped_homes.contains(home)
    }

    /// Makes this node the home of another node's tickets.
    pub(crate) fn adopt(&mut self, table: TransferTable) {
        if self.has_adopted(&table.home) || table.home == *self.own_home() {
            return;
        }
        self.drop_homes_above_limit();
        let number = self.add_home(table.home, table.current_epoch);
        for entry in table.entries {
            self.adopt_entry(number, entry);
        }
    }

    fn adopt_entry(&mut self, home_number: u32, entry: TransferEntry) {
        let window = self
            .homes
            .iter_mut()
            .find(|window| window.number == home_number);
        let Some(window) = window.filter(|window| window.age(entry.epoch) == EpochAge::Kept) else {
            return;
        };
        if self.records.contains_key(&entry.nonce) {
            return;
        }
        window.add(entry.epoch, entry.nonce);
        if let Some(answer) = entry.answer {
            self.answers.keep(entry.nonce, answer);
        }
        let record = Record {
            home_number,
            epoch: entry.epoch,
            fingerprint: entry.fingerprint,
            state: State::Ended(entry.end),
        };
        self.records.insert(entry.nonce, record);
    }

    fn fence_queued(&mut self) {
        let is_queued = |record: &Record| matches!(record.state, State::Queued);
        let queued = self.records.iter().filter(|(_, record)| is_queued(record));
        let mut nonces: Vec<_> = queued.map(|(nonce, _)| *nonce).collect();
        nonces.sort_unstable();
        for nonce in nonces {
            self.end(nonce, TicketOutcome::NotRun(Reason::Draining));
        }
    }

    fn transfer_entry(&self, nonce: Nonce) -> Option<TransferEntry> {
        let record = self.records.get(&nonce)?;
        let end = match record.state {
            State::Ended(end) => end,
            _ => TicketOutcome::Unknown(Reason::HomeGone),
        };
        let answer = self.answers.get(&nonce);
        Some(TransferEntry {
            nonce,
            epoch: record.epoch,
            fingerprint: record.fingerprint,
            end,
            answer,
        })
    }

    // Drops the oldest home first, whose tickets are the least likely to be re-sent. From now on
    // they are refused like the tickets of a home that is gone.
    fn drop_homes_above_limit(&mut self) {
        while self.homes.len() > self.limits.adopted_homes.max(1) {
            let window = self.homes.remove(1);
            self.dropped_homes.push_back(window.home.clone());
            self.expired.extend(window.into_nonces());
        }
        while self.dropped_homes.len() > DROPPED_HOMES_REMEMBERED {
            self.dropped_homes.pop_front();
        }
    }
}

// Recognizes a repeated handover frame of a home that has been dropped again because eight further
// homes were adopted. A home hands over only once, and within seconds.
const DROPPED_HOMES_REMEMBERED: usize = 256;
