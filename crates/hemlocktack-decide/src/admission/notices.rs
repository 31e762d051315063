//! Heeds what the upstream says about itself in its answers.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{Incarnation, Reason, UpstreamNotice};

use super::Admission;
use crate::offer::OfferedCall;
use crate::queue::class_of;
use crate::rate_limiter::TokenPriority;
use crate::upstream_notices::{
    AdoptedNotice, HeardNotice, NoticeChanges, NoticeSafeguard, UpstreamStart,
};

impl Admission {
    /// Sets the current start of the upstream.
    pub fn set_upstream_start(&mut self, start: UpstreamStart) {
        let before = self.notices.start_number();
        self.notices.set_start(start);
        if self.notices.start_number() != before {
            self.forget_load_reports();
        }
    }

    /// Records when the current start of the upstream began, by its number on this node.
    pub fn set_upstream_started(&mut self, number: u64, started_unix_ms: u64) {
        self.notices.set_started(number, started_unix_ms);
    }

    /// Applies what an answer of the upstream said. Call [`Admission::take_decisions`] next.
    pub fn hear_notice(&mut self, heard: &HeardNotice<'_>, now: Instant) -> NoticeChanges {
        self.notices.hear(heard, now)
    }

    /// Applies what the sender of a call knows of the upstream of this node, which is `own`. Do this
    /// before the call is offered, and call [`Admission::take_decisions`] next.
    pub fn adopt_notice(
        &mut self,
        notice: &UpstreamNotice,
        own: Incarnation,
        now: Instant,
    ) -> AdoptedNotice {
        self.notices.adopt(notice, own, now)
    }

    /// Records that the upstream has announced that it is leaving.
    pub fn begin_to_leave(&mut self) {
        self.notices.begin_to_leave();
    }

    /// Returns what answers tell other nodes of the upstream; `None` while this node knows nothing.
    pub fn notice(&self, own: Incarnation) -> Option<UpstreamNotice> {
        self.notices.notice(own)
    }

    /// Returns whether the upstream has named a limit or a departure that is in force.
    pub fn has_notice_in_force(&self) -> bool {
        self.notices.has_any()
    }

    /// Returns the calls per second that the upstream accepts, if it limits them.
    pub fn rate_limit_per_s(&self) -> Option<f64> {
        self.notices.rate_limit_per_s()
    }

    /// Returns the time since the limit on calls per second was last named.
    pub fn rate_limit_age(&self, now: Instant) -> Option<Duration> {
        self.notices.rate_limit_age(now)
    }

    /// Returns how many calls have been started while the upstream limited its calls per second.
    pub fn rate_limited_starts(&self) -> u64 {
        self.rate_limited_starts
    }

    /// Leaves out a safeguard, for mutation tests only.
    pub fn disable_notice_safeguard(&mut self, safeguard: NoticeSafeguard) {
        self.notices.disabled_safeguard = Some(safeguard);
    }

    /// Returns whether the limit on calls per second admits an offered call after those that are
    /// queued. No call waits for a token: other upstreams may have room now.
    pub(super) fn admits_within_rate_limit(&mut self, offer: &OfferedCall, now: Instant) -> bool {
        let queued = self.queue.len();
        let Some(limiter) = self.notices.rate_limiter() else {
            return true;
        };
        limiter.assign_slot(now);
        let priority = TokenPriority {
            class: class_of(offer.class_rank),
            has_prior_work: offer.has_prior_work(),
        };
        limiter.admits(priority, queued, now)
    }

    /// Returns whether the limit on calls per second lets a queued call start.
    pub(super) fn has_token(&mut self, now: Instant) -> bool {
        let limiter = self.notices.rate_limiter();
        limiter.is_none_or(|limiter| limiter.admits(TokenPriority::FIRST, 0, now))
    }

    /// Refuses queued calls for which there is no token, the least important first. They were
    /// queued before the upstream named its limit or lowered it.
    pub(super) fn refuse_beyond_rate_limit(&mut self, now: Instant) {
        let Some(limiter) = self.notices.rate_limiter() else {
            return;
        };
        let available = limiter.available_calls(now);
        while self.queue.len() > available {
            let Some(call) = self.queue.pop_last() else {
                return;
            };
            self.refuse_dequeued(Reason::UpstreamRateLimited, &call);
        }
    }
}
