//! Placement: selection of the node whose upstream gets a call.

use std::time::{Duration, Instant};

use hemlocktack_protocol::Reason;
use rand::{Rng, RngExt};

use crate::peer_load::PeerLoad;

/// Parameters of [`place`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// Load (calls over limit) below which an upstream has spare capacity: below 1, so that calls
    /// spill over before the local upstream queues.
    pub spill_over_load: f64,
    /// Load below which a local upstream has spare capacity; it loses its preference there. Set by
    /// [`PlacementPolicy::for_answers_of`].
    pub local_spill_over_load: f64,
    /// Load below which no call queues. Where no upstream has spare capacity, one below this load
    /// is preferred, wherever it is.
    pub free_slot_load: f64,
    /// Value of `local_spill_over_load` for answers of `large_answer_bytes` or more.
    pub large_answer_spill_over_load: f64,
    /// Mean size of answers from which `large_answer_spill_over_load` holds; between zero and this
    /// size the load at which calls spill over grows in proportion.
    pub large_answer_bytes: f64,
    /// Cost of another data centre for each KiB of the expected answer.
    pub remote_cost_per_kib: Duration,
    /// Most that the size of answers adds to the cost of another data centre.
    pub max_size_cost: Duration,
    /// An upstream in another data centre is preferred to a local one with spare capacity if its
    /// expected time to an answer is shorter by this factor. Traffic between data centres costs
    /// money, and smaller differences are noise.
    pub remote_speedup: f64,
    /// A local upstream with spare capacity is always preferred while its expected time to an
    /// answer is below this share of the objective of the whole request: a request makes up to
    /// ten calls in sequence, and its caller gains nothing from saving a few milliseconds on
    /// each.
    pub local_objective_share: f64,
    /// Load below which a local upstream is preferred whatever its recorded latency and
    /// failures: one that was slow or suspended would otherwise get no calls to show that it has
    /// recovered.
    pub probe_load_below: f64,
    /// `probe_load_below` does not apply to an upstream that fails a larger share of its calls
    /// than this: it is idle because it fails, and its failure share decays by itself while it
    /// gets no calls.
    pub probe_failure_share_below: f64,
    /// Cost of another data centre. The data centres are 0.5 to 1 ms apart one way.
    pub remote_cost: Duration,
    /// Age at which a load hint no longer counts; its weight decreases linearly until then.
    pub hint_lifetime: Duration,
    /// Assumed service time of an upstream that has not answered yet: short, so that it is
    /// tried.
    pub unknown_service_time: Duration,
    /// Multiplies the cost of an upstream in slow start.
    pub cold_factor: f64,
    /// Multiplies the cost of an upstream whose calls all fail; a lower failure share counts in
    /// proportion.
    pub failure_factor: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        PlacementPolicy {
            spill_over_load: 0.8,
            local_spill_over_load: 0.8,
            free_slot_load: 1.0,
            large_answer_spill_over_load: 0.95,
            large_answer_bytes: 32.0 * 1024.0,
            remote_cost_per_kib: Duration::from_micros(250),
            max_size_cost: Duration::from_millis(100),
            remote_speedup: 1.3,
            local_objective_share: 0.1,
            probe_load_below: 0.2,
            probe_failure_share_below: 0.25,
            remote_cost: Duration::from_millis(2),
            hint_lifetime: Duration::from_secs(2),
            unknown_service_time: Duration::from_millis(5),
            cold_factor: 2.0,
            failure_factor: 20.0,
        }
    }
}

impl PlacementPolicy {
    /// Returns the policy for calls whose answers have this mean size.
    pub fn for_answers_of(self, bytes: f64) -> Self {
        let share = (bytes / self.large_answer_bytes).clamp(0.0, 1.0);
        let extra = self.large_answer_spill_over_load - self.spill_over_load;
        let size_cost = self.remote_cost_per_kib.mul_f64(bytes.max(0.0) / 1024.0);
        PlacementPolicy {
            local_spill_over_load: self.spill_over_load + extra * share,
            remote_cost: self.remote_cost + size_cost.min(self.max_size_cost),
            ..self
        }
    }
}

