//! Expiry without clocks: a home counts epochs by the records it made.

use std::collections::VecDeque;

use crate::peer::NodeIncarnation;
use crate::tickets::record::Nonce;

/// Whether a ticket's epoch is one that the home still keeps records of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EpochAge {
    Kept,
    Expired,
    NotReached,
}

/// Records of one home, own or adopted, by the epoch of their tickets.
///
/// A record goes only together with its whole epoch, and from then on every
/// ticket of that epoch is refused. Dropping single records would let a
/// delayed re-send start the request a second time.
#[derive(Clone, Debug)]
pub(crate) struct EpochWindow {
    pub(crate) home: NodeIncarnation,
    pub(crate) number: u32,
    current: u64,
    kept_count: usize,
    records_per_epoch: usize,
    created_since_advance: usize,
    // Last one is the current epoch's.
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

    /// Lists a record that another home made; it brings no epoch nearer its end,
    /// or taking over a large table would expire it.
    pub(crate) fn list(&mut self, epoch: u64, nonce: Nonce) {
        debug_assert_eq!(self.age(epoch), EpochAge::Kept);
        let index = self.nonces.len() - 1 - (self.current - epoch) as usize;
        self.nonces[index].push(nonce);
    }

    /// Lists a new record; returns the nonces of an epoch that went out of the window.
    pub(crate) fn note(&mut self, epoch: u64, nonce: Nonce) -> Vec<Nonce> {
        self.list(epoch, nonce);
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
