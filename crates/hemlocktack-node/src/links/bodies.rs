//! Bodies that follow their calls and answers in parts.
//!
//! A large body in the frame of its call would be held several times, and all that its link carries
//! would wait behind it. It is left out of the frame instead. The receiver asks for it once it has
//! memory, and gets it in parts, between the other frames.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_decide::{BodyOwner, SMALL_BODY_BYTES};
use hemlocktack_protocol::{Answer, BodyPart, BodyRequest, Call, CallId, ClassRank, Reason, frame};
use tokio::sync::oneshot;

use super::call_times::take_off_time;
use super::connection::Connection;
use super::registry::Registered;
use crate::calls::{Awaited, SendProgress, class_rank_of};
use crate::memory::{
    BodyBuffer, BodyMemory, BodyNeed, HeldBytes, NoMemory, log_body_refused, track, wait_limit,
};
use crate::node::Node;

/// Bytes of a body in one frame. A small frame waits for one such part at most.
const PART_BYTES: usize = 64 << 10;

/// A body that arrives over a connection.
pub(super) struct ArrivingBody {
    buffer: BodyBuffer,
    length_bytes: usize,
    whole: oneshot::Sender<Bytes>,
}

/// Body of an answer that the other end may ask for.
pub(super) struct OfferedBody {
    body: Bytes,
    sent: oneshot::Sender<bool>,
}

/// An answer whose frame has been sent.
pub(super) struct SentAnswer {
    connection: Connection,
    /// Body that was left out. Withdrawn when nobody waits for it any longer.
    offered: Option<(Registered<OfferedBody>, oneshot::Receiver<bool>)>,
}

/// Adds a part to its body. More than was announced ends the body.
pub(super) fn add_part(connection: &Connection, part: &BodyPart) {
    let mut bodies = connection.arriving().lock();
    let Some(arriving) = bodies.get_mut(&part.call_id) else {
        return;
    };
    let fits = arriving.buffer.append(&part.bytes);
    let is_whole = arriving.buffer.len() == arriving.length_bytes;
    if fits && !is_whole {
        return;
    }
    let ended = bodies.remove(&part.call_id);
    drop(bodies);
    if let Some(arriving) = ended.filter(|_| fits) {
        // Nobody waits any longer if this fails.
        let _ = arriving.whole.send(arriving.buffer.into_bytes());
    }
}

/// Takes the body out of a frame if it is to follow in parts.
pub(super) fn leave_out(connection: &Connection, body: &mut Bytes) -> Option<Bytes> {
    let is_left_out = body.len() > SMALL_BODY_BYTES && connection.takes_parts();
    is_left_out.then(|| std::mem::take(body))
}

/// Asks the other end for a body that was left out, and returns it once it is whole; `None` if the
/// connection is lost before.
async fn fetch(connection: &Connection, call_id: CallId, held: HeldBytes) -> Option<Bytes> {
    let (whole, received) = oneshot::channel();
    let arriving = ArrivingBody {
        length_bytes: held.bytes(),
        buffer: BodyBuffer::new(held),
        whole,
    };
    let _registered = connection.arriving().register(call_id, arriving);
    let request = frame::Body::BodyRequest(BodyRequest { call_id });
    if !connection.send(request).await {
        return None;
    }
    tokio::select! {
        biased;
        body = received => body.ok(),
        () = connection.closed() => None,
    }
}

/// Sends the body of a call; returns whether all of it was handed to the connection. The call counts
/// as sent with its last part, without which it never runs.
pub(super) async fn send_call_body(
    connection: Connection,
    call_id: CallId,
    body: Bytes,
    progress: &SendProgress,
) -> bool {
    send_parts(&connection, call_id, body, || progress.try_mark_sent()).await
}

async fn send_parts(
    connection: &Connection,
    call_id: CallId,
    mut body: Bytes,
    may_send_last: impl Fn() -> bool,
) -> bool {
    while !body.is_empty() {
        let bytes = body.split_to(body.len().min(PART_BYTES));
        if body.is_empty() && !may_send_last() {
            return false;
        }
        let part = frame::Body::BodyPart(BodyPart { call_id, bytes });
        if !connection.send(part).await {
            return false;
        }
    }
    true
}

/// Sends the frame of an answer; `None` if no byte of it was sent.
pub(super) async fn send_answer(connection: &Connection, mut answer: Answer) -> Option<SentAnswer> {
    let call_id = answer.call_id;
    let offered = leave_out(connection, &mut answer.body).map(|body| {
        let (sent, body_sent) = oneshot::channel();
        answer.body_length = body.len() as u64;
        let offered = OfferedBody { body, sent };
        (connection.offered().register(call_id, offered), body_sent)
    });
    let sent = SentAnswer {
        connection: connection.clone(),
        offered,
    };
    let is_sent = connection.send(frame::Body::Answer(answer)).await;
    is_sent.then_some(sent)
}

impl SentAnswer {
    /// Returns once the answer is written to the socket; `false` if it never is. Otherwise a stop of
    /// this node would cut off a large answer that waits for a slow reader.
    pub(super) async fn written(self) -> bool {
        let Some((_registered, body_sent)) = self.offered else {
            return self.connection.flushed().await;
        };
        tokio::select! {
            biased;
            sent = body_sent => sent.unwrap_or(false) && self.connection.flushed().await,
            () = self.connection.closed() => false,
        }
    }
}

