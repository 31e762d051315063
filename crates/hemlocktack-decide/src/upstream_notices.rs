//! What the upstream beside a node has said about itself in its answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{AnswerNotice, Incarnation, Statement, UpstreamNotice};

use crate::rate_limiter::RateLimiter;

/// Tokens at the first answer that names a limit: one call, to hear of the end.
const TOKENS_AT_NAMING: f64 = 1.0;
/// Tokens after another node told of a limit. The node that this one replaces may have used all.
const TOKENS_AFTER_RESTART: f64 = 0.0;

/// One start of the upstream's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamStart {
    /// Id that the upstream reports. A later start may reuse it.
    pub id: Arc<str>,
    /// When it began, if the upstream reports that.
    pub started_unix_ms: Option<u64>,
    /// Number of the start on this node.
    pub number: u64,
}

/// What one answer said.
#[derive(Clone, Copy, Debug)]
pub struct HeardNotice<'a> {
    /// The answer's notice.
    pub notice: &'a AnswerNotice,
    /// When its request was sent.
    pub request_sent_at: Instant,
    /// It is a complete answer of a run. Only such an answer tells by its silence that a limit has
    /// ended.
    pub is_complete: bool,
    /// Number of the start that the request was sent to.
    pub start_number: u64,
}

/// How a rate limit has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitChange {
    /// Calls per second before; `None` for no limit.
    pub before_per_s: Option<f64>,
    /// Calls per second from now on; `None` for no limit.
    pub now_per_s: Option<f64>,
}

/// What a notice has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NoticeChanges {
    /// Change of the rate limit.
    pub rate_limit: Option<RateLimitChange>,
    /// The upstream is known to be leaving from now on.
    pub begins_to_leave: bool,
}

/// What becomes of a notice that another node sent with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdoptedNotice {
    /// It is heeded, or says nothing new.
    Heeded(NoticeChanges),
    /// The upstream with this id may be the one that leaves or a later start: its call must not run.
    Unconfirmed,
}

/// A safeguard that a mutation test disables, to show that the tests detect its absence. A node
/// never disables one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum NoticeSafeguard {
    /// The node beside the upstream heeds what other nodes know of it.
    Adoption,
    /// After a restart of the node beside the upstream the bucket is empty.
    EmptyAfterRestart,
    /// An answer to a request that was sent before a change does not undo it.
    AnswerOrder,
    /// What a start of the upstream said ends with it.
    OtherStart,
}

/// The notices of the current start of the upstream.
#[derive(Debug, Default)]
pub(crate) struct UpstreamNotices {
    start: Option<UpstreamStart>,
    rate_limiter: Option<RateLimiter>,
    /// The last change of the rate limit.
    last_change: Option<LastChange>,
    /// When the limit in force was last named.
    named_at: Option<Instant>,
    is_leaving: bool,
    /// An answer of this start has said whether there is a limit.
    has_heard: bool,
    revision: u64,
    pub(crate) disabled_safeguard: Option<NoticeSafeguard>,
}

#[derive(Clone, Copy, Debug)]
struct LastChange {
    at: Instant,
    before_per_s: Option<f64>,
}

impl UpstreamNotices {
    /// Sets the current start. Another start owes nothing of the earlier one's notices.
    pub(crate) fn set_start(&mut self, mut start: UpstreamStart) {
        let known = self.start.as_ref();
        let same = known.filter(|known| known.number == start.number && known.id == start.id);
        let is_same = same.is_some();
        let known_birth_unix_ms = same.and_then(|known| known.started_unix_ms);
        start.started_unix_ms = start.started_unix_ms.or(known_birth_unix_ms);
        if !is_same && self.is_enabled(NoticeSafeguard::OtherStart) {
            *self = UpstreamNotices {
                revision: self.revision + 1,
                disabled_safeguard: self.disabled_safeguard,
                ..UpstreamNotices::default()
            };
        }
        self.start = Some(start);
    }

    /// Returns the number of the current start.
    pub(crate) fn start_number(&self) -> Option<u64> {
        self.start.as_ref().map(|start| start.number)
    }

    /// Records when the current start began.
    pub(crate) fn set_started(&mut self, number: u64, started_unix_ms: u64) {
        let current = self.start.as_mut().filter(|start| start.number == number);
        if let Some(start) = current {
            start.started_unix_ms = Some(started_unix_ms);
            self.revision += 1;
        }
    }

    /// Applies what an answer said.
    pub(crate) fn hear(&mut self, heard: &HeardNotice<'_>, now: Instant) -> NoticeChanges {
        let current = self.start.as_ref().map(|start| start.number);
        if current != Some(heard.start_number) {
            return NoticeChanges::default();
        }
        let is_leaving = matches!(heard.notice.leaving, Statement::Said(()));
        NoticeChanges {
            rate_limit: self.hear_rate_limit(heard, now),
            begins_to_leave: is_leaving && self.begin_to_leave(),
        }
    }

    /// Answers arrive in another order than the upstream wrote them. One whose request was sent
    /// before the last change may be older than the change, so it raises nothing. It may lower the
    /// limit, unless it names just what was in force before.
    fn hear_rate_limit(
        &mut self,
        heard: &HeardNotice<'_>,
        now: Instant,
    ) -> Option<RateLimitChange> {
        let says = match heard.notice.rate_limit_per_s {
            Statement::Said(per_s) => Some(per_s),
            Statement::Absent if heard.is_complete => None,
            Statement::Absent | Statement::Malformed(_) => return None,
        };
        if !self.has_heard {
            self.has_heard = true;
            self.revision += 1;
        }
        let current = self.rate_limit_per_s();
        if says == current {
            self.named_at = says.map(|_| now);
            return None;
        }
        let may_be_earlier = self
            .last_change
            .is_some_and(|change| heard.request_sent_at < change.at);
        if may_be_earlier && self.is_enabled(NoticeSafeguard::AnswerOrder) {
            let superseded = self.last_change.and_then(|change| change.before_per_s);
            if !is_stricter(says, current) || says == superseded {
                return None;
            }
        }
        Some(self.set_rate_limit(says, TOKENS_AT_NAMING, now))
    }

