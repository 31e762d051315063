//! Sender side: calls to one incarnation of one peer that wait for their end.

use std::collections::HashMap;

use hemlocktack_protocol::{CallId, CallProgress};

use crate::peer::NodeIncarnation;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    // In this node's own queue for the link.
    Queued,
    // A byte of it may have left.
    Sent,
    // Sent over a link that was lost.
    InDoubt,
}

#[derive(Clone, Debug)]
struct Send<Waiter> {
    progress: Progress,
    waiter: Waiter,
}

/// What a lost link means for the calls on it.
#[derive(Debug, PartialEq, Eq)]
pub struct LinkLoss<Waiter> {
    /// No byte of these left: not run, they may be placed elsewhere.
    pub not_sent: Vec<Waiter>,
    /// To be asked about over a new link to the same incarnation.
    pub in_doubt: Vec<CallId>,
}

/// What a `CallResolution` frame means for its call.
#[derive(Debug, PartialEq, Eq)]
pub enum Resolved<Waiter> {
    /// Fenced at the peer: not run, it may be placed elsewhere.
    NotRun(Waiter),
    /// The peer has no answer any more.
    Unknown(Waiter),
    /// Running at the peer: the answer will come.
    Waiting,
    /// Settled already, or not in doubt: drop the frame.
    Ignored,
}

/// Calls that wait for an answer of one peer incarnation.
///
/// Each waiter is handed out exactly once. The answers of another peer or
/// another incarnation never come here: each has its own `PendingCalls`, so that a
/// caller can't get an answer to a call with the same number elsewhere.
#[derive(Clone, Debug)]
pub struct PendingCalls<Waiter> {
    peer: NodeIncarnation,
    sends: HashMap<CallId, Send<Waiter>>,
    dropped_answers: u64,
}

impl<Waiter> PendingCalls<Waiter> {
    /// For the incarnation that the link's handshake proved.
    pub fn new(peer: NodeIncarnation) -> PendingCalls<Waiter> {
        PendingCalls {
            peer,
            sends: HashMap::new(),
            dropped_answers: 0,
        }
    }

    /// The peer incarnation that the calls go to.
    pub fn peer(&self) -> &NodeIncarnation {
        &self.peer
    }

    /// Calls that wait.
    pub fn waiting_count(&self) -> usize {
        self.sends.len()
    }

    /// Answers that came for no waiting call: late or duplicate ones.
    pub fn dropped_answers(&self) -> u64 {
        self.dropped_answers
    }

    /// Notes a call before its frame is queued. The id comes from the node's
    /// one counter and is never used again.
    pub fn insert(&mut self, call_id: CallId, waiter: Waiter) {
        let earlier = self.sends.insert(
            call_id,
            Send {
                progress: Progress::Queued,
                waiter,
            },
        );
        debug_assert!(earlier.is_none(), "a call id was used twice");
    }

    /// Notes that the frame's first byte is about to be written. `false`: the
    /// call has been settled meanwhile and must not be written.
    pub fn mark_sent(&mut self, call_id: CallId) -> bool {
        let Some(send) = self.sends.get_mut(&call_id) else {
            return false;
        };
        send.progress = Progress::Sent;
        true
    }

    /// Settles a call with its `Answer` frame; `None`: drop the frame.
    pub fn answered(&mut self, call_id: CallId) -> Option<Waiter> {
        let waiter = self.settle(call_id);
        if waiter.is_none() {
            self.dropped_answers += 1;
        }
        waiter
    }

    /// Settles a call that its sender no longer waits for. What the peer made
    /// of it is unknown unless it was never sent.
    pub fn abandon(&mut self, call_id: CallId) -> Option<Waiter> {
        self.settle(call_id)
    }

    /// Notes the loss of the link.
    pub fn link_lost(&mut self) -> LinkLoss<Waiter> {
        let is_queued = |_: &CallId, send: &mut Send<Waiter>| send.progress == Progress::Queued;
        let mut not_sent: Vec<_> = self.sends.extract_if(is_queued).collect();
        not_sent.sort_unstable_by_key(|(call_id, _)| *call_id);
        for send in self.sends.values_mut() {
            send.progress = Progress::InDoubt;
        }
        LinkLoss {
            not_sent: not_sent.into_iter().map(|(_, send)| send.waiter).collect(),
            in_doubt: self.unresolved(),
        }
    }

    /// Calls to ask about over a new link to the same incarnation, oldest first.
    pub fn unresolved(&self) -> Vec<CallId> {
        let in_doubt = self
            .sends
            .iter()
            .filter(|(_, send)| send.progress == Progress::InDoubt);
        let mut call_ids: Vec<_> = in_doubt.map(|(call_id, _)| *call_id).collect();
        call_ids.sort_unstable();
        call_ids
    }

    /// Takes in a `CallResolution` frame.
    pub fn resolved(&mut self, call_id: CallId, progress: CallProgress) -> Resolved<Waiter> {
        let Some(send) = self.sends.get_mut(&call_id) else {
            return Resolved::Ignored;
        };
        if send.progress != Progress::InDoubt {
            return Resolved::Ignored;
        }
        match progress {
            CallProgress::Running => {
                send.progress = Progress::Sent;
                Resolved::Waiting
            }
            CallProgress::NeverArrived => self
                .settle(call_id)
                .map_or(Resolved::Ignored, Resolved::NotRun),
            // The answer goes before a FINISHED: still waiting here, it got lost.
            CallProgress::Finished | CallProgress::Forgotten | CallProgress::Unspecified => self
                .settle(call_id)
                .map_or(Resolved::Ignored, Resolved::Unknown),
        }
    }

    /// Another incarnation answers under the peer's name, or none ever will:
    /// whoever still waits may have been run.
    pub fn peer_gone(&mut self) -> Vec<Waiter> {
        let mut sends: Vec<_> = self.sends.drain().collect();
        sends.sort_unstable_by_key(|(call_id, _)| *call_id);
        sends.into_iter().map(|(_, send)| send.waiter).collect()
    }

    fn settle(&mut self, call_id: CallId) -> Option<Waiter> {
        self.sends.remove(&call_id).map(|send| send.waiter)
    }
}
