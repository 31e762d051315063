//! Memory for bodies: which body gets it now, which one waits, and which one is turned away.

use std::time::Instant;

use hemlocktack_protocol::ClassRank;

/// Identifies a body that asks for memory. Later bodies have greater ids.
pub type BodyId = u64;

/// Bodies up to this size go before all larger ones.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Bodies of callers up to this size may use the reserve.
const MEDIUM_BODY_BYTES: usize = 1 << 20;
/// Most bodies that wait. The socket of each one that waits holds bytes as well.
const MAX_WAITING: usize = 64;
/// Number of [`BodyPool`]s.
const POOLS: usize = 2;

/// Whose body it is, the most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BodyOwner {
    /// An answer: its request has run, and would be lost without it.
    Answer,
    /// A request that another node forwards, and holds until this node has it.
    Peer,
    /// A request of a caller of this node.
    Caller,
}

/// Part of the memory that a body is held in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyPool {
    /// For all bodies.
    Shared,
    /// Not for the large bodies of callers. These wait for other nodes, which must not wait for
    /// them in turn.
    Reserve,
}

/// Sizes of the pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyBudgetPolicy {
    /// Size of the shared pool, which is the largest body that can be held.
    pub shared_bytes: usize,
    /// Size of the reserve.
    pub reserve_bytes: usize,
}

/// A body that asks for memory.
#[derive(Clone, Copy, Debug)]
pub struct BodyClaim {
    /// The body that asks.
    pub id: BodyId,
    /// Whose body it is.
    pub owner: BodyOwner,
    /// Rank of its request's class.
    pub class_rank: ClassRank,
    /// Bytes that it needs.
    pub bytes: usize,
    /// Its length is unknown; it may hold memory already and ask for more again.
    pub is_growing: bool,
    /// When it is turned away if it still waits.
    pub refuse_at: Instant,
}

/// Decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyDecision {
    /// The bytes are held in this pool from now on.
    Granted(BodyPool),
    /// The body waits; its end is among the later [`WaitEnd`]s.
    Waits,
    /// There is no room, and the body can't wait for it.
    Refused,
}

/// End of a body's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// The bytes are held in this pool from now on.
    Granted(BodyId, BodyPool),
    /// The body is turned away.
    Refused(BodyId),
}

/// Memory of one process for all bodies but those that its small share has room for.
///
/// No two bodies can wait for each other: one of known length asks once, for all of it, and of
/// those that grow only the oldest may wait.
#[derive(Debug)]
pub struct BodyBudget {
    policy: BodyBudgetPolicy,
    /// By pool.
    held_bytes: [usize; POOLS],
    /// In the order in which they get memory.
    waiting: Vec<BodyClaim>,
    ends: Vec<WaitEnd>,
}

/// Whether a body may not use a pool, because one that goes before it waits for it; by pool.
type Taken = [bool; POOLS];

