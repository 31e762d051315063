//! Waits after failures: one for all calls, and one for each call whose answers cannot be decoded.
//!
//! An answer that came shows that the platform is up. If it delayed all calls like an outage, one
//! object that cannot be decoded would keep a node from the objects that can.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::store_codec::StoreCall;
use crate::{Backoff, BackoffSettings};

/// Limit on the calls that have waits of their own. Beyond it, such failures count as an outage.
const CALL_LIMIT: usize = 64;

/// How a call ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    Answered,
    /// An answer came that cannot be decoded.
    Undecoded,
    Unavailable,
}

#[derive(Debug)]
pub(crate) struct CallBackoffs {
    settings: BackoffSettings,
    outage: Backoff,
    undecoded: BTreeMap<String, Backoff>,
}

impl CallBackoffs {
    pub(crate) fn new(settings: BackoffSettings) -> CallBackoffs {
        CallBackoffs {
            settings,
            outage: Backoff::new(settings),
            undecoded: BTreeMap::new(),
        }
    }

    /// Returns whether the platform did not answer the last call.
    pub(crate) fn is_outage(&self) -> bool {
        self.outage.is_failing()
    }

    /// Returns how long the call is still blocked; `None` if it is not.
    pub(crate) fn wait(&self, call_id: &str, now: Instant) -> Option<Duration> {
        let own_wait = self.undecoded.get(call_id).and_then(|own| own.wait(now));
        self.outage.wait(now).max(own_wait)
    }

    /// Ends all waits: the platform is another than the one that failed.
    pub(crate) fn forget(&mut self) {
        self.outage.succeeded();
        self.undecoded.clear();
    }

    /// Records the end of a call. `random` is in 0..1.
    pub(crate) fn record(&mut self, call_id: String, end: CallEnd, now: Instant, random: f64) {
        match end {
            CallEnd::Answered => {
                self.outage.succeeded();
                self.undecoded.remove(&call_id);
            }
            CallEnd::Undecoded if self.has_room(&call_id, now) => {
                self.outage.succeeded();
                let own = self.undecoded.entry(call_id);
                let own = own.or_insert_with(|| Backoff::new(self.settings));
                own.failed(now, random);
            }
            CallEnd::Undecoded | CallEnd::Unavailable => self.outage.failed(now, random),
        }
    }

    fn has_room(&mut self, call_id: &str, now: Instant) -> bool {
        if self.undecoded.len() >= CALL_LIMIT {
            self.undecoded
                .retain(|id, own| id == call_id || own.wait(now).is_some());
        }
        self.undecoded.len() < CALL_LIMIT || self.undecoded.contains_key(call_id)
    }
}

/// Identifies a call and its repeats. Numbers, such as the revision of a watch, differ between them.
pub(crate) fn call_id(call: &StoreCall) -> String {
    let mut id = format!("{} {}", call.method, call.path);
    for (name, value) in &call.query {
        let is_number = value.parse::<u64>().is_ok();
        let value = if is_number { "" } else { value };
        id += &format!(" {name}={value}");
    }
    id
}
