//! Placement: on which node's upstream a call is put.

use std::time::{Duration, Instant};

use hemlocktack_protocol::Reason;
use rand::{Rng, RngExt};

use crate::peer_load::PeerLoad;

/// Numbers of [`place`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// Load (calls over limit) at which the nearer upstream no longer goes
    /// first: below 1, so that calls spill over before the near one queues.
    pub spill_over_at: f64,
    /// An upstream in another data centre goes before a near one with room where
    /// its answer is expected this many times sooner. Bytes between data
    /// centres cost money, and smaller differences are chance.
    pub far_advantage: f64,
    /// A near upstream with room goes first in any case while its answer is
    /// expected within this share of the time in which the whole request is
    /// wanted: a request makes up to ten calls one after the other, and a few
    /// milliseconds less for each of them are worth nothing to its caller.
    pub near_within: f64,
    /// Load below which a near upstream goes first whatever is held against it:
    /// one that was slow or stood still would get no call that shows that it
    /// has recovered.
    pub tried_below: f64,
    /// This does not hold for one that fails a larger share of its calls: it is
    /// idle because it fails, and its share falls by itself while nothing comes.
    pub tried_failing_below: f64,
    /// Cost of another data centre: today's lie 0.5 to 1 ms apart one way.
    pub far_cost: Duration,
    /// A hint this old counts for nothing; calls in between age it evenly.
    pub hint_lifetime: Duration,
    /// Service time assumed of an upstream that has not answered yet: short, so
    /// that it is tried.
    pub unknown_service_time: Duration,
    /// Multiplies the cost of an upstream in slow start.
    pub cold_factor: f64,
    /// Multiplies the cost of an upstream whose calls all fail; fewer failures
    /// count in proportion.
    pub failure_factor: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        PlacementPolicy {
            spill_over_at: 0.8,
            far_advantage: 1.3,
            near_within: 0.1,
            tried_below: 0.2,
            tried_failing_below: 0.25,
            far_cost: Duration::from_millis(2),
            hint_lifetime: Duration::from_secs(2),
            unknown_service_time: Duration::from_millis(5),
            cold_factor: 2.0,
            failure_factor: 20.0,
        }
    }
}

/// Picks the upstream for a call: its index in `peers`, or `None` when none
/// takes calls. Only those that `may_get_it` are looked at: not the one that has
/// just refused the call, for instance.
///
/// Load: uneven demand and uneven upstreams, known late. Harm: sending all
/// calls to the one that looked best overloads it before the next hint, and
/// sending evenly overloads the slow one. The better of two random choices
/// avoids both. Nearer upstreams come first, but only until they are nearly
/// full, and only where they are not much slower: a call in another data centre
/// costs two milliseconds, a queue or an old machine more. Slower counts only
/// where it can make the answer late that is wanted within `wanted_within`: a
/// fast upstream would else draw the calls of all data centres, and their bytes
/// cost money. Full ones are chosen among in the same way.
pub fn place(
    peers: &[impl AsRef<PeerLoad>],
    may_get_it: impl Fn(usize) -> bool,
    wanted_within: Option<Duration>,
    now: Instant,
    policy: &PlacementPolicy,
    rng: &mut impl Rng,
) -> Option<usize> {
    let takes = |index: usize, peer: &PeerLoad| may_get_it(index) && peer.takes_calls();
    let settled = |index: usize, peer: &PeerLoad| takes(index, peer) && !peer.is_avoided(now);
    let has_room = |index: usize, peer: &PeerLoad| {
        settled(index, peer) && peer.utilisation(policy, now) < policy.spill_over_at
    };
    let cost = |index: usize| peers[index].as_ref().cost(policy, now);
    let is_soon = |near: usize| {
        wanted_within.is_some_and(|within| cost(near) < within.as_secs_f64() * policy.near_within)
    };
    let is_tried = |near: usize| {
        let near = peers[near].as_ref();
        near.utilisation(policy, now) < policy.tried_below
            && near.failure_share(now) < policy.tried_failing_below
    };
    let goes_first = |near: usize, far: usize| {
        is_tried(near) || is_soon(near) || cost(far) * policy.far_advantage >= cost(near)
    };
    let mut nearest_of = |eligible: &dyn Fn(usize, &PeerLoad) -> bool| {
        let is_near = |index: usize, peer: &PeerLoad| peer.is_near && eligible(index, peer);
        let near = better_of_two(peers, is_near, now, policy, rng);
        let any = better_of_two(peers, eligible, now, policy, rng)?;
        near.filter(|near| goes_first(*near, any)).or(Some(any))
    };
    nearest_of(&has_room)
        .or_else(|| nearest_of(&settled))
        .or_else(|| nearest_of(&takes))
}

/// Whether a call that one node refused may be put on another. At most once a
/// call, and no retry: nothing ran. A refusal that the others share (shed by
/// level, quarantined) is passed up instead. How long a call would wait is one
/// node's own: its upstream may be the slow one of its data centre.
pub fn may_move(reason: Reason) -> bool {
    matches!(reason, Reason::QueueFull | Reason::DeadlineTooShort) || is_unavailable(reason)
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

/// One eligible peer, each with equal chance, in one pass and without memory.
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
