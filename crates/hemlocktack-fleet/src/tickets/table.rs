//! The home's record of every ticket that it has seen.

use std::collections::{HashMap, VecDeque};

use hemlocktack_protocol::{Incarnation, NodeId};

use crate::peer::NodeIncarnation;
use crate::tickets::epochs::{EpochAge, EpochWindow};
use crate::tickets::kept_answers::KeptAnswers;
use crate::tickets::record::{Nonce, Record, State, TicketOutcome};

const FIRST_EPOCH: u64 = 1;
const OWN_HOME_NUMBER: u32 = 0;

/// Bounds of a table's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// New records after which the epoch advances.
    pub records_per_epoch: usize,
    /// Epochs whose records are kept; older tickets have expired.
    pub kept_epochs: usize,
    /// Encoded bytes of answers kept for re-sends.
    pub kept_answer_bytes: usize,
    /// Homes whose tables are taken over; the oldest goes first.
    pub adopted_homes: usize,
}

impl TableLimits {
    // One epoch more than is kept may wait for its removal.
    fn records_limit(&self) -> usize {
        self.records_per_epoch * (self.kept_epochs + 1)
    }
}

impl Default for TableLimits {
    /// With 375 new tickets a second a ticket expires after six minutes at the
    /// earliest. Records and answers together stay under a quarter of the memory
    /// that a node may use.
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
    // New tickets are fenced; those in flight go on.
    Stopping,
    // The table's content is on its way to a successor: nothing may be added.
    Frozen,
}

/// All that one node incarnation knows of the tickets that it is home of.
///
/// It promises that [`TicketTable::mark_started`] and [`TicketTable::delegate`]
/// let each ticket's request out to at most one place at a time, and that no
/// ticket starts again once it has ended or may have run.
#[derive(Clone, Debug)]
pub struct TicketTable {
    pub(crate) limits: TableLimits,
    pub(crate) phase: Phase,
    // The first is this node's own.
    pub(crate) homes: Vec<EpochWindow>,
    pub(crate) dropped_homes: VecDeque<NodeIncarnation>,
    next_home_number: u32,
    pub(crate) records: HashMap<Nonce, Record>,
    pub(crate) answers: KeptAnswers<Nonce>,
    pub(crate) expired: VecDeque<Nonce>,
    in_flight_count: usize,
}

impl TicketTable {
    /// An empty table for one start of a node.
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
            // Its growth would hold up every call of the node while it is moved;
            // room that is not used yet takes no memory.
            records: HashMap::with_capacity(limits.records_limit()),
            answers: KeptAnswers::new(limits.kept_answer_bytes),
            expired: VecDeque::new(),
            in_flight_count: 0,
        };
        table.add_home(home, FIRST_EPOCH);
        table
    }

    /// The node start that this table belongs to.
    pub fn own_home(&self) -> &NodeIncarnation {
        &self.homes[0].home
    }

    /// Epoch that new tickets for this home carry; goes into `Member.ticket_epoch`.
    pub fn current_epoch(&self) -> u64 {
        self.homes[0].current()
    }

    /// Tickets queued, delegated or started.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight_count
    }

    /// Records held, of all homes.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Changes the budget for kept answers; where it is smaller, the oldest go.
    pub fn set_kept_answer_bytes(&mut self, kept_answer_bytes: usize) {
        self.limits.kept_answer_bytes = kept_answer_bytes;
        self.answers.set_budget_bytes(kept_answer_bytes);
    }

    /// Encoded bytes of kept answers, with their overhead.
    pub fn kept_answer_bytes(&self) -> usize {
        self.answers.used_bytes()
    }

    /// Homes whose tickets this table decides on: its own and adopted ones.
    pub fn homes(&self) -> impl Iterator<Item = &NodeIncarnation> {
        self.homes.iter().map(|window| &window.home)
    }

    /// Whether unknown tickets of this home may begin here.
    pub fn is_open_for(&self, home: &NodeIncarnation) -> bool {
        self.phase == Phase::Accepting && self.homes().any(|own| own == home)
    }

    /// End of a ticket, where it has one.
    pub fn outcome_of(&self, nonce: Nonce) -> Option<TicketOutcome> {
        match self.records.get(&nonce)?.state {
            State::Ended(end) => Some(end),
            _ => None,
        }
    }

    /// Takes no new tickets from now on; those in flight go on to their end.
    pub fn stop_accepting(&mut self) {
        if self.phase == Phase::Accepting {
            self.phase = Phase::Stopping;
        }
    }

    /// Begins a new epoch. It also advances by itself with the records made.
    pub fn advance_epoch(&mut self) {
        let expired = self.homes[0].advance();
        self.expired.extend(expired);
    }

    /// Panics where the table contradicts itself; for tests and randomised runs.
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
        let expired = window.note(epoch, nonce);
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
        // Its epoch went while it ran; tickets of it are refused as expired.
        if window.is_none_or(|window| window.age(epoch) != EpochAge::Kept) {
            self.expired.push_back(nonce);
        }
    }

    // Records in flight stay until their end, which lists them once more.
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
