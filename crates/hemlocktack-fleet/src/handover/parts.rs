//! A table as `Handover` frames, and back.

use std::sync::Arc;

use bytes::Bytes;
use hemlocktack_protocol::{Handover, HandoverEntry, Reason, TicketProgress};
use prost::Message;

use crate::peer::NodeIncarnation;
use crate::tickets::{Nonce, TicketOutcome, TransferEntry, TransferTable};

// Well under any frame limit, and many links' other frames fit in between.
const PART_LIMIT_BYTES: usize = 256 << 10;
// Answers of one table that go over, so that it stays under what a successor
// takes in (`HandoverLimits::table_bytes`) however many the operators keep.
const ANSWERS_LIMIT_BYTES: usize = 24 << 20;

pub(crate) fn to_parts(mut table: TransferTable) -> Vec<Handover> {
    drop_oldest_answers(&mut table.entries);
    let empty = Handover {
        home_node_id: table.home.node_id.to_string(),
        home_incarnation: table.home.incarnation,
        current_epoch: table.current_epoch,
        ..Handover::default()
    };
    let mut parts = vec![empty.clone()];
    let mut part_bytes = 0;
    for entry in table.entries.into_iter().map(to_frame) {
        let entry_bytes = entry.encoded_len();
        if part_bytes > 0 && part_bytes + entry_bytes > PART_LIMIT_BYTES {
            parts.push(Handover {
                part: parts.len() as u32,
                ..empty.clone()
            });
            part_bytes = 0;
        }
        part_bytes += entry_bytes;
        if let Some(part) = parts.last_mut() {
            part.entries.push(entry);
        }
    }
    if let Some(part) = parts.last_mut() {
        part.last = true;
    }
    parts
}

// Entries are listed oldest epoch first; the latest answers are the likeliest
// to be asked for again.
fn drop_oldest_answers(entries: &mut [TransferEntry]) {
    let mut left_bytes = ANSWERS_LIMIT_BYTES;
    for entry in entries.iter_mut().rev() {
        let Some(answer) = &entry.answer else {
            continue;
        };
        match left_bytes.checked_sub(answer.encoded_len()) {
            Some(left) => left_bytes = left,
            None => entry.answer = None,
        }
    }
}

pub(crate) fn to_commit(home: &NodeIncarnation) -> Handover {
    Handover {
        home_node_id: home.node_id.to_string(),
        home_incarnation: home.incarnation,
        committed: true,
        ..Handover::default()
    }
}

fn to_frame(entry: TransferEntry) -> HandoverEntry {
    let progress = match entry.end {
        TicketOutcome::Answered => TicketProgress::Answered,
        TicketOutcome::NotRun(_) => TicketProgress::Fenced,
        TicketOutcome::Unknown(_) => TicketProgress::Started,
    };
    HandoverEntry {
        nonce: Bytes::copy_from_slice(&entry.nonce.to_be_bytes()),
        epoch: entry.epoch,
        fingerprint: entry.fingerprint,
        progress: progress.into(),
        answer: entry.answer.map(|answer| (*answer).clone()),
    }
}

/// `None`: not an entry that any node of the fleet makes.
pub(crate) fn from_frame(entry: HandoverEntry) -> Option<TransferEntry> {
    let nonce: [u8; size_of::<Nonce>()] = entry.nonce.as_ref().try_into().ok()?;
    let end = match entry.progress() {
        TicketProgress::Answered => TicketOutcome::Answered,
        TicketProgress::Fenced => TicketOutcome::NotRun(Reason::Fenced),
        TicketProgress::Started => TicketOutcome::Unknown(Reason::HomeGone),
        TicketProgress::Unspecified => return None,
    };
    let answer = entry
        .answer
        .filter(|_| end == TicketOutcome::Answered)
        .map(Arc::new);
    let nonce = Nonce::from_be_bytes(nonce);
    Some(TransferEntry {
        nonce,
        epoch: entry.epoch,
        fingerprint: entry.fingerprint,
        end,
        answer,
    })
}
