//! Sender side: calls to one incarnation of a peer that wait for an answer.

use std::collections::HashMap;

use hemlocktack_protocol::{CallId, CallProgress};

use crate::peer::NodeIncarnation;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    // In this node's send queue of the link.
    Queued,
    // At least one byte may have been sent.
    Sent,
    // Sent over a link that has since been lost.
    InDoubt,
}

#[derive(Clone, Debug)]
struct Send<Waiter> {
    progress: Progress,
    waiter: Waiter,
}

/// Effect of a lost link on its calls.
#[derive(Debug, PartialEq, Eq)]
pub struct LinkLoss<Waiter> {
    /// Calls of which no byte was sent: they did not run and may be sent to another node.
    pub not_sent: Vec<Waiter>,
    /// Calls to resolve over a new link to the same incarnation.
    pub in_doubt: Vec<CallId>,
}

/// Effect of a `CallResolution` frame on its call.
#[derive(Debug, PartialEq, Eq)]
pub enum Resolved<Waiter> {
    /// The call is fenced at the peer: it did not run and may be sent to another node.
    NotRun(Waiter),
    /// The peer no longer has the answer.
    Unknown(Waiter),
    /// The call is running at the peer, which will send the answer.
    Waiting,
    /// The call is already settled or not in doubt; the frame is dropped.
    Ignored,
}

/// Calls that wait for an answer from one peer incarnation.
///
/// Each waiter is returned exactly once. Each peer incarnation has its own `PendingCalls`, so a
/// caller cannot get the answer to a call with the same id at another peer or incarnation.
#[derive(Clone, Debug)]
pub struct PendingCalls<Waiter> {
    peer: NodeIncarnation,
    sends: HashMap<CallId, Send<Waiter>>,
    dropped_answers: u64,
}

impl<Waiter> PendingCalls<Waiter> {
    /// Creates the state for the incarnation that was authenticated by the link's handshake.
    pub fn new(peer: NodeIncarnation) -> PendingCalls<Waiter> {
        PendingCalls {
            peer,
            sends: HashMap::new(),
            dropped_answers: 0,
        }
    }

    /// Returns the peer incarnation that the calls are sent to.
    pub fn peer(&self) -> &NodeIncarnation {
        &self.peer
    }

    /// Returns the number of calls that wait for an answer.
    pub fn waiting_count(&self) -> usize {
        self.sends.len()
    }

    /// Returns the number of late or duplicate answers, for which no call was waiting.
    pub fn dropped_answers(&self) -> u64 {
        self.dropped_answers
    }

    /// Adds a call before its frame is queued. Ids come from the node's single counter and are
    /// never reused.
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

    /// Records that the frame's first byte is about to be written. Returns `false` if the call has
    /// been settled in the meantime and its frame must not be written.
    pub fn mark_sent(&mut self, call_id: CallId) -> bool {
        let Some(send) = self.sends.get_mut(&call_id) else {
            return false;
        };
        send.progress = Progress::Sent;
        true
    }

    /// Settles a call with its `Answer` frame; `None` if no call waits for the frame.
    pub fn answered(&mut self, call_id: CallId) -> Option<Waiter> {
        let waiter = self.settle(call_id);
        if waiter.is_none() {
            self.dropped_answers += 1;
        }
        waiter
    }

    /// Settles a call that its sender no longer waits for. Its outcome is unknown unless it was
    /// never sent.
    pub fn abandon(&mut self, call_id: CallId) -> Option<Waiter> {
        self.settle(call_id)
    }

    /// Records that the link was lost.
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

    /// Returns the calls to resolve over a new link to the same incarnation, oldest first.
    pub fn unresolved(&self) -> Vec<CallId> {
        let in_doubt = self
            .sends
            .iter()
            .filter(|(_, send)| send.progress == Progress::InDoubt);
        let mut call_ids: Vec<_> = in_doubt.map(|(call_id, _)| *call_id).collect();
        call_ids.sort_unstable();
        call_ids
    }

    /// Processes a `CallResolution` frame.
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
            // The peer sends the answer before FINISHED, so a call that still waits has lost it.
            CallProgress::Finished | CallProgress::Forgotten | CallProgress::Unspecified => self
                .settle(call_id)
                .map_or(Resolved::Ignored, Resolved::Unknown),
        }
    }

    /// Returns all remaining waiters when the peer has another incarnation or is gone for good.
    /// Their calls may have run.
    pub fn peer_gone(&mut self) -> Vec<Waiter> {
        let mut sends: Vec<_> = self.sends.drain().collect();
        sends.sort_unstable_by_key(|(call_id, _)| *call_id);
        sends.into_iter().map(|(_, send)| send.waiter).collect()
    }

    fn settle(&mut self, call_id: CallId) -> Option<Waiter> {
        self.sends.remove(&call_id).map(|send| send.waiter)
    }
}
