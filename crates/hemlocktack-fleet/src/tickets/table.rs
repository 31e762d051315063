//! A home's table of all tickets that it has seen.

use std::collections::{HashMap, VecDeque};

use hemlocktack_protocol::{Incarnation, NodeId};

use crate::peer::NodeIncarnation;
use crate::tickets::epochs::{EpochAge, EpochWindow};
use crate::tickets::kept_answers::KeptAnswers;
use crate::tickets::record::{Nonce, Record, State, TicketOutcome};

const FIRST_EPOCH: u64 = 1;
const OWN_HOME_NUMBER: u32 = 0;

/// Limits on the memory of a ticket table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Number of new records after which the epoch advances.
    pub records_per_epoch: usize,
    /// Number of epochs whose records are kept; tickets of older epochs have expired.
    pub kept_epochs: usize,
    /// Budget in encoded bytes for answers kept for re-sends.
    pub kept_answer_bytes: usize,
    /// Maximum number of homes whose tables are adopted; the oldest is dropped first.
    pub adopted_homes: usize,
}

impl TableLimits {
    // One expired epoch may still wait for its removal.
    fn records_limit(&self) -> usize {
        self.records_per_epoch * (self.kept_epochs + 1)
    }
}

impl Default for TableLimits {
    /// At 375 new tickets per second a ticket is valid for at least six minutes. Records and
    /// answers together stay below a quarter of a node's memory limit.
    fn default() -> TableLimits {
        TableLimits {
            records_per_epoch: 16_384,
            kept_epochs: 8,
            kept_answer_bytes: 16 << 20,
            adopted_homes: 8,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Accepting,
    // New tickets are fenced; tickets in flight continue.
    Stopping,
    // The content is being handed over to a successor: nothing may be added.
    Frozen,
}

/// State of all tickets whose home is one incarnation of a node.
///
/// [`TicketTable::mark_started`] and [`TicketTable::delegate`] guarantee that each ticket's request
/// is sent to at most one place at a time, and that no request starts again once it has ended or
/// may have run.
#[derive(Clone, Debug)]
pub struct TicketTable {
    pub(crate) limits: TableLimits,
    pub(crate) phase: Phase,
    // The first entry is this node's own.
    pub(crate) homes: Vec<EpochWindow>,
    pub(crate) dropped_homes: VecDeque<NodeIncarnation>,
    next_home_number: u32,
    pub(crate) records: HashMap<Nonce, Record>,
    pub(crate) answers: KeptAnswers<Nonce>,
    pub(crate) expired: VecDeque<Nonce>,
    in_flight_count: usize,
}

impl TicketTable {
    /// Creates an empty table for one incarnation of a node.
    pub fn new(
        node_id: impl Into<NodeId>,
        incarnation: Incarnation,
        limits: TableLimits,
    ) -> TicketTable {
        let home = NodeIncarnation::new(node_id, incarnation);
        let mut table = TicketTable {
            limits,
            phase: Phase::Accepting,
            homes: Vec::new(),
            dropped_homes: VecDeque::new(),
            next_home_number: OWN_HOME_NUMBER,
            // Allocated in full, because growing the map would block every call of the node while
            // its entries are moved. Pages that have not been touched take no physical memory.
            records: HashMap::with_capacity(limits.records_limit()),
            answers: KeptAnswers::new(limits.kept_answer_bytes),
            expired: VecDeque::new(),
            in_flight_count: 0,
        };
        table.add_home(home, FIRST_EPOCH);
        table
    }

    /// Returns the node incarnation that owns this table.
    pub fn own_home(&self) -> &NodeIncarnation {
        &self.homes[0].home
    }

    /// Returns the epoch of new tickets for this home, published as `Member.ticket_epoch`.
    pub fn current_epoch(&self) -> u64 {
        self.homes[0].current()
    }

    /// Returns the number of tickets that are queued, delegated or started.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight_count
    }

    /// Returns the number of records of all homes.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Changes the budget for kept answers; a smaller one evicts the oldest answers.
    pub fn set_kept_answer_bytes(&mut self, kept_answer_bytes: usize) {
        self.limits.kept_answer_bytes = kept_answer_bytes;
        self.answers.set_budget_bytes(kept_answer_bytes);
    }

    /// Returns the memory of kept answers: encoded bytes and overhead.
    pub fn kept_answer_bytes(&self) -> usize {
        self.answers.used_bytes()
    }

    /// Returns the homes whose tickets this table decides on: its own and adopted ones.
    pub fn homes(&self) -> impl Iterator<Item = &NodeIncarnation> {
        self.homes.iter().map(|window| &window.home)
    }

    /// Returns whether requests with unknown tickets of this home may start here.
    pub fn is_open_for(&self, home: &NodeIncarnation) -> bool {
        self.phase == Phase::Accepting && self.homes().any(|own| own == home)
    }

    /// Returns the outcome of a ticket, if it has ended.
    pub fn outcome_of(&self, nonce: Nonce) -> Option<TicketOutcome> {
        match self.records.get(&nonce)?.state {
            State::Ended(end) => Some(end),
            _ => None,
        }
    }

    /// Stops accepting new tickets; tickets in flight continue to their outcome.
    pub fn stop_accepting(&mut self) {
        if self.phase == Phase::Accepting {
            self.phase = Phase::Stopping;
        }
    }

    /// Starts a new epoch. The epoch also advances automatically with the number of new records.
    pub fn advance_epoch(&mut self) {
        let expired = self.homes[0].advance();
        self.expired.extend(expired);
    }

    /// Panics if the table is inconsistent; for tests and randomised runs.
    pub fn assert_consistent(&self) {
        let in_flight_count = self
            .records
            .values()
            .filter(|record| !record.is_ended())
            .count();
        assert_eq!(in_flight_count, self.in_flight_count, "in-flight count");
        let limits = self.limits;
        let home_limit = 1 + limits.adopted_homes;
        assert!(self.homes.len() <= home_limit, "adopted homes");
        assert!(
            self.answers.used_bytes() <= limits.kept_answer_bytes,
            "kept answers"
        );
        let listed: usize = self
            .homes
            .iter()
            .map(|window| window.nonces().count())
            .sum();
        assert!(
            self.records.len() <= listed + self.expired.len() + in_flight_count,
            "every ended record is listed for expiry"
        );
    }

    pub(crate) fn insert(&mut self, nonce: Nonce, record: Record) {
        let (home_number, epoch) = (record.home_number, record.epoch);
        if !record.is_ended() {
            self.in_flight_count += 1;
        }
        self.records.insert(nonce, record);
        let Some(window) = self
            .homes
            .iter_mut()
            .find(|window| window.number == home_number)
        else {
            return;
        };
        let expired = window.add_new(epoch, nonce);
        self.expired.extend(expired);
    }

    pub(crate) fn end(&mut self, nonce: Nonce, end: TicketOutcome) {
        let Some(record) = self.records.get_mut(&nonce) else {
            return;
        };
        record.state = State::Ended(end);
        self.in_flight_count -= 1;
        let (home_number, epoch) = (record.home_number, record.epoch);
        let window = self
            .homes
            .iter()
            .find(|window| window.number == home_number);
        // Its epoch expired while the request ran, so its tickets are refused as expired.
        if window.is_none_or(|window| window.age(epoch) != EpochAge::Kept) {
            self.expired.push_back(nonce);
        }
    }

    // Records in flight are kept; `end` queues them for removal again.
    pub(super) fn purge(&mut self, limit: usize) {
        for _ in 0..limit {
            let Some(nonce) = self.expired.pop_front() else {
                return;
            };
            if self.records.get(&nonce).is_some_and(Record::is_ended) {
                self.records.remove(&nonce);
                self.answers.remove(&nonce);
            }
        }
    }

    pub(crate) fn add_home(&mut self, home: NodeIncarnation, current_epoch: u64) -> u32 {
        let TableLimits {
            kept_epochs,
            records_per_epoch,
            ..
        } = self.limits;
        let number = self.next_home_number;
        self.next_home_number += 1;
        let window = EpochWindow::new(home, number, current_epoch, kept_epochs, records_per_epoch);
        self.homes.push(window);
        number
    }
}
