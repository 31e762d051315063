//! Encoding of ticket tables as `Handover` frames.

use std::sync::Arc;

use bytes::Bytes;
use hemlocktack_protocol::{Handover, HandoverEntry, Reason, TicketProgress};
use prost::Message;

use crate::peer::NodeIncarnation;
use crate::tickets::{Nonce, TicketOutcome, TransferEntry, TransferTable};

// Well below any frame limit, and small enough that other frames of the link are not held up.
const PART_LIMIT_BYTES: usize = 256 << 10;
// Limit on the answers of one table, so that the table stays below the limit of the successor
// (`HandoverLimits::table_bytes`) however large the operators' budget for kept answers is.
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
    for entry in table.entries.into_iter().map(encode_entry) {
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

// Keeps the latest answers, which are the most likely to be requested again. Entries are ordered
// from the oldest epoch to the latest.
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

fn encode_entry(entry: TransferEntry) -> HandoverEntry {
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

/// Decodes an entry; `None` if it is malformed.
pub(crate) fn decode_entry(entry: HandoverEntry) -> Option<TransferEntry> {
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
