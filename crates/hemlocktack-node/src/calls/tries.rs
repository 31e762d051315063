//! The sends of one call so far, and where it may go next.

use std::time::Duration;

use hemlocktack_decide::{Moves, end_of_tries};
use hemlocktack_protocol::{Answer, Reason, Unfinished};

use super::Classified;
use super::ends::{NOTHING_SHED, not_run, wait_before_return};
use super::place::choose_among;
use super::service_directory::ServiceView;

/// Pause before a call goes again to upstreams that have turned it away, for each
/// time but the first: a quarter of what today's shortest calls take. An upstream
/// that turns a share of its calls away takes the next one as soon as any; one
/// that is full is not asked hundreds of times a second.
const PAUSE_A_TURN: Duration = Duration::from_millis(4);

/// The sends of one call so far.
#[derive(Default)]
pub(super) struct Tries {
    /// The node that ended the last one.
    excluded: Option<usize>,
    /// Those whose upstreams the call was handed to, or may have been.
    reached: Vec<usize>,
    /// Sends after which it may have run.
    may_have_run: usize,
    /// Times that an upstream has turned it away.
    turned_away: u32,
    /// Those that were no retry.
    moves: Moves,
    /// What the caller is told if no later send is answered.
    told: Option<Told>,
}

struct Told {
    unfinished: Unfinished,
    answer: Answer,
}

impl Tries {
    /// Whether another node may be tried, which is no retry: nothing ran.
    pub(super) fn moves(&mut self, unfinished: &Unfinished) -> bool {
        matches!(unfinished, Unfinished::NotRun(refusal) if self.moves.take(refusal))
    }

    /// The node that the call goes to next, on another upstream than the last
    /// one where that is allowed: it is handed to `upstreams_most` at most, and
    /// one that has turned it away may be asked again.
    pub(super) fn next(&self, view: &ServiceView, classified: &Classified) -> Option<usize> {
        let last = self.excluded;
        let may_be_new = self.reached.len() < classified.upstreams_most;
        let may_get_it =
            |index: usize| last != Some(index) && (may_be_new || self.reached.contains(&index));
        let same = || last.filter(|_| self.turned_away > 0);
        choose_among(view, may_get_it, classified.objective).or_else(same)
    }

    /// Whether the next send comes after one that an upstream got.
    pub(super) fn is_repeat(&self) -> bool {
        !self.reached.is_empty()
    }

    /// How long to wait before the next send, if at all: a timer costs each call
    /// up to a millisecond.
    pub(super) fn pause(&self) -> Option<Duration> {
        let turns = self.turned_away.saturating_sub(1);
        (turns > 0).then(|| PAUSE_A_TURN * turns)
    }

    /// Whether a call may be run on one more upstream after this end. One that
    /// proves that nothing ran has used none up.
    pub(super) fn may_run_again(&self, unfinished: &Unfinished, classified: &Classified) -> bool {
        match unfinished {
            Unfinished::NotRun(_) => true,
            Unfinished::Unknown(_) => self.may_have_run + 1 < classified.upstreams_most,
        }
    }

    pub(super) fn add(&mut self, index: usize, unfinished: Unfinished, answer: Answer) {
        self.excluded = Some(index);
        let is_turned_away = unfinished.reason() == Reason::UpstreamShed;
        let may_have_run = matches!(unfinished, Unfinished::Unknown(_));
        self.may_have_run += usize::from(may_have_run);
        let was_handed_over = is_turned_away || may_have_run;
        self.turned_away += u32::from(is_turned_away);
        if was_handed_over && !self.reached.contains(&index) {
            self.reached.push(index);
        }
        let earlier = self.told.as_ref().map(|told| told.unfinished);
        if earlier.is_none_or(|earlier| end_of_tries(Some(earlier), unfinished) != earlier) {
            self.told = Some(Told { unfinished, answer });
        }
    }

    /// Where no other node is left, the caller and the operators are told why
    /// the last one refused: `no-upstream` would send them to look for an
    /// upstream that is there, only full.
    pub(super) fn told_or_no_upstream(self) -> Answer {
        let retry_after = Some(wait_before_return(NOTHING_SHED));
        let nowhere = || not_run(Reason::NoUpstream, retry_after);
        self.told.map_or_else(nowhere, |told| told.answer)
    }
}
