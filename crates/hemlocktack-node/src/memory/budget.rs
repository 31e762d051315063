//! The process's budget for bodies. All rules are in `hemlocktack_decide::BodyBudget`; this module
//! adds the lock, the waiting tasks and a share for small bodies that needs no lock.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use hemlocktack_decide::{
    BodyBudget, BodyBudgetPolicy, BodyClaim, BodyDecision, BodyId, BodyOwner, BodyPool,
    SMALL_BODY_BYTES, WaitEnd,
};
use hemlocktack_protocol::ClassRank;
use tokio::sync::oneshot;

use super::gauge::{HeldFor, MemoryGauge};

/// Memory that a node may use for itself and for bodies.
const MAX_USED_BYTES: usize = 128 << 20;
/// Memory of a node itself, with its tables, logs and buffers.
const NODE_BYTES: usize = 32 << 20;

/// Result of asking for memory.
pub(crate) type Result<T> = std::result::Result<T, NoMemory>;

/// The budget has no room for a body, and none until it has to be turned away.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("no memory for {wanted_bytes} bytes: {held_bytes} are held, {waiting_count} bodies wait")]
pub(crate) struct NoMemory {
    pub(crate) wanted_bytes: usize,
    /// Bytes held outside the share for small bodies.
    pub(crate) held_bytes: usize,
    pub(crate) waiting_count: usize,
    pub(crate) waited: Duration,
}

/// Sizes of the shares of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BudgetSizes {
    pub(crate) small_bytes: usize,
    pub(crate) shared_bytes: usize,
    pub(crate) reserve_bytes: usize,
}

impl BudgetSizes {
    /// Returns the shares of a process that may use this much memory. A fifth of it, or more,
    /// remains for what is not counted: buffers of sockets, of links and of calls.
    pub(crate) fn of_memory(memory_bytes: usize) -> Self {
        let used_bytes = (memory_bytes / 5 * 4).min(MAX_USED_BYTES);
        Self::of_budget(used_bytes.saturating_sub(NODE_BYTES))
    }

    /// Divides a budget: a sixth for small bodies, a sixth as a reserve, the rest for all.
    pub(crate) fn of_budget(budget_bytes: usize) -> Self {
        let sixth = budget_bytes / 6;
        Self {
            small_bytes: sixth,
            shared_bytes: budget_bytes - 2 * sixth,
            reserve_bytes: sixth,
        }
    }

    pub(crate) fn total_bytes(&self) -> usize {
        self.small_bytes + self.shared_bytes + self.reserve_bytes
    }
}

/// Memory of this process for all bodies, whoever sends or answers them.
#[derive(Clone)]
pub(crate) struct BodyMemory {
    inner: Arc<Inner>,
}

struct Inner {
    sizes: BudgetSizes,
    gauge: MemoryGauge,
    small_held_bytes: AtomicUsize,
    next_id: AtomicU64,
    refused_count: AtomicU64,
    state: Mutex<State>,
}

/// Decision on a claim, with the end of the wait if it has to wait.
enum Decision {
    Granted(BodyPool),
    Refused,
    Waits(oneshot::Receiver<Option<BodyPool>>),
}

struct State {
    budget: BodyBudget,
    waiting: HashMap<BodyId, oneshot::Sender<Option<BodyPool>>>,
}

/// A body for which memory is needed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyNeed {
    pub(crate) owner: BodyOwner,
    pub(crate) class_rank: ClassRank,
    /// When it is turned away if it still waits for memory.
    pub(crate) refuse_at: Instant,
}

/// Bytes of the budget that one body holds until this is dropped.
pub(crate) struct HeldBytes {
    memory: BodyMemory,
    held_for: HeldFor,
    /// Of a body that may claim memory of the pools.
    id: Option<BodyId>,
    small_bytes: usize,
    shared_bytes: usize,
    reserve_bytes: usize,
}

/// A body that waits for memory. Dropping it ends the wait.
struct Wait<'a> {
    inner: &'a Inner,
    id: BodyId,
    bytes: usize,
    end: oneshot::Receiver<Option<BodyPool>>,
    is_over: bool,
}

