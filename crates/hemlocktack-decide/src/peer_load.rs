//! What one node knows of another's upstream: load, times, failures.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{LoadHint, Reason, UpstreamState};

use crate::placement::{PlacementPolicy, is_unavailable};

/// How long an upstream that refused a call for load is passed over: about as
/// long as its queue takes to move on.
const AVOIDED_AFTER_OVERLOAD: Duration = Duration::from_millis(20);
/// How long one is passed over that has no upstream, starts, drains or failed:
/// until membership has the news.
const AVOIDED_AFTER_FAULT: Duration = Duration::from_millis(500);
/// Each time that a peer fails again as soon as it is tried, it is passed over
/// twice as long, up to this: a call that tries a peer without power waits half
/// a second for nothing, and one that is back is tried soon enough.
const AVOIDED_AT_MOST: Duration = Duration::from_secs(2);

/// Silence that is ordinary: this, or so many service times after the queue.
/// Service times spread, and a quiet peer may run just one long call.
const ORDINARY_SILENCE: Duration = Duration::from_millis(250);
const ORDINARY_SILENCE_SERVICE_TIMES: u32 = 5;
/// The same of a peer whose service time is not known yet.
const ORDINARY_SILENCE_UNKNOWN: Duration = Duration::from_secs(1);
/// A call is given up and sent elsewhere after this many ordinary silences:
/// more than it takes to pass a peer over, as giving up costs a retry.
const SILENCES_BEFORE_GIVING_UP: u32 = 2;

/// What one node knows of one upstream's node. Shared between threads.
#[derive(Debug)]
pub struct PeerLoad {
    born: Instant,
    pub(crate) is_near: bool,
    state: AtomicU32,
    is_suspected: AtomicBool,
    /// Calls sent from here and not answered.
    outstanding: AtomicU32,
    /// Of these, sent since the last hint: the hint does not count them.
    sent_since_hint: AtomicU32,
    load: AtomicU32,
    limit: AtomicU32,
    service_time_us: AtomicU64,
    queue_delay_us: AtomicU64,
    /// Since when it owes an answer and has sent nothing.
    silent_since_us: AtomicU64,
    heard_us: AtomicU64,
    /// Until when it is passed over after a refusal or a failure.
    avoided_until_us: AtomicU64,
    /// Times in a row that it was tried and failed.
    failed_in_row: AtomicU32,
    /// Failures among the last 16 or so calls, per mille.
    failures_per_mille: AtomicU32,
    /// When the last of these calls ended.
    failures_counted_us: AtomicU64,
}

/// One outcome moves the share of failures by this part of the way.
const FAILURE_STEP: u32 = 16;
/// The share of failures falls evenly to nothing in this time without calls: as
/// long as a hint counts.
const FAILURES_FORGOTTEN_AFTER: Duration = Duration::from_secs(2);
const NEVER: u64 = u64::MAX;

impl PeerLoad {
    /// Knows nothing but whether the peer is in the same data centre.
    pub fn new(is_near: bool, state: UpstreamState, now: Instant) -> Self {
        PeerLoad {
            born: now,
            is_near,
            state: AtomicU32::new(state as u32),
            is_suspected: AtomicBool::new(false),
            outstanding: AtomicU32::new(0),
            sent_since_hint: AtomicU32::new(0),
            load: AtomicU32::new(0),
            limit: AtomicU32::new(0),
            service_time_us: AtomicU64::new(0),
            queue_delay_us: AtomicU64::new(0),
            silent_since_us: AtomicU64::new(0),
            heard_us: AtomicU64::new(NEVER),
            avoided_until_us: AtomicU64::new(0),
            failed_in_row: AtomicU32::new(0),
            failures_per_mille: AtomicU32::new(0),
            failures_counted_us: AtomicU64::new(NEVER),
        }
    }

    /// Membership reports where the upstream stands.
    pub fn set_state(&self, state: UpstreamState) {
        self.state.store(state as u32, Ordering::Release);
    }

    /// Membership reports whether the node's probes go unanswered.
    pub fn set_suspected(&self, is_suspected: bool) {
        self.is_suspected.store(is_suspected, Ordering::Release);
    }

    /// A call goes to it. Each must be followed by one of `answered`,
    /// `refused`, `failed` or `abandoned`.
    pub fn sent(&self, now: Instant) {
        let before = self.outstanding.fetch_add(1, Ordering::AcqRel);
        if before == 0 {
            self.silent_since_us
                .store(self.micros(now), Ordering::Release);
        }
        self.sent_since_hint.fetch_add(1, Ordering::AcqRel);
    }

