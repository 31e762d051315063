//! Calls to other nodes and their outcomes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::Fuse;
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_protocol::{
    Answer, Call, CallId, CallProgress, CallPurpose, Incarnation, NodeId, Reason, ResolveCall,
    frame, whole_micros,
};
use tokio::sync::{Notify, mpsc};

use super::bodies::{complete_answer, leave_out, send_call_body};
use super::call_times::take_off_time;
use super::connection::Connection;
use super::dial::Link;
use super::pending::{CallEvent, EVENTS_PER_CALL};
use crate::calls::SendProgress;
use crate::memory::BodyMemory;
use crate::telemetry::LogThrottle;

/// How long a lost peer is queried for a call. A link that broke for a transient reason is back
/// within a few redial pauses. A killed peer never is, and callers must not wait for it: an
/// idempotent call then goes to another node, and a ticket is sent to its home again.
const RESOLVE_LIMIT: Duration = Duration::from_secs(1);
/// The same for an idempotent call, which another node may run immediately. A link that broke for a
/// transient reason is back within a few milliseconds in a region.
const RESOLVE_LIMIT_IDEMPOTENT: Duration = Duration::from_millis(150);
/// The same for a call that is not idempotent and has no ticket. Its caller cannot repeat it without
/// knowing its end, and gains nothing by an early `unknown`. A receiver that was frozen or cut off
/// for a second or two can still report that the call did not run, or its answer.
const RESOLVE_LIMIT_ONCE: Duration = Duration::from_secs(3);
/// Pause between attempts to reach a peer with pending calls.
pub(super) const REDIAL_PAUSE: Duration = Duration::from_millis(50);

/// A node and the address of its link port.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) node_id: NodeId,
    pub(crate) link_address: SocketAddr,
}

/// How one send to another node ended.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    Answer(Answer),
    /// No byte was sent, or the receiver has fenced the call: it will never run.
    NeverArrived(Reason),
    Unknown(Reason),
}

/// A call that waits for its outcome.
struct PendingOutcome<'a> {
    link: &'a Link,
    call_id: CallId,
    deadline: Instant,
    resolve_limit: Duration,
    progress: &'a SendProgress,
    /// Body that was left out of the call.
    body: Option<Bytes>,
}

/// Returns how long a lost peer is retried before the call's outcome counts as unknown.
fn resolve_limit(purpose: CallPurpose) -> Duration {
    match purpose {
        CallPurpose::Placed => RESOLVE_LIMIT_IDEMPOTENT,
        CallPurpose::PlacedOnce => RESOLVE_LIMIT_ONCE,
        _ => RESOLVE_LIMIT,
    }
}

/// All outgoing links of a node.
pub(crate) struct Links {
    pub(super) own: NodeIncarnation,
    pub(super) keys: FleetKeys,
    pub(super) memory: BodyMemory,
    pub(super) links: ArcSwap<HashMap<NodeId, Arc<Link>>>,
    pub(super) cancellations_waiting: Arc<Notify>,
    next_call_id: AtomicU64,
    pub(super) next_query_id: AtomicU64,
    pub(super) queries: super::queries::PendingQueries,
    pub(super) address_mismatches: LogThrottle,
}

impl Links {
    pub(crate) fn new(own: NodeIncarnation, keys: FleetKeys, memory: BodyMemory) -> Self {
        Self {
            own,
            keys,
            memory,
            links: ArcSwap::default(),
            cancellations_waiting: Arc::default(),
            next_call_id: AtomicU64::new(1),
            next_query_id: AtomicU64::new(1),
            queries: super::queries::PendingQueries::default(),
            address_mismatches: LogThrottle::default(),
        }
    }

