//! Load, latency and failures of another node's upstream, as seen by one node.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{LoadHint, Reason, UpstreamState};

use crate::placement::{PlacementPolicy, is_unavailable};
use crate::slowness::{REPORT_LIFETIME, factor_of};

/// How long an upstream is avoided after refusing a call because of load: about as long as its
/// queue takes to advance.
const AVOID_AFTER_OVERLOAD: Duration = Duration::from_millis(20);
/// How long a node is avoided that has no upstream, is starting or draining, or failed: until
/// membership reports its state.
const AVOID_AFTER_FAULT: Duration = Duration::from_millis(500);
/// The time a peer is avoided doubles with each consecutive failed attempt, up to this: a call
/// sent to a peer without power loses half a second, and a recovered peer is still tried soon
/// enough.
const MAX_AVOID_TIME: Duration = Duration::from_secs(2);

/// Normal silence is this, or the queueing delay plus this number of service times if that is
/// longer: service times vary, and an idle peer may be running just one long call.
const NORMAL_SILENCE: Duration = Duration::from_millis(250);
const NORMAL_SILENCE_SERVICE_TIMES: u32 = 5;
/// Normal silence of a peer whose service time is unknown.
const NORMAL_SILENCE_UNKNOWN: Duration = Duration::from_secs(1);
/// A call is given up and sent elsewhere after this multiple of the normal silence. This is
/// longer than the silence after which a peer is avoided, because giving up costs a retry.
const SILENCES_BEFORE_TIMEOUT: u32 = 2;

/// What one node knows about the node of one upstream. Shared between threads.
#[derive(Debug)]
pub struct PeerLoad {
    created_at: Instant,
    pub(crate) is_local: bool,
    state: AtomicU32,
    is_suspected: AtomicBool,
    /// Calls sent from this node without a reply yet.
    outstanding: AtomicU32,
    /// Outstanding calls sent since the last hint, which does not include them.
    sent_since_hint: AtomicU32,
    load: AtomicU32,
    limit: AtomicU32,
    service_time_us: AtomicU64,
    queue_delay_us: AtomicU64,
    /// By which factor calls currently take longer than `service_time_us`, in per cent.
    slowness_percent: AtomicU32,
    /// Time until which that counts.
    slowness_until_us: AtomicU64,
    /// Since when an answer is outstanding and nothing has been received.
    silent_since_us: AtomicU64,
    last_hint_us: AtomicU64,
    /// Time until which it is avoided after a refusal or a failure.
    avoided_until_us: AtomicU64,
    /// Time until which its upstream's limit on calls per second probably admits no further call.
    rate_limited_until_us: AtomicU64,
    /// Consecutive failed attempts.
    consecutive_failures: AtomicU32,
    /// Share of failures among about the last 16 calls, per mille.
    failures_per_mille: AtomicU32,
    /// When the last of these calls ended.
    last_outcome_us: AtomicU64,
}

/// Each outcome moves the failure share by one part in this many.
const FAILURE_AVERAGING_CALLS: u32 = 16;
/// Time without calls over which the failure share decays linearly to zero; as long as a hint is
/// valid.
const FAILURE_LIFETIME: Duration = Duration::from_secs(2);
const NEVER: u64 = u64::MAX;

impl PeerLoad {
    /// Creates the state of a peer of which only the locality (same data centre or not) and the
    /// upstream state are known.
    pub fn new(is_local: bool, state: UpstreamState, now: Instant) -> Self {
        PeerLoad {
            created_at: now,
            is_local,
            state: AtomicU32::new(state as u32),
            is_suspected: AtomicBool::new(false),
            outstanding: AtomicU32::new(0),
            sent_since_hint: AtomicU32::new(0),
            load: AtomicU32::new(0),
            limit: AtomicU32::new(0),
            service_time_us: AtomicU64::new(0),
            queue_delay_us: AtomicU64::new(0),
            slowness_percent: AtomicU32::new(0),
            slowness_until_us: AtomicU64::new(0),
            silent_since_us: AtomicU64::new(0),
            last_hint_us: AtomicU64::new(NEVER),
            avoided_until_us: AtomicU64::new(0),
            rate_limited_until_us: AtomicU64::new(0),
            consecutive_failures: AtomicU32::new(0),
            failures_per_mille: AtomicU32::new(0),
            last_outcome_us: AtomicU64::new(NEVER),
        }
    }

    /// Sets the upstream state reported by membership.
    pub fn set_state(&self, state: UpstreamState) {
        self.state.store(state as u32, Ordering::Release);
    }

    /// Sets whether membership suspects the node because its probes go unanswered.
    pub fn set_suspected(&self, is_suspected: bool) {
        self.is_suspected.store(is_suspected, Ordering::Release);
    }

    /// Records that a call was sent. Each must be followed by one of `answered`, `refused`,
    /// `failed` or `abandoned`.
    pub fn sent(&self, now: Instant) {
        let before = self.outstanding.fetch_add(1, Ordering::AcqRel);
        if before == 0 {
            self.silent_since_us
                .store(self.micros(now), Ordering::Release);
        }
        self.sent_since_hint.fetch_add(1, Ordering::AcqRel);
    }

