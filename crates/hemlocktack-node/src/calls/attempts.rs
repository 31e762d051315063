//! Attempts to run one call, and the answer that its caller finally gets.

use std::time::Instant;

use hemlocktack_decide::{CallSends, combined_outcome, keeps_large_body};
use hemlocktack_protocol::{Answer, CallFailure, Reason};

use super::ClassifiedCall;
use super::outcomes::{NO_CLASSES_SHED, not_run_answer, retry_delay};
use super::place::choose_peer_among;
use super::service_directory::ServiceView;

/// Bodies from this size on stay at their entry node while its upstream has a free slot.
const MIN_LARGE_BODY_BYTES: usize = 1 << 20;

/// The attempts of one call so far.
pub(super) struct CallAttempts {
    pub(super) sends: CallSends,
    /// This node, for a call with a large body.
    own: Option<usize>,
    /// Failure that the caller gets if no later send is answered.
    reported: Option<ReportedFailure>,
}

struct ReportedFailure {
    failure: CallFailure,
    answer: Answer,
}

impl CallAttempts {
    /// `own` finds this node among those of the call's service.
    pub(super) fn new(classified: &ClassifiedCall, own: impl FnOnce() -> Option<usize>) -> Self {
        let is_large = classified.call.body.len() >= MIN_LARGE_BODY_BYTES;
        CallAttempts {
            own: if is_large { own() } else { None },
            sends: CallSends::new(classified.max_upstreams.unwrap_or(usize::MAX)),
            reported: None,
        }
    }

    /// Returns the node to send the call to next: preferably another node than the last one, which
    /// gets it again if no other may and it has turned the call away.
    pub(super) fn next_peer(
        &self,
        view: &ServiceView,
        classified: &ClassifiedCall,
    ) -> Option<usize> {
        let may_send_to = |node| self.sends.may_send_to(node);
        let stays = |own: &usize| {
            let policy = view.placement_policy(Some(classified.kind));
            let peer = view.peers[*own].as_ref();
            may_send_to(*own) && keeps_large_body(peer, Instant::now(), &policy)
        };
        if let Some(own) = self.own.filter(stays) {
            return Some(own);
        }
        let chosen = choose_peer_among(
            view,
            may_send_to,
            classified.objective,
            Some(classified.kind),
        );
        chosen.or_else(|| self.sends.resend_target())
    }

    /// Records a failed send to this node.
    pub(super) fn record_failure(&mut self, node: usize, failure: CallFailure, answer: Answer) {
        self.sends.send_ended(node, &failure);
        let earlier = self.reported.as_ref().map(|reported| reported.failure);
        if earlier.is_none_or(|earlier| combined_outcome(Some(earlier), failure) != earlier) {
            self.reported = Some(ReportedFailure { failure, answer });
        }
    }

    /// Returns the answer to a call that no further node is tried for. It gives the reason of
    /// the failed sends: `no-upstream` would make callers and operators look for an upstream
    /// that exists and is only full.
    pub(super) fn into_answer(self) -> Answer {
        let retry_after = Some(retry_delay(NO_CLASSES_SHED));
        self.into_answer_or(not_run_answer(Reason::NoUpstream, retry_after))
    }

    /// Returns the answer of the failed sends, or this one if there were none.
    pub(super) fn into_answer_or(self, unsent: Answer) -> Answer {
        self.reported.map_or(unsent, |reported| reported.answer)
    }
}