    /// It answered.
    pub fn answered(&self, hint: &LoadHint, now: Instant) {
        self.ended();
        self.heard(now);
        self.learn(hint, now);
        self.failed_in_row.store(0, Ordering::Release);
        self.count_failure(false, now);
    }

    /// It refused the call, or an upstream below it did.
    pub fn refused(&self, reason: Reason, hint: Option<&LoadHint>, now: Instant) {
        self.ended();
        if let Some(hint) = hint {
            self.heard(now);
            self.learn(hint, now);
        }
        if reason == Reason::UpstreamShed {
            self.count_failure(true, now);
        } else if is_unavailable(reason) {
            self.avoid(AVOIDED_AFTER_FAULT, now);
        } else if is_overloaded(reason) {
            self.avoid(AVOIDED_AFTER_OVERLOAD, now);
        }
    }

    /// The call ended without an answer through a fault of it or its link.
    pub fn failed(&self, now: Instant) {
        self.ended_without_hint();
        self.count_failure(true, now);
        // Calls that fail together are one try.
        let is_known = self.micros(now) < self.avoided_until_us.load(Ordering::Acquire);
        if !is_known {
            let before = self.failed_in_row.fetch_add(1, Ordering::AcqRel);
            let doubled = AVOIDED_AFTER_FAULT.saturating_mul(1 << before.min(8));
            self.avoid(doubled.min(AVOIDED_AT_MOST), now);
        }
    }

    /// Its caller has left the call before its end.
    ///
    /// Failure: callers give up, and upstreams give up deeper calls at their
    /// deadline. Symptom: a peer that still counts these calls looks full for as
    /// long as it lives, and the node sends its calls past an idle upstream to
    /// the others. A call that was left says nothing else of the peer.
    pub fn abandoned(&self) {
        self.ended_without_hint();
    }

    fn avoid(&self, time: Duration, now: Instant) {
        self.avoided_until_us
            .fetch_max(self.micros(now + time), Ordering::AcqRel);
    }

    /// How long to wait for an answer before asking [`PeerLoad::is_lost`].
    pub fn silence_timeout(&self) -> Duration {
        self.ordinary_silence() * SILENCES_BEFORE_GIVING_UP
    }

    /// Whether an idempotent call that waits there is to be given up, reported
    /// as failed and sent elsewhere, out of allowance and edge budget.
    ///
    /// Load: a node or its link that stands still without closing anything.
    /// Harm: calls wait there for their callers' whole patience while others
    /// are idle. Silence alone is no proof: a quiet peer may run just one long
    /// call, which would be done twice. So membership has to suspect the node
    /// as well; a slow peer answers its probes and is not given up.
    pub fn is_lost(&self, now: Instant) -> bool {
        let is_suspected = self.is_suspected.load(Ordering::Acquire);
        is_suspected && self.silence(now) >= self.silence_timeout()
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.silence(now) >= self.ordinary_silence()
    }

    fn silence(&self, now: Instant) -> Duration {
        if self.outstanding.load(Ordering::Acquire) == 0 {
            return Duration::ZERO;
        }
        let since = self.silent_since_us.load(Ordering::Acquire);
        Duration::from_micros(self.micros(now).saturating_sub(since))
    }

    fn ordinary_silence(&self) -> Duration {
        let service_us = self.service_time_us.load(Ordering::Acquire);
        if service_us == 0 {
            return ORDINARY_SILENCE_UNKNOWN;
        }
        let queue = Duration::from_micros(self.queue_delay_us.load(Ordering::Acquire));
        let work = Duration::from_micros(service_us) * ORDINARY_SILENCE_SERVICE_TIMES;
        ORDINARY_SILENCE.max(queue + work)
    }

    fn heard(&self, now: Instant) {
        self.silent_since_us
            .store(self.micros(now), Ordering::Release);
    }

    fn ended(&self) {
        count_down(&self.outstanding);
    }

    /// No hint came that would count the call. Left in, the calls that a peer has
    /// failed make it look full, and it is not tried when it is back.
    fn ended_without_hint(&self) {
        self.ended();
        count_down(&self.sent_since_hint);
    }

