//! Calls to other nodes and what became of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_protocol::{
    Answer, Call, CallId, CallProgress, CallPurpose, CancelCall, Incarnation, NodeId, Reason,
    ResolveCall, frame,
};
use tokio::sync::mpsc;

use super::connection::Connection;
use super::dial::Link;
use super::pending::{CallEvent, EVENTS_A_CALL, PendingCall};
use crate::telemetry::LogThrottle;

/// A link that broke by itself is back within a few of these waits. A peer that
/// was killed never is, and its callers must not wait for that: an idempotent
/// call goes elsewhere then, and a ticket is sent to its home again.
const ASK_AGAIN_LIMIT: Duration = Duration::from_secs(1);
/// The same for an idempotent call, which another node may run at once: a link
/// that broke by itself is back within a few milliseconds in a region.
const ASK_AGAIN_LIMIT_IDEMPOTENT: Duration = Duration::from_millis(150);
/// Wait between two attempts to reach a peer that has calls of ours pending.
const REDIAL_PAUSE: Duration = Duration::from_millis(50);

/// Where a node is reached and which start of it is meant.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) node_id: NodeId,
    pub(crate) link_address: SocketAddr,
}

/// How one send to another node ended.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    Answer(Answer),
    /// No byte left, or the receiver has fenced the call: it will never run.
    NeverArrived(Reason),
    Unknown(Reason),
}

/// A call that waits for its end.
struct Wait<'a> {
    link: &'a Link,
    call_id: CallId,
    deadline: Instant,
    ask_again_limit: Duration,
}

/// How long a lost peer is tried before the call's end counts as unknown.
fn ask_again_limit(purpose: CallPurpose) -> Duration {
    match purpose {
        CallPurpose::Placed => ASK_AGAIN_LIMIT_IDEMPOTENT,
        _ => ASK_AGAIN_LIMIT,
    }
}

/// All outgoing links of a node.
pub(crate) struct Links {
    pub(super) own: NodeIncarnation,
    pub(super) keys: FleetKeys,
    links: ArcSwap<HashMap<NodeId, Arc<Link>>>,
    next_call_id: AtomicU64,
    pub(super) next_query_id: AtomicU64,
    pub(super) queries: super::queries::PendingQueries,
    pub(super) address_mismatches: LogThrottle,
}

impl Links {
    pub(crate) fn new(own: NodeIncarnation, keys: FleetKeys) -> Self {
        Self {
            own,
            keys,
            links: ArcSwap::default(),
            next_call_id: AtomicU64::new(1),
            next_query_id: AtomicU64::new(1),
            queries: super::queries::PendingQueries::default(),
            address_mismatches: LogThrottle::default(),
        }
    }

    /// Sends one call and stays with it until its end is known or `deadline`.
    ///
    /// The call id is drawn when the frame gets its place on the link: unique in
    /// this incarnation, never reused, and rising on each link. One that was
    /// drawn before a wait for room could arrive after so many later ones that
    /// the receiver takes it for a call of long ago.
    pub(crate) async fn call(&self, peer: &Peer, mut call: Call, deadline: Instant) -> SendOutcome {
        let link = self.link(peer);
        let Some(connection) = self.connect(&link, deadline).await else {
            return SendOutcome::NeverArrived(Reason::LinkLost);
        };
        let (events, receiver) = mpsc::channel(EVENTS_A_CALL);
        let ask_again_limit = ask_again_limit(call.purpose());
        let mut pending = None;
        let sending = connection.send_built(|| {
            call.call_id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
            pending = Some(PendingCall::register(&link.pending, call.call_id, events));
            frame::Body::Call(call)
        });
        // A peer that is frozen reads nothing, so the wait for room has to end too.
        match tokio::time::timeout_at(deadline.into(), sending).await {
            Ok(true) => {}
            Ok(false) => return SendOutcome::NeverArrived(Reason::LinkLost),
            Err(_) => return SendOutcome::NeverArrived(Reason::Timeout),
        }
        let Some(pending) = pending else {
            return SendOutcome::NeverArrived(Reason::LinkLost);
        };
        let wait = Wait {
            link: &link,
            call_id: pending.call_id,
            deadline,
            ask_again_limit,
        };
        self.stay_with(wait, connection, receiver).await
    }

    async fn stay_with(
        &self,
        wait: Wait<'_>,
        mut connection: Connection,
        mut events: mpsc::Receiver<CallEvent>,
    ) -> SendOutcome {
        let incarnation = connection.peer_incarnation;
        let mut leaving = CancelOnLeaving::new(wait.call_id, &connection);
        let mut sent = Instant::now();
        loop {
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(CallEvent::Answer(answer)) => {
                        leaving.stay();
                        return SendOutcome::Answer(answer);
                    }
                    Some(CallEvent::Resolution(progress)) => {
                        if let Some(sent) = settled(progress) {
                            leaving.stay();
                            return sent;
                        }
                    }
                    None => return SendOutcome::Unknown(Reason::LinkLost),
                },
                // What else waits on it learns of the loss by its close.
                () = connection.lost(sent) => connection.close(),
                () = connection.closed() => {
                    match self.ask_again(&wait, incarnation).await {
                        Ok(next) => {
                            leaving.follow(&next);
                            connection = next;
                            sent = Instant::now();
                        }
                        Err(reason) => return SendOutcome::Unknown(reason),
                    }
                }
                () = tokio::time::sleep_until(wait.deadline.into()) => {
                    return SendOutcome::Unknown(Reason::Timeout);
                }
            }
        }
    }

    /// Asks the same incarnation, over a new connection, what became of a call.
    ///
    /// Failure: a link that breaks leaves the caller not knowing whether the
    /// call arrived. Symptom: a booking is either lost or sent twice. The same
    /// incarnation knows exactly, and fences the call before it says that it
    /// never arrived; another incarnation cannot know.
    async fn ask_again(
        &self,
        wait: &Wait<'_>,
        incarnation: Incarnation,
    ) -> Result<Connection, Reason> {
        let call_id = wait.call_id;
        let limit = wait.deadline.min(Instant::now() + wait.ask_again_limit);
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
        let link = Arc::new(Link::new(peer));
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

/// Tells the receiver that nobody waits for a call any more, unless its end is
/// known.
///
/// Failure: a caller hangs up, its request goes on in a queue and an upstream
/// elsewhere, and the work is for nobody. The wait for a call ends with its
/// caller, so what is dropped with it reaches the receiver one way later.
struct CancelOnLeaving {
    call_id: CallId,
    connection: Option<Connection>,
}

impl CancelOnLeaving {
    fn new(call_id: CallId, connection: &Connection) -> Self {
        Self {
            call_id,
            connection: Some(connection.clone()),
        }
    }

    fn follow(&mut self, connection: &Connection) {
        self.connection = Some(connection.clone());
    }

    fn stay(&mut self) {
        self.connection = None;
    }
}

impl Drop for CancelOnLeaving {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            let call_id = self.call_id;
            connection.send_if_room(frame::Body::Cancel(CancelCall { call_id }));
        }
    }
}

fn settled(progress: CallProgress) -> Option<SendOutcome> {
    match progress {
        CallProgress::NeverArrived => Some(SendOutcome::NeverArrived(Reason::Fenced)),
        CallProgress::Forgotten | CallProgress::Unspecified => {
            Some(SendOutcome::Unknown(Reason::AnswerNotKept))
        }
        CallProgress::Running | CallProgress::Finished => None,
    }
}
