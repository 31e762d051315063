//! The sends of one call so far, and what its caller is told in the end.

use hemlocktack_decide::{CallSends, combined_outcome};
use hemlocktack_protocol::{Answer, CallFailure, Reason};

use super::ClassifiedCall;
use super::ends::{NOTHING_SHED, not_run_answer, wait_before_return};
use super::place::choose_among;
use super::service_directory::ServiceView;

/// The sends of one call so far.
pub(super) struct Tries {
    pub(super) sends: CallSends,
    /// What the caller is told if no later send is answered.
    told: Option<Told>,
}

struct Told {
    unfinished: CallFailure,
    answer: Answer,
}

impl Tries {
    pub(super) fn new(classified: &ClassifiedCall) -> Self {
        Tries {
            sends: CallSends::new(classified.max_upstreams.unwrap_or(usize::MAX)),
            told: None,
        }
    }

    /// The node that the call goes to next, on another upstream than the last
    /// one where that is allowed.
    pub(super) fn next(&self, view: &ServiceView, classified: &ClassifiedCall) -> Option<usize> {
        let may_get_it = |node| self.sends.may_send_to(node);
        let chosen = choose_among(view, may_get_it, classified.objective);
        chosen.or_else(|| self.sends.resend_target())
    }

    /// Takes in the end of a send to this node.
    pub(super) fn ended(&mut self, node: usize, unfinished: CallFailure, answer: Answer) {
        self.sends.send_ended(node, &unfinished);
        let earlier = self.told.as_ref().map(|told| told.unfinished);
        if earlier.is_none_or(|earlier| combined_outcome(Some(earlier), unfinished) != earlier) {
            self.told = Some(Told { unfinished, answer });
        }
    }

    /// Where no other node is left, the caller and the operators are told why
    /// the last one refused: `no-upstream` would send them to look for an
    /// upstream that is there, only full.
    pub(super) fn told_or_no_upstream(self) -> Answer {
        let retry_after = Some(wait_before_return(NOTHING_SHED));
        let nowhere = || not_run_answer(Reason::NoUpstream, retry_after);
        self.told.map_or_else(nowhere, |told| told.answer)
    }
}
