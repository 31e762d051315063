//! Waits for memory, and bodies that are collected in pieces.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use hemlocktack_decide::BodyOwner;
use hemlocktack_protocol::ClassRank;
use tokio::task::JoinHandle;

use super::{BodyMemory, BodyNeed, BodyPlan, BudgetSizes, CollectError};

const MIB_BYTES: usize = 1 << 20;
const BUDGET_BYTES: usize = 24 * MIB_BYTES;

/// Memory of a node in tests.
pub(crate) fn body_memory() -> BodyMemory {
    BodyMemory::new(BudgetSizes::of_budget(BUDGET_BYTES))
}

fn need(owner: BodyOwner, wait: Duration) -> BodyNeed {
    BodyNeed {
        owner,
        class_rank: ClassRank::default(),
        refuse_at: Instant::now() + wait,
    }
}

fn plan(length_bytes: Option<usize>, limit_bytes: usize) -> BodyPlan {
    BodyPlan {
        length_bytes,
        limit_bytes,
        may_be_displaced: false,
    }
}

/// Returns this number of pieces of a MiB each.
fn pieces(count: usize) -> Vec<Result<Bytes, ()>> {
    let piece = Bytes::from(vec![b'x'; MIB_BYTES]);
    vec![Ok(piece); count]
}

/// Failure: memory is released when a body is complete, while others still hold it, or never.
#[tokio::test]
async fn a_body_holds_its_memory_until_its_last_reference_is_dropped() {
    let memory = body_memory();
    let need = need(BodyOwner::Caller, Duration::ZERO);
    for length_bytes in [Some(3 * MIB_BYTES), None] {
        let plan = plan(length_bytes, 8 * MIB_BYTES);
        let collected = memory.collect(&need, plan, stream::iter(pieces(3))).await;
        let body = collected.unwrap();
        assert_eq!(
            (body.len(), memory.held_bytes()),
            (3 * MIB_BYTES, 3 * MIB_BYTES)
        );
        let rest = body.slice(MIB_BYTES..);
        drop(body);
        assert_eq!(memory.held_bytes(), 3 * MIB_BYTES);
        drop(rest);
        assert_eq!(memory.held_bytes(), 0);
    }
}

/// Failure: a body that exceeds its limit, or whose sender breaks off, keeps what it had reserved.
#[tokio::test]
async fn a_body_that_is_given_up_holds_nothing() {
    let memory = body_memory();
    let need = need(BodyOwner::Caller, Duration::ZERO);
    let too_long = memory.collect(&need, plan(None, 2 * MIB_BYTES), stream::iter(pieces(3)));
    assert!(matches!(too_long.await, Err(CollectError::TooLarge)));
    let mut cut = pieces(2);
    cut.push(Err(()));
    let cut = memory.collect(
        &need,
        plan(Some(3 * MIB_BYTES), BUDGET_BYTES),
        stream::iter(cut),
    );
    assert!(matches!(cut.await, Err(CollectError::Source(()))));
    assert_eq!(memory.held_bytes(), 0);
}

/// Failure: a small body is kept as a piece of the large buffer that it was read into, and holds many
/// times the memory that is counted for it.
#[tokio::test]
async fn a_body_does_not_keep_the_buffer_that_it_was_read_into() {
    let memory = body_memory();
    let need = need(BodyOwner::Answer, Duration::ZERO);
    for length_bytes in [Some(1_500), None] {
        let read_buffer = Bytes::from(vec![b'x'; 8_192]);
        let piece = Ok::<_, ()>(read_buffer.slice(100..1_600));
        let pieces = stream::iter([piece]);
        let plan = plan(length_bytes, 4_096);
        let body = memory.collect(&need, plan, pieces).await.unwrap();
        assert_eq!(body.len(), 1_500);
        assert!(read_buffer.is_unique());
    }
}

/// Failure: a request that is cancelled while its body waits is granted memory that nobody returns.
#[tokio::test]
async fn a_cancelled_wait_leaves_nothing_behind() {
    let memory = body_memory();
    let need = need(BodyOwner::Caller, Duration::from_secs(60));
    let held = memory.reserve(&need, 16 * MIB_BYTES).await.unwrap();
    let waiting = start_waiting(&memory, need).await;
    waiting.abort();
    assert!(waiting.await.is_err());
    assert_eq!(memory.waiting_count(), 0);
    // Granted between the end of the task and its drop.
    let waiting = start_waiting(&memory, need).await;
    waiting.abort();
    drop(held);
    assert!(waiting.await.is_err());
    assert_eq!((memory.waiting_count(), memory.held_bytes()), (0, 0));
}

/// Starts a task that waits for memory.
async fn start_waiting(memory: &BodyMemory, need: BodyNeed) -> JoinHandle<()> {
    let task_memory = memory.clone();
    let waiting = tokio::spawn(async move {
        let _held = task_memory.reserve(&need, 16 * MIB_BYTES).await;
        std::future::pending::<()>().await;
    });
    tokio::task::yield_now().await;
    assert_eq!(memory.waiting_count(), 1);
    waiting
}

/// Failure: a wait that has ended by its timer stays in the queue, and blocks those behind it.
#[tokio::test]
async fn a_wait_ends_when_its_body_is_turned_away() {
    let memory = body_memory();
    let patient = need(BodyOwner::Caller, Duration::from_secs(60));
    let _held = memory.reserve(&patient, 16 * MIB_BYTES).await.unwrap();
    let hasty = need(BodyOwner::Caller, Duration::from_millis(20));
    let refusal = memory.reserve(&hasty, 2 * MIB_BYTES).await.err().unwrap();
    assert!(refusal.waited >= Duration::from_millis(20));
    assert_eq!(memory.waiting_count(), 0);
    assert_eq!(memory.refused_count(), 1);
}

/// Failure: two bodies of unknown length hold half of the memory each and wait for the other half,
/// until both reach their deadlines.
#[tokio::test]
async fn of_two_growing_bodies_one_completes() {
    let memory = body_memory();
    let grow = || {
        let memory = memory.clone();
        tokio::spawn(async move {
            let need = need(BodyOwner::Caller, Duration::from_secs(60));
            let pieces = stream::unfold(0, |sent| async move {
                tokio::task::yield_now().await;
                (sent < 12).then(|| (pieces(1).remove(0), sent + 1))
            });
            let pieces = Box::pin(pieces);
            let plan = plan(None, 16 * MIB_BYTES);
            memory.collect(&need, plan, pieces).await.is_ok()
        })
    };
    let (first, second) = (grow(), grow());
    let ended = async { (first.await.unwrap(), second.await.unwrap()) };
    let ended = tokio::time::timeout(Duration::from_secs(10), ended).await;
    assert_eq!(ended, Ok((true, false)));
}