    /// Sends one call and waits for its outcome until `deadline`.
    ///
    /// The call id is assigned when the frame gets its position on the link. Ids are unique within
    /// this incarnation, never reused, and increase on each link. An id assigned before a wait for
    /// room could arrive after so many later ones that the receiver takes it for a call from long
    /// ago.
    ///
    /// The times left in the call are those of its frame: opening the link may take long, and a
    /// receiver that counts from its arrival would report its end only after the deadline.
    pub(crate) async fn call(
        &self,
        peer: &Peer,
        mut call: Call,
        deadline: Instant,
        progress: &SendProgress,
    ) -> SendOutcome {
        let began = Instant::now();
        let link = self.link(peer);
        let Some(connection) = self.connect(&link, deadline).await else {
            return SendOutcome::NeverArrived(Reason::LinkLost);
        };
        let (events, receiver) = mpsc::channel(EVENTS_PER_CALL);
        let body = leave_out(&connection, &mut call.body);
        call.body_length = body.as_ref().map_or(0, |body| body.len() as u64);
        let is_whole = body.is_none();
        let resolve_limit = resolve_limit(call.purpose());
        let mut pending = None;
        let sending = connection.send_built(|| {
            call.call_id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
            call.queued_at_us = whole_micros(connection.age());
            take_off_time(&mut call, began.elapsed());
            if is_whole {
                // Always allowed here: a send is abandoned only after this future has been dropped.
                progress.try_mark_sent();
            }
            // A late answer is discarded once this is dropped.
            pending = Some(link.pending.register(call.call_id, events));
            frame::Body::Call(call)
        });
        // A hung peer reads nothing, so the wait for room needs a timeout too.
        match tokio::time::timeout_at(deadline.into(), sending).await {
            Ok(true) => {}
            Ok(false) => return SendOutcome::NeverArrived(Reason::LinkLost),
            Err(_) => return SendOutcome::NeverArrived(Reason::Timeout),
        }
        let Some(pending) = pending else {
            return SendOutcome::NeverArrived(Reason::LinkLost);
        };
        let wait = PendingOutcome {
            link: &link,
            call_id: pending.id,
            deadline,
            resolve_limit,
            progress,
            body,
        };
        self.wait_for_outcome(wait, connection, receiver).await
    }

