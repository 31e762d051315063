//! The successor's side of a handover.

use std::collections::HashMap;

use derive_more::{Display, Error};
use hemlocktack_protocol::{Handover, HandoverAccepted};
use prost::Message;

use crate::handover::parts::decode_entry;
use crate::peer::NodeIncarnation;
use crate::tickets::{TicketTable, TransferEntry, TransferTable};

/// Result of the functions of this module.
pub type Result<T> = std::result::Result<T, HandoverError>;

/// Why a `Handover` frame is refused. The sender may try another successor.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HandoverError {
    /// The frame is malformed.
    #[display("malformed handover frame")]
    Malformed,
    /// The handover exceeds a limit, or too many handovers are in progress.
    #[display("the handover exceeds this node's limits")]
    TooLarge,
    /// This node is itself stopping.
    #[display("this node is itself stopping")]
    Stopping,
    /// The commit frame is for a table that has not been received completely.
    #[display("commit of a handover that has not been received completely")]
    NotComplete,
}

/// Limits on handovers that are not yet committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverLimits {
    /// Number of tables at the same time.
    pub tables: usize,
    /// Number of entries of one table.
    pub entries: usize,
    /// Encoded bytes of one table.
    pub table_bytes: usize,
}

impl Default for HandoverLimits {
    /// Room for a full table of the default limits with all its answers, and for the tables that
    /// its node adopted earlier.
    fn default() -> HandoverLimits {
        HandoverLimits {
            tables: 18,
            entries: 300_000,
            table_bytes: 32 << 20,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OfferKey {
    from: NodeIncarnation,
    home: NodeIncarnation,
}

#[derive(Clone, Debug)]
struct Offer {
    current_epoch: u64,
    entries: Vec<TransferEntry>,
    size_bytes: usize,
    next_part: u32,
    complete: bool,
}

/// Tables that have been offered to this node and are not yet committed.
#[derive(Clone, Debug)]
pub struct IncomingHandovers {
    limits: HandoverLimits,
    offers: HashMap<OfferKey, Offer>,
}

impl IncomingHandovers {
    /// Creates the state for one incarnation of a node.
    pub fn new(limits: HandoverLimits) -> IncomingHandovers {
        IncomingHandovers {
            limits,
            offers: HashMap::new(),
        }
    }

    /// Processes a `Handover` frame and returns the reply to its sender.
    ///
    /// A duplicate or out-of-order part is ignored: the sender sends the whole table again over a
    /// new link.
    pub fn handle_frame(
        &mut self,
        table: &mut TicketTable,
        from: &NodeIncarnation,
        frame: Handover,
    ) -> Result<HandoverAccepted> {
        if frame.home_node_id.is_empty() {
            return Err(HandoverError::Malformed);
        }
        let home = NodeIncarnation::new(&*frame.home_node_id, frame.home_incarnation);
        let key = OfferKey {
            from: from.clone(),
            home,
        };
        let mut accepted = HandoverAccepted {
            home_node_id: frame.home_node_id.clone(),
            home_incarnation: frame.home_incarnation,
            query_id: frame.query_id,
            ..HandoverAccepted::default()
        };
        if frame.committed {
            self.commit(table, key)?;
            accepted.committed = true;
            return Ok(accepted);
        }
        if !table.can_adopt() {
            return Err(HandoverError::Stopping);
        }
        accepted.complete = table.has_adopted(&key.home) || self.assemble(key, frame)?;
        Ok(accepted)
    }

    /// Discards uncommitted offers of nodes for which `is_there` returns `false`.
    pub fn retain_offers_of(&mut self, is_there: impl Fn(&NodeIncarnation) -> bool) {
        self.offers.retain(|key, _| is_there(&key.from));
    }

    /// Returns the number of entries in uncommitted offers.
    pub fn entry_count(&self) -> usize {
        self.offers.values().map(|offer| offer.entries.len()).sum()
    }

    fn commit(&mut self, table: &mut TicketTable, key: OfferKey) -> Result<()> {
        // A repeated commit frame: the reply to the first one was lost.
        if table.has_adopted(&key.home) {
            return Ok(());
        }
        if !table.can_adopt() {
            return Err(HandoverError::Stopping);
        }
        let is_complete = self.offers.get(&key).is_some_and(|offer| offer.complete);
        let Some(offer) = self.offers.remove(&key).filter(|_| is_complete) else {
            return Err(HandoverError::NotComplete);
        };
        table.adopt(TransferTable {
            home: key.home,
            current_epoch: offer.current_epoch,
            entries: offer.entries,
        });
        Ok(())
    }

    fn assemble(&mut self, key: OfferKey, frame: Handover) -> Result<bool> {
        if !self.offers.contains_key(&key) && self.offers.len() >= self.limits.tables {
            return Err(HandoverError::TooLarge);
        }
        let offer = self.offers.entry(key.clone()).or_insert_with(|| Offer {
            current_epoch: frame.current_epoch,
            entries: Vec::new(),
            size_bytes: 0,
            next_part: 0,
            complete: false,
        });
        if offer.complete || frame.part != offer.next_part {
            return Ok(offer.complete && frame.last);
        }
        let added = offer.add(frame, &self.limits);
        if added.is_err() {
            self.offers.remove(&key);
        }
        added
    }
}

impl Offer {
    fn add(&mut self, frame: Handover, limits: &HandoverLimits) -> Result<bool> {
        self.size_bytes += frame.encoded_len();
        let entry_count = self.entries.len() + frame.entries.len();
        if self.size_bytes > limits.table_bytes || entry_count > limits.entries {
            return Err(HandoverError::TooLarge);
        }
        if frame.current_epoch != self.current_epoch {
            return Err(HandoverError::Malformed);
        }
        for entry in frame.entries {
            let entry = decode_entry(entry).ok_or(HandoverError::Malformed)?;
            if entry.epoch > self.current_epoch {
                return Err(HandoverError::Malformed);
            }
            self.entries.push(entry);
        }
        self.next_part += 1;
        self.complete = frame.last;
        Ok(self.complete)
    }
}
