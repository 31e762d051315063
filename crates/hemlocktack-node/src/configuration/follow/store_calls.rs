//! The follower's reads and watches of the platform's store.

use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::ConfigurationAction;
use hemlocktack_platform::{ConfigurationSnapshot, Error, StoreRevision};
use hemlocktack_protocol::StoreContact;
use hemlocktack_telemetry::{Event as LogEvent, log_event};
use tokio::task::AbortHandle;

use super::{Event, Follower};
use crate::configuration::store_access::{self, StoreCall, StoreCallKind};
use crate::node::Node;

const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Shortest time for which a watch is left alone. Limits the calls while other objects change all
/// the time, and leaves time for an answer that is on its way.
const MIN_WATCH_TIME: Duration = Duration::from_secs(1);
/// A read that is outstanding for longer when the store's era changes is repeated.
const READ_PATIENCE: Duration = Duration::from_millis(500);

/// Number of a call to the platform.
pub(crate) type CallNumber = u64;

/// How a call to the platform ended.
pub(crate) enum CallEnd {
    Answered(ConfigurationSnapshot),
    RevisionGone,
    Failed,
}

/// The last call to the platform.
pub(super) struct PlatformCall {
    number: CallNumber,
    is_watch: bool,
    started: Instant,
    task: AbortHandle,
}

impl Follower {
    /// Reads the configuration in the era that an answer to any call of this node has named.
    ///
    /// A watch may wait on a connection that the store has forgotten, so it is given up. A read
    /// that has just begun is answered in the new era, or compared with it when it is answered.
    pub(super) fn read_in_new_era(&mut self) {
        let now = Instant::now();
        let call = self.call.as_ref();
        let outstanding = call.filter(|call| !call.task.is_finished());
        let is_reading = |call: &PlatformCall| {
            !call.is_watch && now.saturating_duration_since(call.started) < READ_PATIENCE
        };
        if outstanding.is_some_and(is_reading) {
            return;
        }
        if let Some(call) = self.call.take() {
            call.task.abort();
            self.first_valid_call = call.number + 1;
        }
        self.state.store_returned(now);
        let actions = self.state.tick(now, &self.peer_view(), &mut self.rng);
        self.perform(actions);
    }

    pub(super) fn platform_call_ended(
        &mut self,
        now: Instant,
        call: CallNumber,
        end: CallEnd,
    ) -> Vec<ConfigurationAction> {
        let is_superseded = call < self.first_valid_call;
        match end {
            CallEnd::Answered(snapshot) if is_superseded => {
                let document = snapshot.stored.map(|stored| stored.configuration);
                document.map_or_else(Vec::new, |document| self.state.stored_locally(document))
            }
            CallEnd::Answered(snapshot) => self.platform_answered(now, snapshot),
            _ if is_superseded || !self.is_last_call(call) => Vec::new(),
            CallEnd::RevisionGone => {
                self.state.revision_gone(now);
                self.state.tick(now, &self.peer_view(), &mut self.rng)
            }
            CallEnd::Failed => {
                self.state.platform_failed(now, &mut self.rng);
                Vec::new()
            }
        }
    }

    /// Returns whether no later call has been sent. The failure of an earlier one, which has counted
    /// as lost by its time, says nothing about the last one.
    fn is_last_call(&self, call: CallNumber) -> bool {
        call + 1 == self.next_call
    }

    fn platform_answered(
        &mut self,
        now: Instant,
        snapshot: ConfigurationSnapshot,
    ) -> Vec<ConfigurationAction> {
        self.log_era(snapshot.revision);
        self.revision = snapshot.revision;
        let document = snapshot.stored.map(|stored| stored.configuration);
        if let Some(document) = &document {
            self.record_parse_error(document);
            self.log_received(document, "store");
        }
        self.node.store_access.answered(self.revision);
        let view = self.peer_view();
        let actions = self
            .state
            .platform_answered(now, document, &view, &mut self.rng);
        if self.revision.era != self.node.platform.eras().seen().era {
            self.state.store_returned(now);
        }
        actions
    }

