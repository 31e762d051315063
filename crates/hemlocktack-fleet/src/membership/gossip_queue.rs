//! News that rides on datagrams until it has been told often enough.

use std::collections::BTreeMap;

use hemlocktack_protocol::stable_hash;

/// How often one record was told.
struct Telling {
    count: u32,
    /// Among records told equally often.
    order: u64,
}

/// Records that still have to be passed on, each a bounded number of times.
///
/// Without the bound old news would fill the datagrams for ever; without the
/// order by count fresh news would wait behind old. Among equals each node has
/// an order of its own: were it the same on all, a fleet with much news would
/// tell the same few records over and over.
pub(crate) struct News {
    salt: u64,
    tellings: BTreeMap<String, Telling>,
}

impl News {
    /// `salt` differs from node to node.
    pub(crate) fn new(salt: u64) -> Self {
        Self {
            salt,
            tellings: BTreeMap::new(),
        }
    }

    /// Passes a record on from now; a fresher record starts over.
    pub(crate) fn push(&mut self, node_id: &str) {
        let order = stable_hash(&[node_id.as_bytes(), &self.salt.to_le_bytes()]);
        let telling = Telling { count: 0, order };
        self.tellings.insert(node_id.to_owned(), telling);
    }

    /// Node ids in the order in which they should be told.
    pub(crate) fn pending(&self) -> Vec<String> {
        let mut pending: Vec<(u32, u64, &String)> = self
            .tellings
            .iter()
            .map(|(id, telling)| (telling.count, telling.order, id))
            .collect();
        pending.sort_unstable();
        pending.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// Counts one telling and drops what has been told `limit` times.
    pub(crate) fn told(&mut self, node_id: &str, limit: u32) {
        let Some(telling) = self.tellings.get_mut(node_id) else {
            return;
        };
        telling.count += 1;
        if telling.count >= limit {
            self.tellings.remove(node_id);
        }
    }
}

/// Tellings by which epidemic spreading has reached all of `members` but a
/// few, which find out by comparing their tables.
pub(crate) fn tellings_limit(members: usize) -> u32 {
    const BASE: u32 = 5;
    let doublings = usize::BITS - members.leading_zeros();
    BASE + doublings
}