    fn learn(&self, hint: &LoadHint, now: Instant) {
        self.load
            .store(hint.in_flight + hint.queued, Ordering::Release);
        self.limit.store(hint.limit, Ordering::Release);
        self.service_time_us
            .store(hint.service_time_us, Ordering::Release);
        self.queue_delay_us
            .store(hint.queue_delay_us, Ordering::Release);
        self.heard_us.store(self.micros(now), Ordering::Release);
        self.sent_since_hint.store(0, Ordering::Release);
    }

    fn count_failure(&self, failed: bool, now: Instant) {
        let towards = if failed { 1000 } else { 0 };
        let share = (self.failure_share(now) * 1000.0) as u32;
        let share = share + towards / FAILURE_STEP - share / FAILURE_STEP;
        self.failures_per_mille.store(share, Ordering::Release);
        self.failures_counted_us
            .store(self.micros(now), Ordering::Release);
    }

    /// Share of failures among its last calls; what they say ages.
    ///
    /// After a fault of all upstreams the first that answers would else draw
    /// every call, and the others none that shows that they are well.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        let counted = self.age(self.failures_counted_us.load(Ordering::Acquire), now);
        let freshness = counted.map_or(0.0, |age| 1.0 - share_of(age, FAILURES_FORGOTTEN_AFTER));
        f64::from(self.failures_per_mille.load(Ordering::Acquire)) / 1000.0 * freshness
    }

    fn micros(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.born).as_micros() as u64
    }

    pub(crate) fn takes_calls(&self) -> bool {
        let state = self.state.load(Ordering::Acquire);
        state == UpstreamState::Ready as u32 || state == UpstreamState::Cold as u32
    }

    fn age(&self, at_us: u64, now: Instant) -> Option<Duration> {
        (at_us != NEVER).then(|| Duration::from_micros(self.micros(now).saturating_sub(at_us)))
    }

    /// Calls there over its limit, as far as known: what it said, and what was
    /// sent since.
    pub(crate) fn utilisation(&self, policy: &PlacementPolicy, now: Instant) -> f64 {
        let heard = self.age(self.heard_us.load(Ordering::Acquire), now);
        let freshness = heard.map_or(0.0, |age| 1.0 - share_of(age, policy.hint_lifetime));
        let said = f64::from(self.load.load(Ordering::Acquire)) * freshness;
        let since = f64::from(self.sent_since_hint.load(Ordering::Acquire));
        let own = f64::from(self.outstanding.load(Ordering::Acquire));
        let limit = f64::from(self.limit.load(Ordering::Acquire)).max(1.0);
        (said + since).max(own) / limit
    }

    /// Expected time until an answer, in seconds.
    pub(crate) fn cost(&self, policy: &PlacementPolicy, now: Instant) -> f64 {
        let service_us = self.service_time_us.load(Ordering::Acquire);
        let service = if service_us == 0 {
            policy.unknown_service_time.as_secs_f64()
        } else {
            service_us as f64 / 1e6
        };
        let utilisation = self.utilisation(policy, now);
        let waits = (utilisation - 1.0).max(0.0);
        // Below the limit nothing waits; the small term spreads calls evenly.
        let mut cost = service * (1.0 + waits + 0.3 * utilisation.min(1.0));
        if !self.is_near {
            cost += policy.far_cost.as_secs_f64();
        }
        if self.state.load(Ordering::Acquire) == UpstreamState::Cold as u32 {
            cost *= policy.cold_factor;
        }
        cost * self.failure_penalty(policy, now)
    }

    /// Load: an upstream that fails or refuses at once. Harm: it always looks
    /// idle and draws all calls to their failure. Times are learnt only from
    /// answers, and failures multiply the cost, so it cannot look attractive.
    fn failure_penalty(&self, policy: &PlacementPolicy, now: Instant) -> f64 {
        1.0 + self.failure_share(now) * policy.failure_factor
    }

    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.micros(now) < self.avoided_until_us.load(Ordering::Acquire) || self.is_silent(now)
    }
}

/// Part of a lifetime that has passed, 1 at most.
fn share_of(age: Duration, lifetime: Duration) -> f64 {
    (age.as_secs_f64() / lifetime.as_secs_f64()).min(1.0)
}

fn count_down(count: &AtomicU32) {
    let minus_one = |count: u32| Some(count.saturating_sub(1));
    let _ = count.fetch_update(Ordering::AcqRel, Ordering::Acquire, minus_one);
}

fn is_overloaded(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::QueueFull | Reason::Shed | Reason::QueueTimeout
    )
}
