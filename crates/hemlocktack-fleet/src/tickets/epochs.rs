//! Expiry of tickets by epochs, which advance with the number of new records instead of a clock.

use std::collections::VecDeque;

use crate::peer::NodeIncarnation;
use crate::tickets::record::Nonce;

/// Position of a ticket's epoch relative to the epochs whose records the home still keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EpochAge {
    Kept,
    Expired,
    NotReached,
}

/// Nonces of the tickets of one home, own or adopted, grouped by epoch.
///
/// Records are removed one whole epoch at a time, and every ticket of a removed epoch is refused.
/// Removing single records would let a delayed re-send run the request a second time.
#[derive(Clone, Debug)]
pub(crate) struct EpochWindow {
    pub(crate) home: NodeIncarnation,
    pub(crate) number: u32,
    current: u64,
    kept_count: usize,
    records_per_epoch: usize,
    created_since_advance: usize,
    // The last entry belongs to the current epoch.
    nonces: VecDeque<Vec<Nonce>>,
}

impl EpochWindow {
    pub(crate) fn new(
        home: NodeIncarnation,
        number: u32,
        current: u64,
        kept_count: usize,
        records_per_epoch: usize,
    ) -> EpochWindow {
        let kept_count = kept_count.max(1);
        let earlier_count = (kept_count as u64 - 1).min(current.saturating_sub(1));
        let nonces = vec![Vec::new(); earlier_count as usize + 1].into();
        EpochWindow {
            home,
            number,
            current,
            kept_count,
            records_per_epoch: records_per_epoch.max(1),
            created_since_advance: 0,
            nonces,
        }
    }

    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    pub(crate) fn age(&self, epoch: u64) -> EpochAge {
        if epoch > self.current {
            return EpochAge::NotReached;
        }
        match self.current - epoch < self.nonces.len() as u64 {
            true => EpochAge::Kept,
            false => EpochAge::Expired,
        }
    }

    /// Adds a record that was created at another home.
    ///
    /// It does not count towards the end of the current epoch; otherwise adopting a large table
    /// would expire that table at once.
    pub(crate) fn add(&mut self, epoch: u64, nonce: Nonce) {
        debug_assert_eq!(self.age(epoch), EpochAge::Kept);
        let index = self.nonces.len() - 1 - (self.current - epoch) as usize;
        self.nonces[index].push(nonce);
    }

    /// Adds a new record; returns the nonces of the epoch that expired, if any.
    pub(crate) fn add_new(&mut self, epoch: u64, nonce: Nonce) -> Vec<Nonce> {
        self.add(epoch, nonce);
        self.created_since_advance += 1;
        match self.created_since_advance >= self.records_per_epoch {
            true => self.advance(),
            false => Vec::new(),
        }
    }

    pub(crate) fn advance(&mut self) -> Vec<Nonce> {
        self.current += 1;
        self.created_since_advance = 0;
        self.nonces.push_back(Vec::new());
        match self.nonces.len() > self.kept_count {
            true => self.nonces.pop_front().unwrap_or_default(),
            false => Vec::new(),
        }
    }

    pub(crate) fn into_nonces(self) -> impl Iterator<Item = Nonce> {
        self.nonces.into_iter().flatten()
    }

    pub(crate) fn nonces(&self) -> impl Iterator<Item = &Nonce> {
        self.nonces.iter().flatten()
    }
}