impl BodyMemory {
    pub(crate) fn new(sizes: BudgetSizes) -> Self {
        let policy = BodyBudgetPolicy {
            shared_bytes: sizes.shared_bytes,
            reserve_bytes: sizes.reserve_bytes,
        };
        let state = State {
            budget: BodyBudget::new(policy),
            waiting: HashMap::new(),
        };
        let inner = Inner {
            sizes,
            gauge: MemoryGauge::default(),
            small_held_bytes: AtomicUsize::new(0),
            next_id: AtomicU64::new(1),
            refused_count: AtomicU64::new(0),
            state: Mutex::new(state),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    pub(crate) fn sizes(&self) -> BudgetSizes {
        self.inner.sizes
    }

    /// Returns what memory is held for.
    pub(crate) fn gauge(&self) -> &MemoryGauge {
        &self.inner.gauge
    }

    /// Returns the bytes that bodies hold.
    #[cfg(test)]
    pub(crate) fn held_bytes(&self) -> usize {
        let small_bytes = self.inner.small_held_bytes.load(Ordering::Relaxed);
        small_bytes + self.inner.lock().budget.held_bytes()
    }

    /// Returns the number of bodies that wait for memory.
    pub(crate) fn waiting_count(&self) -> usize {
        self.inner.lock().budget.waiting_count()
    }

    /// Returns the number of bodies that were turned away.
    pub(crate) fn refused_count(&self) -> u64 {
        self.inner.refused_count.load(Ordering::Relaxed)
    }

    /// Reserves the bytes of a small body, unless its share is used up.
    pub(crate) fn reserve_small(&self, owner: BodyOwner, bytes: usize) -> Option<HeldBytes> {
        if bytes > SMALL_BODY_BYTES {
            return None;
        }
        let mut held = HeldBytes::nothing(self, owner);
        held.take_small(bytes).then_some(held)
    }

    /// Reserves the bytes of a body of known length, waiting for them if need be.
    pub(crate) async fn reserve(&self, need: &BodyNeed, bytes: usize) -> Result<HeldBytes> {
        if let Some(held) = self.reserve_small(need.owner, bytes) {
            return Ok(held);
        }
        let mut held = HeldBytes::nothing(self, need.owner);
        // Boxed, so that a request that need not wait has no room for it.
        Box::pin(held.claim(need, bytes, false)).await?;
        Ok(held)
    }

    /// Reserves the first bytes of a body of unknown length.
    pub(crate) async fn reserve_growing(&self, need: &BodyNeed, bytes: usize) -> Result<HeldBytes> {
        let mut held = HeldBytes::nothing(self, need.owner);
        // Its age counts from here, also if it asks for more much later.
        held.id();
        held.grow(need, bytes).await?;
        Ok(held)
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn decide(&self, claim: BodyClaim, now: Instant) -> Decision {
        let mut state = self.lock();
        let decision = match state.budget.claim(claim, now) {
            BodyDecision::Granted(pool) => Decision::Granted(pool),
            BodyDecision::Refused => Decision::Refused,
            BodyDecision::Waits => {
                let (ended, end) = oneshot::channel();
                state.waiting.insert(claim.id, ended);
                Decision::Waits(end)
            }
        };
        // Another body may have been turned away so that this one can wait.
        state.end_waits(now);
        decision
    }

    fn no_memory(&self, wanted_bytes: usize, began: Instant) -> NoMemory {
        self.refused_count.fetch_add(1, Ordering::Relaxed);
        let state = self.lock();
        NoMemory {
            wanted_bytes,
            held_bytes: state.budget.held_bytes(),
            waiting_count: state.budget.waiting_count(),
            waited: began.elapsed(),
        }
    }
}

impl State {
    /// Tells the bodies whose wait has ended.
    fn end_waits(&mut self, now: Instant) {
        for end in self.budget.take_ends(now) {
            match end {
                WaitEnd::Granted(id, pool) => self.tell(id, Some(pool)),
                WaitEnd::Refused(id) => self.tell(id, None),
            }
        }
    }

    fn tell(&mut self, id: BodyId, pool: Option<BodyPool>) {
        if let Some(waiting) = self.waiting.remove(&id) {
            // The receiver lives until its guard has ended the wait under the same lock.
            let _ = waiting.send(pool);
        }
    }
}

impl HeldBytes {
    fn nothing(memory: &BodyMemory, owner: BodyOwner) -> Self {
        Self {
            memory: memory.clone(),
            held_for: owner.into(),
            id: None,
            small_bytes: 0,
            shared_bytes: 0,
            reserve_bytes: 0,
        }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.small_bytes + self.shared_bytes + self.reserve_bytes
    }

    /// Returns the body's id, which is drawn when it is first needed.
    fn id(&mut self) -> BodyId {
        let next_id = &self.memory.inner.next_id;
        *self
            .id
            .get_or_insert_with(|| next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Reserves more bytes for a body whose length is unknown.
    pub(crate) async fn grow(&mut self, need: &BodyNeed, bytes: usize) -> Result<()> {
        if self.bytes() + bytes <= SMALL_BODY_BYTES && self.take_small(bytes) {
            return Ok(());
        }
        Box::pin(self.claim(need, bytes, true)).await
    }

    /// Releases what exceeds the length of a body that is complete.
    pub(crate) fn shrink(&mut self, length_bytes: usize) {
        let mut excess_bytes = self.bytes().saturating_sub(length_bytes);
        if excess_bytes == 0 {
            return;
        }
        let small_bytes = excess_bytes.min(self.small_bytes);
        excess_bytes -= small_bytes;
        let reserve_bytes = excess_bytes.min(self.reserve_bytes);
        excess_bytes -= reserve_bytes;
        self.release(small_bytes, excess_bytes, reserve_bytes);
    }

    /// Takes bytes of the share for small bodies; returns whether it has room for them.
    fn take_small(&mut self, bytes: usize) -> bool {
        let inner = &self.memory.inner;
        let before_bytes = inner.small_held_bytes.fetch_add(bytes, Ordering::Relaxed);
        if before_bytes + bytes > inner.sizes.small_bytes {
            inner.small_held_bytes.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        self.small_bytes += bytes;
        inner.gauge.add(self.held_for, bytes);
        true
    }

    async fn claim(&mut self, need: &BodyNeed, bytes: usize, is_growing: bool) -> Result<()> {
        let inner = self.memory.inner.clone();
        let began = Instant::now();
        let id = self.id();
        let claim = BodyClaim {
            id,
            owner: need.owner,
            class_rank: need.class_rank,
            bytes,
            is_growing,
            refuse_at: need.refuse_at,
        };
        let decision = inner.decide(claim, began);
        let pool = match decision {
            Decision::Granted(pool) => Some(pool),
            Decision::Refused => None,
            Decision::Waits(end) => {
                let wait = Wait {
                    inner: &inner,
                    id,
                    bytes,
                    end,
                    is_over: false,
                };
                wait.until(need.refuse_at).await
            }
        };
        let pool = pool.ok_or_else(|| inner.no_memory(bytes, began))?;
        self.add(pool, bytes);
        Ok(())
    }

    fn add(&mut self, pool: BodyPool, bytes: usize) {
        match pool {
            BodyPool::Shared => self.shared_bytes += bytes,
            BodyPool::Reserve => self.reserve_bytes += bytes,
        }
        self.memory.inner.gauge.add(self.held_for, bytes);
    }

    fn release(&mut self, small_bytes: usize, shared_bytes: usize, reserve_bytes: usize) {
        let inner = &self.memory.inner;
        if small_bytes > 0 {
            self.small_bytes -= small_bytes;
            inner
                .small_held_bytes
                .fetch_sub(small_bytes, Ordering::Relaxed);
        }
        if shared_bytes + reserve_bytes > 0 {
            self.shared_bytes -= shared_bytes;
            self.reserve_bytes -= reserve_bytes;
            let mut state = inner.lock();
            state.budget.release(BodyPool::Shared, shared_bytes);
            state.budget.release(BodyPool::Reserve, reserve_bytes);
            state.end_waits(Instant::now());
        }
        let bytes = small_bytes + shared_bytes + reserve_bytes;
        inner.gauge.subtract(self.held_for, bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release(self.small_bytes, self.shared_bytes, self.reserve_bytes);
    }
}

impl Wait<'_> {
    /// Returns the pool that the bytes were granted in; `None` if the body is turned away, at the
    /// latest at `refuse_at`.
    async fn until(mut self, refuse_at: Instant) -> Option<BodyPool> {
        let ended = tokio::time::timeout_at(refuse_at.into(), &mut self.end).await;
        let pool = match ended {
            Ok(pool) => pool.ok().flatten(),
            Err(_) => {
                let now = Instant::now().max(refuse_at);
                self.inner.lock().end_waits(now);
                self.end.try_recv().ok().flatten()
            }
        };
        self.is_over = true;
        pool
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let mut state = self.inner.lock();
        state.waiting.remove(&self.id);
        state.budget.cancel(self.id);
        // Granted between the end of the task and this lock.
        if let Ok(Some(pool)) = self.end.try_recv() {
            state.budget.release(pool, self.bytes);
        }
        state.end_waits(Instant::now());
    }
}