impl BodyBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(policy: BodyBudgetPolicy) -> Self {
        Self {
            policy,
            held_bytes: [0; POOLS],
            waiting: Vec::new(),
            ends: Vec::new(),
        }
    }

    /// Decides on a claim.
    pub fn claim(&mut self, claim: BodyClaim, now: Instant) -> BodyDecision {
        if !self.can_ever_fit(&claim) {
            return BodyDecision::Refused;
        }
        let mut taken = Taken::default();
        for other in &self.waiting[..self.place_of(&claim)] {
            mark_taken(&mut taken, self.pools(other));
        }
        if let Some(pool) = self.take(&claim, taken) {
            return BodyDecision::Granted(pool);
        }
        if now >= claim.refuse_at || !self.make_room_to_wait(&claim) {
            return BodyDecision::Refused;
        }
        self.waiting.insert(self.place_of(&claim), claim);
        BodyDecision::Waits
    }

    /// Releases bytes that were held in a pool.
    pub fn release(&mut self, pool: BodyPool, bytes: usize) {
        let held_bytes = &mut self.held_bytes[pool as usize];
        *held_bytes = held_bytes.saturating_sub(bytes);
    }

    /// Ends the wait of a body that is no longer needed; returns whether it was waiting.
    pub fn cancel(&mut self, id: BodyId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|claim| claim.id != id);
        self.waiting.len() < before
    }

    /// Returns the waits that have ended by now.
    pub fn take_ends(&mut self, now: Instant) -> Vec<WaitEnd> {
        let mut taken = Taken::default();
        for claim in std::mem::take(&mut self.waiting) {
            if now >= claim.refuse_at {
                self.ends.push(WaitEnd::Refused(claim.id));
            } else if let Some(pool) = self.take(&claim, taken) {
                self.ends.push(WaitEnd::Granted(claim.id, pool));
            } else {
                mark_taken(&mut taken, self.pools(&claim));
                self.waiting.push(claim);
            }
        }
        std::mem::take(&mut self.ends)
    }

    /// Returns the bytes that are held in both pools.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.iter().sum()
    }

    /// Returns the number of bodies that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of waiting bodies that go before this one.
    fn place_of(&self, claim: &BodyClaim) -> usize {
        self.waiting
            .partition_point(|other| goes_before(other, claim))
    }

    fn can_ever_fit(&self, claim: &BodyClaim) -> bool {
        let pools = self.pools(claim).into_iter().flatten();
        let largest = pools.map(|pool| self.size_of(pool)).max();
        largest.is_some_and(|largest| claim.bytes <= largest)
    }

    /// Returns the pools that a body may use, the preferred one first.
    fn pools(&self, claim: &BodyClaim) -> [Option<BodyPool>; POOLS] {
        let fits_reserve = claim.bytes <= self.policy.reserve_bytes;
        match claim.owner {
            // Growing answers may have no end, and must leave callers their share.
            BodyOwner::Answer if claim.is_growing => [Some(BodyPool::Reserve), None],
            BodyOwner::Answer | BodyOwner::Peer if fits_reserve => {
                [Some(BodyPool::Reserve), Some(BodyPool::Shared)]
            }
            BodyOwner::Caller if fits_reserve && claim.bytes <= MEDIUM_BODY_BYTES => {
                [Some(BodyPool::Shared), Some(BodyPool::Reserve)]
            }
            _ => [Some(BodyPool::Shared), None],
        }
    }

    fn take(&mut self, claim: &BodyClaim, taken: Taken) -> Option<BodyPool> {
        let pools = self.pools(claim).into_iter().flatten();
        let mut free = pools.filter(|pool| !taken[*pool as usize]);
        let pool = free.find(|pool| {
            let free_bytes = self
                .size_of(*pool)
                .saturating_sub(self.held_bytes[*pool as usize]);
            claim.bytes <= free_bytes
        })?;
        self.held_bytes[pool as usize] += claim.bytes;
        Some(pool)
    }

    /// Returns whether a claim may wait. If need be, a less important one is turned away for it.
    fn make_room_to_wait(&mut self, claim: &BodyClaim) -> bool {
        if claim.is_growing
            && let Some(other) = self.waiting.iter().position(|other| other.is_growing)
        {
            if self.waiting[other].id < claim.id {
                return false;
            }
            self.refuse_waiting(other);
        }
        if self.waiting.len() < MAX_WAITING {
            return true;
        }
        if self.place_of(claim) == self.waiting.len() {
            return false;
        }
        self.refuse_waiting(self.waiting.len() - 1);
        true
    }

    fn refuse_waiting(&mut self, index: usize) {
        let refused = self.waiting.remove(index);
        self.ends.push(WaitEnd::Refused(refused.id));
    }

    fn size_of(&self, pool: BodyPool) -> usize {
        match pool {
            BodyPool::Shared => self.policy.shared_bytes,
            BodyPool::Reserve => self.policy.reserve_bytes,
        }
    }
}

fn mark_taken(taken: &mut Taken, pools: [Option<BodyPool>; POOLS]) {
    for pool in pools.into_iter().flatten() {
        taken[pool as usize] = true;
    }
}

/// Whether a body gets memory before another one.
fn goes_before(claim: &BodyClaim, other: &BodyClaim) -> bool {
    let order = |claim: &BodyClaim| {
        let is_large = claim.bytes > SMALL_BODY_BYTES;
        (is_large, claim.owner, claim.class_rank, claim.id)
    };
    order(claim) < order(other)
}
