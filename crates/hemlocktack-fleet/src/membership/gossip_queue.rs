//! Queue of updated records that are piggybacked on datagrams.

use std::collections::BTreeMap;

use hemlocktack_protocol::stable_hash;

/// Queue entry of one record.
struct QueuedRecord {
    /// Number of times that the record was sent.
    sent_count: u32,
    /// Order among records that were sent equally often.
    order: u64,
}

/// Records that still have to be disseminated, each a limited number of times.
///
/// Without the limit old updates would fill the datagrams forever. Records that were sent least
/// often go first, so that new updates do not wait behind old ones. Among equals the order differs
/// from node to node; otherwise a fleet with many updates would send the same few records over and
/// over.
pub(crate) struct GossipQueue {
    salt: u64,
    queued: BTreeMap<String, QueuedRecord>,
}

impl GossipQueue {
    /// Creates an empty queue; `salt` must differ from node to node.
    pub(crate) fn new(salt: u64) -> Self {
        Self {
            salt,
            queued: BTreeMap::new(),
        }
    }

    /// Queues a record; a newer version of a queued record starts over.
    pub(crate) fn push(&mut self, node_id: &str) {
        let order = stable_hash(&[node_id.as_bytes(), &self.salt.to_le_bytes()]);
        let record = QueuedRecord {
            sent_count: 0,
            order,
        };
        self.queued.insert(node_id.to_owned(), record);
    }

    /// Returns the node ids in the order in which their records should be sent.
    pub(crate) fn pending(&self) -> Vec<String> {
        let mut pending: Vec<(u32, u64, &String)> = self
            .queued
            .iter()
            .map(|(id, record)| (record.sent_count, record.order, id))
            .collect();
        pending.sort_unstable();
        pending.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// Counts one transmission, and removes the record after `limit` transmissions.
    pub(crate) fn record_sent(&mut self, node_id: &str, limit: u32) {
        let Some(record) = self.queued.get_mut(node_id) else {
            return;
        };
        record.sent_count += 1;
        if record.sent_count >= limit {
            self.queued.remove(node_id);
        }
    }
}

/// Returns the number of transmissions after which a record has reached all but a few of `members`.
/// The remaining ones get it by anti-entropy.
pub(crate) fn transmission_limit(members: usize) -> u32 {
    const BASE: u32 = 5;
    let doublings = usize::BITS - members.leading_zeros();
    BASE + doublings
}
