//! Eras of the store that the answers to a node's calls name.

use reqwest::header::HeaderValue;
use tokio::sync::watch;

use crate::Era;

/// What the answers so far say of the store's era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SeenEra {
    /// Era of the last answer; `None` if it named none.
    pub era: Option<Era>,
    /// How many answers did not continue the era of the answer before: what was read until then
    /// has to be read again.
    pub changes: u64,
    /// How many of these answers named no era, or a smaller one, after one that named an era.
    pub doubtful_changes: u64,
    has_answered: bool,
}

impl SeenEra {
    /// Returns what is known after an answer that names `era`.
    ///
    /// Without an era, two answers in a row may belong to different ones, so each of them counts
    /// as a change once the store has named an era.
    fn after_answer(self, era: Option<Era>) -> SeenEra {
        let has_named_eras = self.era.is_some() || self.doubtful_changes > 0;
        let is_doubtful = has_named_eras && era < self.era.or(Some(0));
        let is_change = self.has_answered && (self.era != era || is_doubtful);
        SeenEra {
            era,
            changes: self.changes + u64::from(is_change),
            doubtful_changes: self.doubtful_changes + u64::from(is_doubtful),
            has_answered: true,
        }
    }
}

/// The eras that the answers to all of a node's clients name.
#[derive(Debug, Default)]
pub struct StoreEras {
    seen: watch::Sender<SeenEra>,
}

impl StoreEras {
    /// Returns what the answers so far say.
    pub fn seen(&self) -> SeenEra {
        *self.seen.borrow()
    }

    /// Returns a receiver that is notified of each change of the era.
    pub fn subscribe(&self) -> watch::Receiver<SeenEra> {
        self.seen.subscribe()
    }

    /// Records the header of an answer; returns the era that it names.
    pub(crate) fn record(&self, header: Option<&HeaderValue>) -> Option<Era> {
        let era = header.and_then(|header| header.to_str().ok()?.trim().parse().ok());
        self.seen.send_if_modified(|seen| {
            let changes = seen.changes;
            *seen = seen.after_answer(era);
            seen.changes > changes
        });
        era
    }
}