    /// Applies what another node knows of this start of the upstream.
    ///
    /// What this node knew ended with its process, while entries have passed the upstream's answers
    /// on. Each of their calls brings the notice along, so the limit binds again before the first
    /// of them runs. What this process said itself, and others send back, is never newer than what
    /// it knows, and may be about an earlier start with the same id.
    pub(crate) fn adopt(
        &mut self,
        notice: &UpstreamNotice,
        own: Incarnation,
        now: Instant,
    ) -> AdoptedNotice {
        let Some(start) = self
            .start
            .as_ref()
            .filter(|_| notice.node_incarnation != own)
        else {
            return AdoptedNotice::Heeded(NoticeChanges::default());
        };
        let is_enabled = self.is_enabled(NoticeSafeguard::Adoption);
        let told_ms = (notice.started_unix_ms != 0).then_some(notice.started_unix_ms);
        let is_other = *start.id != *notice.upstream_start
            || matches!((start.started_unix_ms, told_ms), (Some(own), Some(told)) if own != told);
        if is_other || !is_enabled {
            return AdoptedNotice::Heeded(NoticeChanges::default());
        }
        if notice.is_leaving && told_ms.is_some() && start.started_unix_ms.is_none() {
            return AdoptedNotice::Unconfirmed;
        }
        AdoptedNotice::Heeded(NoticeChanges {
            rate_limit: self.adopt_rate_limit(notice, now),
            begins_to_leave: notice.is_leaving && self.begin_to_leave(),
        })
    }

    /// Adopts a limit unless the upstream has answered this node, which says more. The notice is
    /// from before this node's start, so any answer to it is newer.
    fn adopt_rate_limit(
        &mut self,
        notice: &UpstreamNotice,
        now: Instant,
    ) -> Option<RateLimitChange> {
        let named = Some(notice.rate_limit_per_s).filter(|per_s| *per_s > 0.0);
        if named.is_none() || self.has_heard || named == self.rate_limit_per_s() {
            return None;
        }
        let tokens = match self.is_enabled(NoticeSafeguard::EmptyAfterRestart) {
            true => TOKENS_AFTER_RESTART,
            false => f64::MAX,
        };
        let change = self.set_rate_limit(named, tokens, now);
        self.last_change = None;
        Some(change)
    }

    /// Returns what other nodes should know; `None` while this node has heard nothing, so that they
    /// keep what they know.
    pub(crate) fn notice(&self, own: Incarnation) -> Option<UpstreamNotice> {
        let start = self.start.as_ref()?;
        let knows = self.has_heard || self.has_any();
        knows.then(|| UpstreamNotice {
            upstream_start: start.id.to_string(),
            started_unix_ms: start.started_unix_ms.unwrap_or_default(),
            rate_limit_per_s: self.rate_limit_per_s().unwrap_or_default(),
            is_leaving: self.is_leaving,
            node_incarnation: own,
            revision: self.revision,
        })
    }

    /// Returns whether the upstream has named a limit or a departure that is in force.
    pub(crate) fn has_any(&self) -> bool {
        self.rate_limiter.is_some() || self.is_leaving
    }

    /// Records that the upstream is leaving; returns whether that was unknown.
    pub(crate) fn begin_to_leave(&mut self) -> bool {
        let is_news = !self.is_leaving;
        self.is_leaving = true;
        self.revision += u64::from(is_news);
        is_news
    }

    pub(crate) fn rate_limit_per_s(&self) -> Option<f64> {
        self.rate_limiter.as_ref().map(RateLimiter::per_s)
    }

    /// Returns the time since the limit in force was last named.
    pub(crate) fn rate_limit_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.named_at?))
    }

    pub(crate) fn rate_limiter(&mut self) -> Option<&mut RateLimiter> {
        self.rate_limiter.as_mut()
    }

    /// Returns how long the node that is answered now should prefer other upstreams.
    pub(crate) fn rate_wait(&self, now: Instant) -> Duration {
        let limiter = self.rate_limiter.as_ref();
        limiter.map_or(Duration::ZERO, |limiter| limiter.wait(now))
    }

    fn set_rate_limit(
        &mut self,
        per_s: Option<f64>,
        first_tokens: f64,
        now: Instant,
    ) -> RateLimitChange {
        let before_per_s = self.rate_limit_per_s();
        match (per_s, &mut self.rate_limiter) {
            (Some(per_s), Some(limiter)) => limiter.set_per_s(per_s, now),
            (Some(per_s), None) => {
                self.rate_limiter = Some(RateLimiter::new(per_s, first_tokens, now));
            }
            (None, _) => self.rate_limiter = None,
        }
        self.named_at = per_s.map(|_| now);
        self.last_change = Some(LastChange {
            at: now,
            before_per_s,
        });
        self.revision += 1;
        RateLimitChange {
            before_per_s,
            now_per_s: per_s,
        }
    }

    fn is_enabled(&self, safeguard: NoticeSafeguard) -> bool {
        self.disabled_safeguard != Some(safeguard)
    }
}

/// Returns whether a limit allows less than another.
fn is_stricter(limit: Option<f64>, than: Option<f64>) -> bool {
    match (limit, than) {
        (Some(limit), Some(than)) => limit < than,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
