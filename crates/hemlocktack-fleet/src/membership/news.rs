//! News that rides on datagrams until it has been told often enough.

use std::collections::BTreeMap;

/// Records that still have to be passed on, each a bounded number of times.
///
/// Without the bound old news would fill the datagrams for ever; without the
/// order by count fresh news would wait behind old.
#[derive(Default)]
pub(crate) struct News {
    tellings: BTreeMap<String, u32>,
}

impl News {
    /// Passes a record on from now; a fresher record starts over.
    pub(crate) fn push(&mut self, node_id: &str) {
        self.tellings.insert(node_id.to_owned(), 0);
    }

    /// Node ids in the order in which they should be told.
    pub(crate) fn pending(&self) -> Vec<String> {
        let mut pending: Vec<(u32, &String)> = self
            .tellings
            .iter()
            .map(|(id, &count)| (count, id))
            .collect();
        pending.sort();
        pending.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Counts one telling and drops what has been told `limit` times.
    pub(crate) fn told(&mut self, node_id: &str, limit: u32) {
        let Some(count) = self.tellings.get_mut(node_id) else {
            return;
        };
        *count += 1;
        if *count >= limit {
            self.tellings.remove(node_id);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.tellings.len()
    }
}

/// Tellings by which epidemic spreading has reached all of `members` with high
/// probability: a few times the logarithm.
pub(crate) fn tellings_limit(members: usize) -> u32 {
    const TELLINGS_PER_DOUBLING: u32 = 2;
    let doublings = usize::BITS - members.leading_zeros();
    TELLINGS_PER_DOUBLING * doublings + 2
}
