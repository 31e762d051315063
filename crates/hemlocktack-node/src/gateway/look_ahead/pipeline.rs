//! Which requests of a connection lie behind the one being served and may be started, without
//! I/O.

use std::collections::VecDeque;

use http::request;

use super::heads::{HeadSplitter, SplitHead, is_equal, is_plain};

/// Requests of one connection that are started and whose turn has not come. More would let a
/// single caller take the slots of an upstream.
pub(super) const MAX_EARLY_REQUESTS: usize = 8;
/// Bytes behind the request being served that are read before hyper asks for them.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Responses that wait for an earlier one; above this size no further request is started.
pub(super) const MAX_HELD_RESPONSE_BYTES: usize = 256 << 10;
/// Bytes that may be observed before hyper begins their request. It covers hyper's own read
/// buffer and the bytes read ahead; only a head far above the usual limit exceeds it.
const MAX_OBSERVED_BYTES: usize = 64 << 10;

/// The requests of a connection that hyper has not begun, with the early start `E` of those
/// that were started.
pub(super) struct Pipeline<E> {
    splitter: HeadSplitter,
    /// Requests that were split off, in order. Only the last one may not have been started.
    ahead: VecDeque<AheadRequest<E>>,
    phase: Phase,
    header_limit_bytes: usize,
}

struct AheadRequest<E> {
    head: SplitHead,
    early: Option<E>,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// The route of the last request that was split off is not idempotent, or not known yet.
    Waiting,
    /// Requests behind the last one that was split off may be started.
    Open,
    /// Where the next request begins is unknown, or the connection will close before it.
    Ended,
}

impl<E> Pipeline<E> {
    pub(super) fn new(header_limit_bytes: usize) -> Self {
        Self {
            splitter: HeadSplitter::default(),
            ahead: VecDeque::new(),
            phase: Phase::Waiting,
            header_limit_bytes,
        }
    }

    /// Takes note of the next bytes of the connection.
    pub(super) fn observe(&mut self, bytes: &[u8]) {
        if self.phase == Phase::Ended {
            return;
        }
        if self.splitter.length_bytes() + bytes.len() > MAX_OBSERVED_BYTES {
            return self.end();
        }
        self.splitter.push(bytes);
    }

    /// Takes note of the request that hyper has read; returns its early start, if it has one.
    pub(super) fn begin(&mut self, head: &request::Parts, has_body: bool) -> Option<E> {
        let is_next_known = !has_body && is_plain(head);
        let early = match self.ahead.pop_front() {
            Some(ahead) if is_next_known && is_equal(&ahead.head.parts, head) => ahead.early,
            Some(_) => {
                self.discard();
                return None;
            }
            None if self.phase == Phase::Ended => return None,
            None if is_next_known && self.splitter.skip_head() => None,
            None => {
                self.end();
                return None;
            }
        };
        if early.is_none() && self.phase == Phase::Open {
            self.phase = Phase::Waiting;
        }
        early
    }

    /// Takes note that the request being served may be run beside those behind it.
    pub(super) fn open(&mut self) {
        if self.phase == Phase::Waiting && self.ahead.is_empty() {
            self.phase = Phase::Open;
        }
    }

    /// Returns the next request that may be started, as far as its head tells. It is followed
    /// by a call of [`Self::push_started`] or [`Self::push_waiting`].
    pub(super) fn next_head(&mut self) -> Option<SplitHead> {
        if self.phase != Phase::Open || self.started_count() >= MAX_EARLY_REQUESTS {
            return None;
        }
        match self.splitter.split_head() {
            Ok(None) => None,
            Ok(Some(head)) if self.is_acceptable(&head) => Some(head),
            Ok(Some(_)) | Err(_) => {
                self.end();
                None
            }
        }
    }

    fn is_acceptable(&self, head: &SplitHead) -> bool {
        head.length_bytes <= self.header_limit_bytes && is_plain(&head.parts)
    }

    pub(super) fn push_started(&mut self, head: SplitHead, early: E) {
        let early = Some(early);
        self.ahead.push_back(AheadRequest { head, early });
    }

    /// Adds a request that waits until hyper reads it, as do all requests behind it.
    pub(super) fn push_waiting(&mut self, head: SplitHead) {
        let early = None;
        self.ahead.push_back(AheadRequest { head, early });
        self.phase = Phase::Waiting;
    }

    pub(super) fn started_count(&self) -> usize {
        let started = self.ahead.iter().filter(|ahead| ahead.early.is_some());
        started.count()
    }

    /// Returns the number of observed bytes whose requests hyper has not begun.
    pub(super) fn waiting_bytes(&self) -> usize {
        let heads = self.ahead.iter().map(|ahead| ahead.head.length_bytes);
        self.splitter.length_bytes() + heads.sum::<usize>()
    }

    /// Returns how many further bytes may be read ahead. Without bytes behind the request being
    /// served hyper reads the next ones itself, to notice the end of the connection.
    pub(super) fn read_ahead_room_bytes(&self) -> usize {
        let waiting_bytes = self.waiting_bytes();
        if self.phase != Phase::Open || waiting_bytes == 0 {
            return 0;
        }
        MAX_READ_AHEAD_BYTES.saturating_sub(waiting_bytes)
    }

    /// Ends the look-ahead. Requests that were started are still taken.
    pub(super) fn end(&mut self) {
        self.phase = Phase::Ended;
        self.splitter.clear();
    }

    /// Ends the look-ahead and drops all early starts.
    fn discard(&mut self) {
        self.end();
        self.ahead.clear();
    }

    /// Ends the look-ahead if no request has been started; returns whether it did.
    pub(super) fn end_if_none_started(&mut self) -> bool {
        let is_last = self.started_count() == 0;
        if is_last {
            self.discard();
        }
        is_last
    }
}
