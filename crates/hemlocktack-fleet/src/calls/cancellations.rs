//! Sender side: cancellations that their receiver has not confirmed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{CallId, Incarnation};

/// Cancellations kept for each link. More are dropped, oldest calls first: their receiver has been
/// unreachable while so many callers left, and ends them when the link's end reaches it.
const LIMIT: usize = 4096;

/// Cancellations of calls on one link that the receiver has not confirmed, by call.
///
/// A cancellation that was written to a connection is lost with it. It is therefore kept until the
/// receiver confirms it, by the call's answer or by what it knows of the call, and sent again over
/// each later connection to the same incarnation. A call whose deadline has passed ends by itself.
#[derive(Clone, Debug, Default)]
pub struct Cancellations {
    unconfirmed: BTreeMap<CallId, Unconfirmed>,
}

#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    receiver: Incarnation,
    left_at: Instant,
    deadline: Instant,
}

impl Cancellations {
    /// Adds the cancellation of a call that nobody waits for since `left_at`.
    pub fn add(
        &mut self,
        call_id: CallId,
        receiver: Incarnation,
        left_at: Instant,
        deadline: Instant,
    ) {
        let unconfirmed = Unconfirmed {
            receiver,
            left_at,
            deadline,
        };
        self.unconfirmed.insert(call_id, unconfirmed);
        if self.unconfirmed.len() > LIMIT {
            self.unconfirmed.pop_first();
        }
    }

    /// Removes the cancellation of a call that its receiver has ended, or never had.
    pub fn confirm(&mut self, call_id: CallId) {
        self.unconfirmed.remove(&call_id);
    }

    /// Returns what has to be sent over a new connection to this incarnation: calls, with the time
    /// for which nobody has waited for them. Forgets calls of other incarnations and calls whose
    /// deadline has passed.
    pub fn to_send(&mut self, receiver: Incarnation, now: Instant) -> Vec<(CallId, Duration)> {
        self.forget_ended(now);
        self.unconfirmed
            .retain(|_, unconfirmed| unconfirmed.receiver == receiver);
        let left = self.unconfirmed.iter();
        left.map(|(call_id, unconfirmed)| {
            (*call_id, now.saturating_duration_since(unconfirmed.left_at))
        })
        .collect()
    }

    /// Whether any cancellation is unconfirmed. Forgets calls whose deadline has passed.
    pub fn is_empty(&mut self, now: Instant) -> bool {
        self.forget_ended(now);
        self.unconfirmed.is_empty()
    }

    fn forget_ended(&mut self, now: Instant) {
        self.unconfirmed
            .retain(|_, unconfirmed| now < unconfirmed.deadline);
    }
}