    /// Records an answer.
    pub fn answered(&self, hint: &LoadHint, now: Instant) {
        self.call_ended();
        self.mark_heard(now);
        self.apply_hint(hint, now);
        self.consecutive_failures.store(0, Ordering::Release);
        self.record_outcome(false, now);
    }

    /// Records a refusal, by the peer or by a service that it called.
    pub fn refused(&self, reason: Reason, hint: Option<&LoadHint>, now: Instant) {
        self.call_ended();
        if let Some(hint) = hint {
            self.mark_heard(now);
            self.apply_hint(hint, now);
        }
        if reason == Reason::UpstreamShed {
            self.record_outcome(true, now);
        } else if is_unavailable(reason) {
            self.avoid(AVOID_AFTER_FAULT, now);
        } else if is_overloaded(reason) {
            self.avoid(AVOID_AFTER_OVERLOAD, now);
        }
    }

    /// Records that a call ended without an answer because of a fault of the peer or its link.
    pub fn failed(&self, now: Instant) {
        self.call_ended_without_hint();
        self.record_outcome(true, now);
        // Calls that fail together count as one attempt.
        let is_already_avoided = self.micros(now) < self.avoided_until_us.load(Ordering::Acquire);
        if !is_already_avoided {
            let before = self.consecutive_failures.fetch_add(1, Ordering::AcqRel);
            let doubled = AVOID_AFTER_FAULT.saturating_mul(1 << before.min(8));
            self.avoid(doubled.min(MAX_AVOID_TIME), now);
        }
    }

    /// Records that the caller abandoned the call before it ended.
    ///
    /// Callers time out, and upstreams abandon child calls at their deadline. A peer for which
    /// these calls were still counted would look full for as long as it lives, and the node
    /// would send its calls past an idle upstream to others. An abandoned call says nothing else
    /// about the peer.
    pub fn abandoned(&self) {
        self.call_ended_without_hint();
    }

    fn avoid(&self, time: Duration, now: Instant) {
        self.avoided_until_us
            .fetch_max(self.micros(now + time), Ordering::AcqRel);
    }

    /// Returns how long to wait for an answer before checking [`PeerLoad::is_lost`].
    pub fn silence_timeout(&self) -> Duration {
        self.normal_silence() * SILENCES_BEFORE_TIMEOUT
    }

    /// Returns whether an idempotent call that waits at the peer is to be given up, reported as
    /// failed and sent elsewhere, which consumes the allowance and the edge budget.
    ///
    /// A node or link that hangs without closing its connections would hold calls for their
    /// callers' full timeout while other upstreams are idle. Silence alone is no proof: an idle
    /// peer may be running just one long call, which would then run twice. Membership therefore
    /// has to suspect the node as well; a slow peer answers its probes and is not given up.
    pub fn is_lost(&self, now: Instant) -> bool {
        let is_suspected = self.is_suspected.load(Ordering::Acquire);
        is_suspected && self.silence(now) >= self.silence_timeout()
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.silence(now) >= self.normal_silence()
    }

    fn silence(&self, now: Instant) -> Duration {
        if self.outstanding.load(Ordering::Acquire) == 0 {
            return Duration::ZERO;
        }
        let since = self.silent_since_us.load(Ordering::Acquire);
        Duration::from_micros(self.micros(now).saturating_sub(since))
    }

    fn normal_silence(&self) -> Duration {
        let service_us = self.service_time_us.load(Ordering::Acquire);
        if service_us == 0 {
            return NORMAL_SILENCE_UNKNOWN;
        }
        let queue = Duration::from_micros(self.queue_delay_us.load(Ordering::Acquire));
        let work = Duration::from_micros(service_us) * NORMAL_SILENCE_SERVICE_TIMES;
        NORMAL_SILENCE.max(queue + work)
    }

    fn mark_heard(&self, now: Instant) {
        self.silent_since_us
            .store(self.micros(now), Ordering::Release);
    }

    fn call_ended(&self) {
        count_down(&self.outstanding);
    }

    /// Removes an outstanding call for which no hint arrived. If the failed calls of a peer
    /// stayed counted, it would look full and would not be tried once it is back.
    fn call_ended_without_hint(&self) {
        self.call_ended();
        count_down(&self.sent_since_hint);
    }

    fn apply_hint(&self, hint: &LoadHint, now: Instant) {
        self.load
            .store(hint.in_flight + hint.queued, Ordering::Release);
        self.limit.store(hint.limit, Ordering::Release);
        self.service_time_us
            .store(hint.service_time_us, Ordering::Release);
        self.queue_delay_us
            .store(hint.queue_delay_us, Ordering::Release);
        self.apply_slowness(hint, now);
        self.last_hint_us.store(self.micros(now), Ordering::Release);
        self.sent_since_hint.store(0, Ordering::Release);
        let rate_limited_until = now + Duration::from_micros(hint.rate_wait_us);
        self.rate_limited_until_us
            .store(self.micros(rate_limited_until), Ordering::Release);
    }

