//! What this node knows of its access to the platform's store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{StoreContactSettings, StoreContactState, StoreContactView};
use hemlocktack_platform::{Client, Error, StoreRevision};
use hemlocktack_protocol::StoreContact;
use hemlocktack_telemetry::{Event, log_event};

use crate::node::Node;

/// Timeout of a probe. Longer than the silence that counts as a refusal, since a late answer still
/// shows that the store serves this node.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of the reads and watches of the configuration so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreAccessSnapshot {
    pub(crate) is_watching: bool,
    /// When the store last answered; `None` before the first answer.
    pub(crate) answered_at: Option<Instant>,
    /// Revision from which this node would watch next.
    pub(crate) revision: StoreRevision,
    pub(crate) failed_count: u64,
    /// Revision in the answer to the last probe, which may be an outdated one.
    pub(crate) probed: StoreRevision,
}

/// Shared between the tasks that call the store, gossip and the metrics.
#[derive(Debug)]
pub(crate) struct StoreAccess {
    /// Client of the reads and watches of the configuration, and of the probes. Its waits are its
    /// own: a refused publication of this node's record must not delay a read.
    pub(crate) client: Arc<Client>,
    seen: Mutex<StoreAccessSnapshot>,
    contact: Mutex<StoreContactState>,
    /// Whether this node asks the store for the proofs of others.
    is_source: AtomicBool,
}

impl StoreAccess {
    pub(crate) fn new(client: Arc<Client>) -> Self {
        let settings = StoreContactSettings::default();
        Self {
            client,
            seen: Mutex::default(),
            contact: Mutex::new(StoreContactState::new(settings, Instant::now())),
            is_source: AtomicBool::new(false),
        }
    }

    /// Returns whether the store serves this node.
    pub(crate) fn contact(&self) -> StoreContact {
        self.lock_contact().contact()
    }

    /// Sets whether this node asks the store for the proofs of others.
    pub(crate) fn set_source(&self, is_source: bool) {
        self.is_source.store(is_source, Ordering::Relaxed);
    }

    pub(crate) fn is_source(&self) -> bool {
        self.is_source.load(Ordering::Relaxed)
    }

    fn lock_contact(&self) -> MutexGuard<'_, StoreContactState> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current values.
    pub(crate) fn snapshot(&self) -> StoreAccessSnapshot {
        *self.lock()
    }

    /// Sets whether this node watches; returns whether that has changed.
    pub(crate) fn set_watching(&self, is_watching: bool) -> bool {
        let mut seen = self.lock();
        std::mem::replace(&mut seen.is_watching, is_watching) != is_watching
    }

    /// Records an answer of the store.
    pub(crate) fn answered(&self, revision: StoreRevision) {
        let mut seen = self.lock();
        seen.answered_at = Some(Instant::now());
        seen.revision = revision;
    }

    /// Records a read or a watch without a valid answer.
    pub(crate) fn failed(&self) {
        self.lock().failed_count += 1;
    }

    fn lock(&self) -> MutexGuard<'_, StoreAccessSnapshot> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call to the store, whose end shows whether the store serves this node.
pub(crate) struct StoreCall {
    node: Arc<Node>,
    started: Instant,
    kind: StoreCallKind,
}

/// What a call to the store is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCallKind {
    /// The store answers it once there is news.
    Watch,
    Read,
    /// May be answered with old data.
    Probe,
    /// One or several calls for the proof of the configuration's freshness.
    Question,
}

impl StoreCall {
    /// Records the start of a call.
    pub(crate) fn start(node: &Arc<Node>, kind: StoreCallKind) -> Self {
        let started = Instant::now();
        if matches!(kind, StoreCallKind::Read | StoreCallKind::Probe) {
            node.store_access.lock_contact().asked(started);
        }
        StoreCall {
            node: node.clone(),
            started,
            kind,
        }
    }

    /// Records the end of the call.
    pub(crate) fn end(self, error: Option<&Error>) {
        let now = Instant::now();
        update_contact(&self.node, |contact| match error {
            // Not sent at all.
            Some(Error::BudgetSpent { .. }) => {}
            Some(error) if !error.is_answer() => self.failed(contact, now),
            _ if self.kind == StoreCallKind::Probe => contact.probe_answered(now),
            _ => contact.answered(now),
        });
    }
}

impl StoreCall {
    fn failed(&self, contact: &mut StoreContactState, now: Instant) {
        let rng = &mut rand::rng();
        match self.kind {
            StoreCallKind::Watch => contact.watch_failed(now),
            StoreCallKind::Probe => contact.probe_failed(now, self.started, rng),
            StoreCallKind::Read | StoreCallKind::Question => {
                contact.failed(now, self.started, rng);
            }
        }
    }
}

/// Judges the access to the store and starts a probe if one is due; called several times per
/// second.
pub(crate) fn check(node: &Arc<Node>, view: &StoreContactView) {
    let mut is_probe_due = false;
    update_contact(node, |contact| {
        is_probe_due = contact.tick(Instant::now(), view, &mut rand::rng());
    });
    if is_probe_due {
        let node = node.clone();
        tokio::spawn(async move {
            let call = StoreCall::start(&node, StoreCallKind::Probe);
            let answer = node.store_access.client.probe(PROBE_TIMEOUT).await;
            if let Ok(revision) = answer {
                node.store_access.lock().probed = revision;
            }
            call.end(answer.as_ref().err());
        });
    }
}

/// Records that the store has answered a call of another part of this node.
pub(crate) fn record_other_answer(node: &Node) {
    update_contact(node, |contact| contact.probe_answered(Instant::now()));
}

/// Changes the state; other nodes learn at once if the store now serves this node, or refuses it.
fn update_contact(node: &Node, change: impl FnOnce(&mut StoreContactState)) {
    let (before, after) = {
        let mut contact = node.store_access.lock_contact();
        let before = contact.contact();
        change(&mut contact);
        (before, contact.contact())
    };
    if before == after {
        return;
    }
    let contact: &str = after.into();
    log_event!(Event::StoreContactChanged, contact);
    node.signals.own_record_changed.notify_one();
}
