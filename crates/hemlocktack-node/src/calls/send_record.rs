//! State of the sends of one call, used to answer it before they end.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_protocol::{Answer, Outcome, Reason};
use strum::IntoStaticStr;

use super::SendProgress;
use super::outcomes::{not_run_answer, unknown_answer};
use super::service_directory::PeerEntry;

/// The sends of one call so far.
#[derive(Default)]
pub(crate) struct SendRecord {
    state: Mutex<SendState>,
}

#[derive(Default)]
struct SendState {
    /// A send that has ended may have reached an upstream.
    may_have_run: bool,
    /// The request has its token and its body.
    has_entered: bool,
    pending: Option<PendingSend>,
}

/// Where a request is at its entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum RequestPhase {
    /// It waits for a token of its quota or for its body.
    Entering,
    /// It waits to be sent to a node, for the first time or again.
    Placing,
    /// It waits for the answer of a node.
    Sent,
}

/// A send that has not ended yet.
#[derive(Clone)]
pub(crate) struct PendingSend {
    pub(crate) receiver: NodeIncarnation,
    since: Instant,
    progress: Arc<SendProgress>,
}

impl SendRecord {
    /// Records that the request is complete and may be sent.
    pub(crate) fn enter(&self) {
        self.state().has_entered = true;
    }

    /// Returns where the request is.
    pub(crate) fn phase(&self) -> RequestPhase {
        let state = self.state();
        match (state.has_entered, &state.pending) {
            (false, _) => RequestPhase::Entering,
            (true, None) => RequestPhase::Placing,
            (true, Some(_)) => RequestPhase::Sent,
        }
    }

    /// Records the begin of a send to this node and returns its progress.
    pub(super) fn begin(&self, peer: &PeerEntry) -> Arc<SendProgress> {
        let progress = Arc::<SendProgress>::default();
        self.state().pending = Some(PendingSend {
            receiver: peer.identity.clone(),
            since: Instant::now(),
            progress: progress.clone(),
        });
        progress
    }

    pub(super) fn end(&self, answer: &Answer) {
        let mut state = self.state();
        state.pending = None;
        state.may_have_run |= answer.outcome() != Outcome::NotRun;
    }

    /// Returns the send that the call waits for.
    pub(crate) fn pending(&self) -> Option<PendingSend> {
        self.state().pending.clone()
    }

    /// Returns the answer to a call that is given up before its sends have ended. A pending send
    /// that has not left this node never will; its future must have been dropped.
    pub(crate) fn early_answer(&self, reason: Reason) -> Answer {
        let state = self.state();
        let pending = state.pending.as_ref();
        let has_left = pending.is_some_and(|pending| !pending.progress.abandon());
        match state.may_have_run || has_left {
            true => unknown_answer(reason),
            false => not_run_answer(reason, None),
        }
    }

    fn state(&self) -> MutexGuard<'_, SendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PendingSend {
    pub(crate) fn elapsed(&self) -> Duration {
        self.since.elapsed()
    }
}