    fn apply_slowness(&self, hint: &LoadHint, now: Instant) {
        let age = Duration::from_micros(hint.slowness_age_us);
        let left = match hint.slowness_percent {
            0 => Duration::ZERO,
            _ => REPORT_LIFETIME.saturating_sub(age),
        };
        self.slowness_percent
            .store(hint.slowness_percent, Ordering::Release);
        self.slowness_until_us
            .store(self.micros(now + left), Ordering::Release);
    }

    /// Returns by which factor calls currently take longer than usual, 1 while that is unknown.
    fn slowness(&self, now: Instant) -> f64 {
        match self.micros(now) < self.slowness_until_us.load(Ordering::Acquire) {
            true => factor_of(self.slowness_percent.load(Ordering::Acquire)),
            false => 1.0,
        }
    }

    fn record_outcome(&self, failed: bool, now: Instant) {
        let towards = if failed { 1000 } else { 0 };
        let share = (self.failure_share(now) * 1000.0) as u32;
        let share = share + towards / FAILURE_AVERAGING_CALLS - share / FAILURE_AVERAGING_CALLS;
        self.failures_per_mille.store(share, Ordering::Release);
        self.last_outcome_us
            .store(self.micros(now), Ordering::Release);
    }

    /// Returns the share of failures among the peer's last calls, which decays with age.
    ///
    /// Without the decay, after a fault of all upstreams the first that answers would attract
    /// every call, and the others would get none to show that they have recovered.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        let counted = self.age(self.last_outcome_us.load(Ordering::Acquire), now);
        let freshness = counted.map_or(0.0, |age| 1.0 - share_of(age, FAILURE_LIFETIME));
        f64::from(self.failures_per_mille.load(Ordering::Acquire)) / 1000.0 * freshness
    }

    fn micros(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.created_at).as_micros() as u64
    }

    pub(crate) fn takes_calls(&self) -> bool {
        let state = self.state.load(Ordering::Acquire);
        state == UpstreamState::Ready as u32 || state == UpstreamState::Cold as u32
    }

    fn age(&self, at_us: u64, now: Instant) -> Option<Duration> {
        (at_us != NEVER).then(|| Duration::from_micros(self.micros(now).saturating_sub(at_us)))
    }

    /// Returns the peer's estimated calls over its limit: the last reported load plus the calls
    /// sent since.
    pub(crate) fn utilisation(&self, policy: &PlacementPolicy, now: Instant) -> f64 {
        let mark_heard = self.age(self.last_hint_us.load(Ordering::Acquire), now);
        let freshness = mark_heard.map_or(0.0, |age| 1.0 - share_of(age, policy.hint_lifetime));
        let reported = f64::from(self.load.load(Ordering::Acquire)) * freshness;
        let sent_since = f64::from(self.sent_since_hint.load(Ordering::Acquire));
        let own = f64::from(self.outstanding.load(Ordering::Acquire));
        let limit = f64::from(self.limit.load(Ordering::Acquire)).max(1.0);
        (reported + sent_since).max(own) / limit
    }

    /// Returns the expected time to an answer, in seconds.
    pub(crate) fn cost(&self, policy: &PlacementPolicy, now: Instant) -> f64 {
        let service_us = self.service_time_us.load(Ordering::Acquire);
        let service = if service_us == 0 {
            policy.unknown_service_time.as_secs_f64()
        } else {
            service_us as f64 / 1e6
        };
        let service = service * self.slowness(now);
        let utilisation = self.utilisation(policy, now);
        let excess = (utilisation - 1.0).max(0.0);
        // Below the limit no call waits; the small utilisation term distributes calls evenly.
        let mut cost = service * (1.0 + excess + 0.3 * utilisation.min(1.0));
        if !self.is_local {
            cost += policy.remote_cost.as_secs_f64();
        }
        if self.state.load(Ordering::Acquire) == UpstreamState::Cold as u32 {
            cost *= policy.cold_factor;
        }
        cost * self.failure_penalty(policy, now)
    }

    /// Returns the factor by which failures increase the cost. An upstream that fails or refuses
    /// immediately always looks idle and would attract all calls. Latency is learnt only from
    /// answers, and failures multiply the cost, so that such an upstream is not preferred.
    fn failure_penalty(&self, policy: &PlacementPolicy, now: Instant) -> f64 {
        1.0 + self.failure_share(now) * policy.failure_factor
    }

    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.micros(now) < self.avoided_until_us.load(Ordering::Acquire)
            || self.is_silent(now)
            || self.is_rate_limited(now)
    }

    /// Returns whether the upstream has named a limit on its calls per second and other upstreams
    /// are preferable for now.
    pub(crate) fn is_rate_limited(&self, now: Instant) -> bool {
        self.micros(now) < self.rate_limited_until_us.load(Ordering::Acquire)
    }
}

/// Returns the elapsed part of a lifetime, at most 1.
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
