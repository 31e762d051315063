//! Taking a table out of a stopping home and into its successor.

use std::sync::Arc;

use hemlocktack_protocol::{Answer, Fingerprint, Reason};

use crate::peer::NodeIncarnation;
use crate::tickets::epochs::EpochAge;
use crate::tickets::record::{Nonce, Record, State, TicketOutcome};
use crate::tickets::table::{Phase, TicketTable};

/// What the successor must know of one ticket.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TransferEntry {
    pub(crate) nonce: Nonce,
    pub(crate) epoch: u64,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) end: TicketOutcome,
    pub(crate) answer: Option<Arc<Answer>>,
}

/// Content of one home's table.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TransferTable {
    pub(crate) home: NodeIncarnation,
    pub(crate) current_epoch: u64,
    pub(crate) entries: Vec<TransferEntry>,
}

impl TicketTable {
    /// Freezes the table for good and takes its content, one item a home.
    ///
    /// Requests that still wait are fenced; requests still with an upstream go
    /// over as "may have run": the successor can't learn their end, and this
    /// node may still answer those who wait for them here.
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

    /// Whether a successor may still hand its table to this node.
    pub(crate) fn can_adopt(&self) -> bool {
        self.phase == Phase::Accepting
    }

    pub(crate) fn has_adopted(&self, home: &NodeIncarnation) -> bool {
        self.homes.iter().skip(1).any(|window| window.home == *home)
            || self.dropped_homes.contains(home)
    }

    /// Becomes the home of another's tickets.
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
        window.list(entry.epoch, entry.nonce);
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

    // The oldest is the one whose tickets are the least likely to come again;
    // they are refused from now on as those of a home that has gone.
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

// A home hands over once in its life, within seconds; this is for a repeated
// frame of it that comes after eight further homes were adopted.
const DROPPED_HOMES_REMEMBERED: usize = 256;