/// Selects the upstream for a call and returns its index in `peers`, or `None` if none takes
/// calls. Only peers accepted by `may_send_to` are considered; it excludes, for instance, the
/// peer that has just refused the call.
///
/// Demand and upstream speeds are uneven, and known only with a delay. Sending all calls to the
/// upstream that looked best would overload it before the next load hint, and sending evenly
/// would overload the slow one; taking the better of two random choices avoids both. Local
/// upstreams are preferred until they are nearly full, unless they are much slower: another data
/// centre costs two milliseconds, a queue or an old machine more. A slower local upstream loses
/// its preference only if it could make the answer late for `objective`; otherwise a fast
/// upstream would attract the calls of all data centres, and traffic between them costs money.
/// Among full upstreams the choice is made in the same way, those without a queue first: a data
/// centre's peak demand would otherwise queue, and be refused, beside free slots in others.
pub fn place(
    peers: &[impl AsRef<PeerLoad>],
    may_send_to: impl Fn(usize) -> bool,
    objective: Option<Duration>,
    now: Instant,
    policy: &PlacementPolicy,
    rng: &mut impl Rng,
) -> Option<usize> {
    let takes = |index: usize, peer: &PeerLoad| may_send_to(index) && peer.takes_calls();
    let available = |index: usize, peer: &PeerLoad| takes(index, peer) && !peer.is_avoided(now);
    let has_room = |index: usize, peer: &PeerLoad| {
        let most = match peer.is_local {
            true => policy.local_spill_over_load,
            false => policy.spill_over_load,
        };
        available(index, peer) && peer.utilisation(policy, now) < most
    };
    let has_free_slot = |index: usize, peer: &PeerLoad| {
        available(index, peer) && peer.utilisation(policy, now) < policy.free_slot_load
    };
    let cost = |index: usize| peers[index].as_ref().cost(policy, now);
    let is_fast_enough = |local: usize| {
        objective
            .is_some_and(|within| cost(local) < within.as_secs_f64() * policy.local_objective_share)
    };
    let is_due_for_probe = |local: usize| {
        let local = peers[local].as_ref();
        local.utilisation(policy, now) < policy.probe_load_below
            && local.failure_share(now) < policy.probe_failure_share_below
    };
    let prefers_local = |local: usize, remote: usize| {
        is_due_for_probe(local)
            || is_fast_enough(local)
            || cost(remote) * policy.remote_speedup >= cost(local)
    };
    let mut choose_nearest = |eligible: &dyn Fn(usize, &PeerLoad) -> bool| {
        let is_local = |index: usize, peer: &PeerLoad| peer.is_local && eligible(index, peer);
        let local = better_of_two(peers, is_local, now, policy, rng);
        let any = better_of_two(peers, eligible, now, policy, rng)?;
        local
            .filter(|local| prefers_local(*local, any))
            .or(Some(any))
    };
    // A full upstream queues the call, one without tokens refuses it.
    let has_tokens =
        |index: usize, peer: &PeerLoad| takes(index, peer) && !peer.is_rate_limited(now);
    choose_nearest(&has_room)
        .or_else(|| choose_nearest(&has_free_slot))
        .or_else(|| choose_nearest(&available))
        .or_else(|| choose_nearest(&has_tokens))
        .or_else(|| choose_nearest(&takes))
}

/// Returns whether a call with a large body should stay at its entry node, whose upstream is `own`.
/// Sent to another node, the body would be held by both.
pub fn keeps_large_body(own: &PeerLoad, now: Instant, policy: &PlacementPolicy) -> bool {
    own.takes_calls()
        && !own.is_avoided(now)
        && own.utilisation(policy, now) < policy.free_slot_load
}

/// Returns whether a call refused by one node for this reason may be sent to another node. This
/// is allowed at most once per call after a refusal and is not a retry, since nothing ran.
/// Refusals that the other nodes would share (shed by level, quarantined) are returned to the
/// caller instead. The expected wait is specific to one node: its upstream may be the slow one
/// of its data centre.
pub fn may_move(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::QueueFull
            | Reason::DeadlineTooShort
            | Reason::UpstreamRateLimited
            | Reason::MemoryFull
            // The receiver ended the call because the link to the sender, which still waits, was
            // lost or silent.
            | Reason::Cancelled
    ) || is_unavailable(reason)
}

pub(crate) fn is_unavailable(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoUpstream
            | Reason::Starting
            | Reason::Draining
            | Reason::UpstreamDraining
            | Reason::UpstreamUnreachable
            | Reason::UpstreamReplaced
    )
}

fn better_of_two(
    peers: &[impl AsRef<PeerLoad>],
    eligible: impl Fn(usize, &PeerLoad) -> bool,
    now: Instant,
    policy: &PlacementPolicy,
    rng: &mut impl Rng,
) -> Option<usize> {
    let first = choose(peers, &eligible, None, rng)?;
    let Some(second) = choose(peers, &eligible, Some(first), rng) else {
        return Some(first);
    };
    let cost = |index: usize| peers[index].as_ref().cost(policy, now);
    Some(if cost(second) < cost(first) {
        second
    } else {
        first
    })
}

/// Selects one eligible peer with equal probability, in one pass and without allocating.
fn choose(
    peers: &[impl AsRef<PeerLoad>],
    eligible: impl Fn(usize, &PeerLoad) -> bool,
    other_than: Option<usize>,
    rng: &mut impl Rng,
) -> Option<usize> {
    let mut chosen = None;
    let mut seen = 0u32;
    for (index, peer) in peers.iter().enumerate() {
        if Some(index) == other_than || !eligible(index, peer.as_ref()) {
            continue;
        }
        seen += 1;
        if rng.random_ratio(1, seen) {
            chosen = Some(index);
        }
    }
    chosen
}
