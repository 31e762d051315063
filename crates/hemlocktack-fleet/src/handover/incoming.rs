//! The successor's side.

use std::collections::HashMap;

use derive_more::{Display, Error};
use hemlocktack_protocol::{Handover, HandoverAccepted};
use prost::Message;

use crate::handover::parts::from_frame;
use crate::peer::NodeIncarnation;
use crate::tickets::{TicketTable, TransferEntry, TransferTable};

/// Result of the functions of this module.
pub type Result<T> = std::result::Result<T, HandoverError>;

/// Why a `Handover` frame is not taken. The sender may try another successor.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HandoverError {
    /// Not a frame that a node of the fleet makes.
    #[display("malformed handover frame")]
    Malformed,
    /// Larger than this node may keep, or too many handovers at once.
    #[display("the handover is larger than this node takes")]
    TooLarge,
    /// This node is stopping itself.
    #[display("this node is stopping itself")]
    Stopping,
    /// A commit of a table that is not here in whole.
    #[display("commit of a handover that is not complete here")]
    NotComplete,
}

/// Bounds of handovers that are not yet committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverLimits {
    /// Tables at once.
    pub tables: usize,
    /// Entries of one table.
    pub entries: usize,
    /// Encoded bytes of one table.
    pub table_bytes: usize,
}

impl Default for HandoverLimits {
    /// One full table of the default limits with all its answers, and the
    /// tables that its node adopted before.
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

/// Tables that are offered to this node and not yet committed to it.
#[derive(Clone, Debug)]
pub struct IncomingHandovers {
    limits: HandoverLimits,
    offers: HashMap<OfferKey, Offer>,
}

impl IncomingHandovers {
    /// For one start of a node.
    pub fn new(limits: HandoverLimits) -> IncomingHandovers {
        IncomingHandovers {
            limits,
            offers: HashMap::new(),
        }
    }

    /// Takes in a `Handover` frame; the reply goes back to its sender.
    ///
    /// A part that came before or out of order changes nothing: the sender
    /// sends the whole table again over a new link.
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

    /// Forgets what was offered and not committed by nodes that have gone.
    pub fn retain_offers_of(&mut self, is_there: impl Fn(&NodeIncarnation) -> bool) {
        self.offers.retain(|key, _| is_there(&key.from));
    }

    /// Entries held in offers.
    pub fn entry_count(&self) -> usize {
        self.offers.values().map(|offer| offer.entries.len()).sum()
    }

    fn commit(&mut self, table: &mut TicketTable, key: OfferKey) -> Result<()> {
        // The acceptance of an earlier commit frame was lost.
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
            let entry = from_frame(entry).ok_or(HandoverError::Malformed)?;
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