    async fn wait_for_outcome(
        &self,
        wait: PendingOutcome<'_>,
        mut connection: Connection,
        mut events: mpsc::Receiver<CallEvent>,
    ) -> SendOutcome {
        let incarnation = connection.peer_incarnation;
        let mut cancel_guard = CancelOnDrop::new(&wait, &connection);
        let mut sent = Instant::now();
        // Without all of its body the call never runs.
        let mut is_whole = wait.body.is_none();
        let sending_body = Fuse::terminated();
        tokio::pin!(sending_body);
        // Whether the frame is still in the buffer of the connection that it was sent over.
        let take_back = |connection: &Connection, cancel_guard: &mut CancelOnDrop<'_>| {
            let is_unsent = connection.remove_unsent(wait.call_id);
            if is_unsent {
                wait.progress.mark_unsent();
                cancel_guard.disarm();
            }
            is_unsent
        };
        loop {
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(CallEvent::Answer(answer)) => {
                        let memory = &self.memory;
                        let answer = complete_answer(memory, &connection, answer, wait.deadline);
                        if let Some(answer) = answer.await {
                            cancel_guard.disarm();
                            return SendOutcome::Answer(answer);
                        }
                        if !connection.is_closed() {
                            return SendOutcome::Unknown(Reason::MemoryFull);
                        }
                    }
                    Some(CallEvent::BodyRequested) => {
                        if let Some(body) = &wait.body {
                            let (connection, body) = (connection.clone(), body.clone());
                            let sending =
                                send_call_body(connection, wait.call_id, body, wait.progress);
                            sending_body.set(sending.boxed().fuse());
                        }
                    }
                    Some(CallEvent::Resolution(progress)) => {
                        if let Some(sent) = resolved_outcome(progress) {
                            cancel_guard.disarm();
                            return sent;
                        }
                    }
                    None => return SendOutcome::Unknown(Reason::LinkLost),
                },
                sent = &mut sending_body => is_whole |= sent,
                // Closing it notifies the other calls that wait on this connection.
                () = connection.lost(sent) => connection.close(),
                () = connection.closed() => {
                    if !is_whole {
                        // The receiver ends it too when the connection is lost.
                        cancel_guard.disarm();
                        return SendOutcome::NeverArrived(Reason::LinkLost);
                    }
                    if take_back(&connection, &mut cancel_guard) {
                        return SendOutcome::NeverArrived(Reason::LinkLost);
                    }
                    match self.resolve_after_reconnect(&wait, incarnation).await {
                        Ok(next) => {
                            cancel_guard.set_connection(&next);
                            connection = next;
                            sent = Instant::now();
                        }
                        Err(reason) => return SendOutcome::Unknown(reason),
                    }
                }
                () = tokio::time::sleep_until(wait.deadline.into()) => {
                    return match !is_whole || take_back(&connection, &mut cancel_guard) {
                        true => SendOutcome::NeverArrived(Reason::Timeout),
                        false => SendOutcome::Unknown(Reason::Timeout),
                    };
                }
            }
        }
    }

    /// Asks the same incarnation, over a new connection, for the outcome of a call.
    ///
    /// After a link breaks, the caller does not know whether the call arrived, and a booking could
    /// be lost or made twice. The same incarnation knows the outcome, and fences the call before it
    /// reports that the call never arrived. Another incarnation cannot know.
    async fn resolve_after_reconnect(
        &self,
        wait: &PendingOutcome<'_>,
        incarnation: Incarnation,
    ) -> Result<Connection, Reason> {
        let call_id = wait.call_id;
        let limit = wait.deadline.min(Instant::now() + wait.resolve_limit);
        while Instant::now() < limit {
            let Some(connection) = self.connect(wait.link, limit).await else {
                tokio::time::sleep(REDIAL_PAUSE).await;
                continue;
            };
            if connection.peer_incarnation != incarnation {
                return Err(Reason::HomeGone);
            }
            let asking = connection.send(frame::Body::Resolve(ResolveCall { call_id }));
            if let Ok(true) = tokio::time::timeout_at(limit.into(), asking).await {
                return Ok(connection);
            }
        }
        Err(Reason::LinkLost)
    }

    pub(super) fn link(&self, peer: &Peer) -> Arc<Link> {
        if let Some(link) = self.links.load().get(&peer.node_id) {
            link.set_address(peer.link_address);
            return link.clone();
        }
        let link = Arc::new(Link::new(peer, self.cancellations_waiting.clone()));
        self.links.rcu(|links| {
            let mut links = HashMap::clone(links);
            links
                .entry(peer.node_id.clone())
                .or_insert_with(|| link.clone());
            links
        });
        self.links
            .load()
            .get(&peer.node_id)
            .cloned()
            .unwrap_or(link)
    }
}

/// Cancels a call at its receiver when dropped, unless its outcome is known.
///
/// If a caller disconnects, its request would otherwise go on in a queue and in an upstream of
/// another node although nobody needs the answer. The wait for a call is dropped with its caller,
/// so the cancellation reaches the receiver after one network delay.
struct CancelOnDrop<'a> {
    link: &'a Link,
    call_id: CallId,
    deadline: Instant,
    connection: Option<Connection>,
    progress: &'a SendProgress,
}

impl<'a> CancelOnDrop<'a> {
    fn new(wait: &PendingOutcome<'a>, connection: &Connection) -> Self {
        Self {
            link: wait.link,
            call_id: wait.call_id,
            deadline: wait.deadline,
            connection: Some(connection.clone()),
            progress: wait.progress,
        }
    }

    fn set_connection(&mut self, connection: &Connection) {
        self.connection = Some(connection.clone());
    }

    fn disarm(&mut self) {
        self.connection = None;
    }
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            let cancellations = &self.link.cancellations;
            if cancellations.cancel(self.call_id, &connection, self.deadline) {
                self.progress.mark_unsent();
            }
        }
    }
}

fn resolved_outcome(progress: CallProgress) -> Option<SendOutcome> {
    match progress {
        CallProgress::NeverArrived => Some(SendOutcome::NeverArrived(Reason::Fenced)),
        CallProgress::Forgotten | CallProgress::Unspecified => {
            Some(SendOutcome::Unknown(Reason::AnswerNotKept))
        }
        CallProgress::Running | CallProgress::Finished => None,
    }
}