    /// Logs that the store answers in another era than before.
    fn log_era(&self, revision: StoreRevision) {
        let before = self.revision;
        if before == StoreRevision::default() || before.era == revision.era {
            return;
        }
        log_event!(
            LogEvent::StoreReturned,
            era = revision.era,
            era_before = before.era,
            revision = revision.number,
            revision_before = before.number
        );
    }

    /// Judges the access to the store, and ends a watch of a store that refuses this node: it would
    /// be held open for its whole timeout, and a read must follow once the store answers.
    pub(super) fn check_store(&mut self, is_watcher: bool) {
        let view = self.contact_view(is_watcher);
        store_access::check(&self.node, &view);
        let is_refused = self.node.store_access.contact() == StoreContact::Refused;
        let Some(call) = self.call.take_if(|call| is_refused && call.is_watch) else {
            return;
        };
        if call.task.is_finished() {
            return;
        }
        call.task.abort();
        self.first_valid_call = call.number + 1;
        self.state.platform_failed(Instant::now(), &mut self.rng);
    }

    /// Reads if the store has changed and the watch has not said what has. The change may be another
    /// object's, or the answer may be lost: on a path that is dead in one direction a watch is held
    /// open until its timeout, while other calls are answered.
    pub(super) fn renew_doubtful_watch(&mut self) {
        let probed = self.node.store_access.snapshot().probed;
        let is_newer = probed.era == self.revision.era && probed.number > self.revision.number;
        let is_doubtful = |call: &mut PlatformCall| {
            let is_old = call.started.elapsed() >= MIN_WATCH_TIME;
            is_newer && is_old && call.is_watch && !call.task.is_finished()
        };
        let Some(call) = self.call.take_if(is_doubtful) else {
            return;
        };
        call.task.abort();
        self.first_valid_call = call.number + 1;
        let now = Instant::now();
        self.state.watch_given_up(now);
        let actions = self.state.tick(now, &self.peer_view(), &mut self.rng);
        self.perform(actions);
    }

    pub(super) fn read_platform(&mut self, wait: bool) {
        let (node, store, revision) = (self.node.clone(), self.store.clone(), self.revision);
        let call = self.next_call;
        self.next_call += 1;
        let kind = match wait {
            true => StoreCallKind::Watch,
            false => StoreCallKind::Read,
        };
        let store_call = StoreCall::start(&node, kind);
        let task = tokio::spawn(async move {
            let answer = match wait {
                true => store.watch_newer(revision, WATCH_WAIT).await,
                false => store.read_with_revision().await,
            };
            store_call.end(answer.as_ref().err());
            if let Err(error) = &answer {
                log_failed_read(&node, wait, revision, error);
            }
            let seen = answer.as_ref().ok();
            if let Some(place) = seen.and_then(|seen| seen.first_unreadable.as_ref()) {
                log_unreadable(&node, &format!("{place}: an entry that cannot be read"));
            }
            let end = match answer {
                Ok(seen) => CallEnd::Answered(seen),
                Err(Error::RevisionGone) => CallEnd::RevisionGone,
                Err(Error::Malformed { detail, .. }) => {
                    log_unreadable(&node, &detail);
                    CallEnd::Failed
                }
                Err(_) => CallEnd::Failed,
            };
            node.send_configuration_event(Event::PlatformCallEnded { call, end })
                .await;
        });
        let earlier = self.call.replace(PlatformCall {
            number: call,
            is_watch: wait,
            started: Instant::now(),
            task: task.abort_handle(),
        });
        if let Some(watch) = earlier.filter(|earlier| earlier.is_watch) {
            // One that has timed out must not answer as well: the next call follows each answer.
            watch.task.abort();
            self.first_valid_call = call;
        }
    }
}

fn log_failed_read(node: &Node, is_watch: bool, revision: StoreRevision, error: &Error) {
    node.store_access.failed();
    let Some(count) = node.store_read_failures.record() else {
        return;
    };
    log_event!(
        LogEvent::StoreReadFailed,
        is_watch,
        era = revision.era,
        revision = revision.number,
        %error,
        count
    );
}

fn log_unreadable(node: &Node, detail: &str) {
    if let Some(count) = node.unreadable_answers.record() {
        log_event!(LogEvent::PlatformUnreadable, detail, count);
    }
}