/// Sends the body of an answer that the other end asks for.
pub(super) fn send_offered(connection: &Connection, call_id: CallId) {
    let Some(offered) = connection.offered().remove(call_id) else {
        return;
    };
    let connection = connection.clone();
    tokio::spawn(async move {
        let is_sent = send_parts(&connection, call_id, offered.body, || true).await;
        // The answer's own task may have ended.
        let _ = offered.sent.send(is_sent);
    });
}

/// Why a body is not complete.
enum Incomplete {
    NoMemory(NoMemory),
    LinkLost,
}

/// Completes a call that has arrived: reserves memory for its body, and gets it if it was left out.
/// Returns why the call can't run.
pub(super) async fn complete_call(
    node: &Node,
    connection: &Connection,
    call: &mut Call,
    awaited: &Awaited,
) -> Result<(), Reason> {
    if holds_small(
        &node.memory,
        BodyOwner::Peer,
        &mut call.body,
        call.body_length,
    ) {
        return Ok(());
    }
    // Boxed, so that a call with a small body has no room for it.
    Box::pin(complete_large_call(node, connection, call, awaited)).await
}

async fn complete_large_call(
    node: &Node,
    connection: &Connection,
    call: &mut Call,
    awaited: &Awaited,
) -> Result<(), Reason> {
    let began = Instant::now();
    let deadline = began + Duration::from_micros(call.time_left_us);
    let need = BodyNeed {
        owner: BodyOwner::Peer,
        class_rank: class_rank_of(call),
        refuse_at: wait_limit(began, deadline),
    };
    let in_frame = std::mem::take(&mut call.body);
    let left_out_bytes = std::mem::take(&mut call.body_length);
    let completing = complete(
        &node.memory,
        connection,
        &need,
        call.call_id,
        in_frame,
        left_out_bytes,
    );
    let completed = tokio::select! {
        biased;
        completed = completing => completed,
        () = awaited.cancelled() => return Err(Reason::Cancelled),
        () = tokio::time::sleep_until(deadline.into()) => return Err(Reason::DeadlineTooShort),
    };
    call.body = completed.map_err(|incomplete| match incomplete {
        Incomplete::NoMemory(refusal) => {
            log_body_refused(node, &call.request_id, need.owner, &refusal);
            Reason::MemoryFull
        }
        Incomplete::LinkLost => Reason::LinkLost,
    })?;
    if left_out_bytes > 0 {
        take_off_time(call, began.elapsed());
    }
    Ok(())
}

/// Completes an answer that has arrived, within its call's deadline. `None` if the connection is
/// lost before, or if there is no memory until then.
pub(super) async fn complete_answer(
    memory: &BodyMemory,
    connection: &Connection,
    mut answer: Answer,
    deadline: Instant,
) -> Option<Answer> {
    if holds_small(
        memory,
        BodyOwner::Answer,
        &mut answer.body,
        answer.body_length,
    ) {
        return Some(answer);
    }
    Box::pin(complete_large_answer(memory, connection, answer, deadline)).await
}

async fn complete_large_answer(
    memory: &BodyMemory,
    connection: &Connection,
    mut answer: Answer,
    deadline: Instant,
) -> Option<Answer> {
    let need = BodyNeed {
        owner: BodyOwner::Answer,
        class_rank: ClassRank::default(),
        refuse_at: deadline,
    };
    let in_frame = std::mem::take(&mut answer.body);
    let left_out_bytes = std::mem::take(&mut answer.body_length);
    let completing = complete(
        memory,
        connection,
        &need,
        answer.call_id,
        in_frame,
        left_out_bytes,
    );
    let completed = tokio::time::timeout_at(deadline.into(), completing).await;
    answer.body = completed.ok()?.ok()?;
    Some(answer)
}

/// Takes memory for a body if all of it is in its frame and the share for small ones has room;
/// returns whether it has.
fn holds_small(
    memory: &BodyMemory,
    owner: BodyOwner,
    body: &mut Bytes,
    left_out_bytes: u64,
) -> bool {
    if left_out_bytes > 0 {
        return false;
    }
    if body.is_empty() {
        return true;
    }
    let reserved = memory.reserve_small(owner, body.len());
    let holds = reserved.map(|held| *body = track(std::mem::take(body), held));
    holds.is_some()
}

/// Returns a body once there is memory for it: that of its frame, or the one that was left out.
async fn complete(
    memory: &BodyMemory,
    connection: &Connection,
    need: &BodyNeed,
    call_id: CallId,
    in_frame: Bytes,
    left_out_bytes: u64,
) -> Result<Bytes, Incomplete> {
    let left_out_bytes = usize::try_from(left_out_bytes).unwrap_or(usize::MAX);
    let length_bytes = in_frame.len().saturating_add(left_out_bytes);
    let reserved = memory.reserve(need, length_bytes).await;
    let held = reserved.map_err(Incomplete::NoMemory)?;
    if left_out_bytes == 0 {
        return Ok(track(in_frame, held));
    }
    let fetched = fetch(connection, call_id, held).await;
    fetched.ok_or(Incomplete::LinkLost)
}
