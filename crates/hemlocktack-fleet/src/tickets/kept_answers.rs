//! Answers kept for re-sent requests, within a memory budget.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::sync::Arc;

use hemlocktack_protocol::Answer;
use prost::Message;

// Memory of an entry beyond its encoded bytes: map slot, queue slot and allocation.
const ENTRY_OVERHEAD_BYTES: usize = 256;

#[derive(Clone, Debug)]
struct Kept {
    answer: Arc<Answer>,
    size_bytes: usize,
}

/// Keeps the latest answers and evicts the oldest ones when the budget is used up.
#[derive(Clone, Debug)]
pub(crate) struct KeptAnswers<Key> {
    budget_bytes: usize,
    used_bytes: usize,
    by_key: HashMap<Key, Kept>,
    oldest_first: VecDeque<Key>,
}

impl<Key: Clone + Eq + Hash> KeptAnswers<Key> {
    pub(crate) fn new(budget_bytes: usize) -> KeptAnswers<Key> {
        let by_key = HashMap::new();
        KeptAnswers {
            budget_bytes,
            used_bytes: 0,
            by_key,
            oldest_first: VecDeque::new(),
        }
    }

    pub(crate) fn keep(&mut self, key: Key, answer: Arc<Answer>) {
        let size_bytes = answer.encoded_len() + ENTRY_OVERHEAD_BYTES;
        if size_bytes > self.budget_bytes || self.by_key.contains_key(&key) {
            return;
        }
        while self.used_bytes + size_bytes > self.budget_bytes {
            self.drop_oldest();
        }
        self.used_bytes += size_bytes;
        self.oldest_first.push_back(key.clone());
        self.by_key.insert(key, Kept { answer, size_bytes });
    }

    pub(crate) fn get(&self, key: &Key) -> Option<Arc<Answer>> {
        self.by_key.get(key).map(|kept| Arc::clone(&kept.answer))
    }

    pub(crate) fn remove(&mut self, key: &Key) {
        let Some(kept) = self.by_key.remove(key) else {
            return;
        };
        self.used_bytes -= kept.size_bytes;
        // Keys of removed answers stay in the queue until they reach its front. Removes them when
        // they outnumber the kept ones, so that the queue cannot outgrow the map.
        if self.oldest_first.len() > 2 * self.by_key.len() + 64 {
            let by_key = &self.by_key;
            self.oldest_first.retain(|key| by_key.contains_key(key));
        }
    }

    pub(crate) fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Changes the budget; a smaller one evicts the oldest answers at once.
    pub(crate) fn set_budget_bytes(&mut self, budget_bytes: usize) {
        self.budget_bytes = budget_bytes;
        while self.used_bytes > self.budget_bytes {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(key) = self.oldest_first.pop_front() else {
            return;
        };
        if let Some(kept) = self.by_key.remove(&key) {
            self.used_bytes -= kept.size_bytes;
        }
    }
}
