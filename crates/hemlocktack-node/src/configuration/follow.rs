//! The task that owns the active configuration. It queries the platform and peers, and
//! activates newer generations.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{
    ConfigurationAction, ConfigurationSettings, ConfigurationState, PeerView, StoreCandidate,
    StoreContactView, store_watchers,
};
use hemlocktack_platform::{
    ConfigurationSnapshot, ConfigurationStore, Error, SeenEra, StoreRevision,
};
use hemlocktack_protocol::{
    ConfigurationDocument, ConfigurationPull, Generation, Member, NodeState, StoreContact, frame,
};
use hemlocktack_telemetry::{Event as LogEvent, log_event};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::MissedTickBehavior;

use super::store_access::{self, StoreCall, StoreCallKind};
use crate::interfaces;
use crate::node::{Node, NodeLocation};
use crate::run::Result;

const TICK_PERIOD: Duration = Duration::from_millis(100);
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Shortest time for which a watch is left alone. Limits the calls while other objects change all
/// the time, and leaves time for an answer that is on its way.
const MIN_WATCH_TIME: Duration = Duration::from_secs(1);
/// Backoff after failed requests. Only the two watchers of a data centre and starting nodes
/// send them, so a short limit costs the platform little, and a change becomes active soon
/// after an outage.
const BACKOFF_BASE: Duration = Duration::from_millis(200);
const BACKOFF_LIMIT: Duration = Duration::from_secs(1);

/// Events for the task, from other parts of the node and from its own requests.
pub(crate) enum Event {
    /// A peer reports its active generation.
    PeerGeneration {
        node_id: String,
        generation: Generation,
    },
    /// Another part of this node has a document: an operator's change that was stored through it, or
    /// one that came with a proof of freshness.
    DocumentFound(ConfigurationDocument),
    /// End of one of the task's calls to the platform.
    PlatformCallEnded {
        call: CallNumber,
        end: CallEnd,
    },
    PeerAnswered {
        node_id: String,
        document: ConfigurationDocument,
    },
    PeerFailed {
        node_id: String,
    },
}

/// Number of a call to the platform.
pub(crate) type CallNumber = u64;

/// How a call to the platform ended.
pub(crate) enum CallEnd {
    Answered(ConfigurationSnapshot),
    RevisionGone,
    Failed,
}

/// A read that is outstanding for longer when the store's era changes is repeated.
const READ_PATIENCE: Duration = Duration::from_millis(500);

/// The last call to the platform.
struct PlatformCall {
    number: CallNumber,
    is_watch: bool,
    started: Instant,
    task: AbortHandle,
}

/// Starts the task; the node becomes ready once its configuration has caught up.
pub(crate) fn start(node: &Arc<Node>) -> Result<()> {
    let Some(events) = node.take_configuration_events() else {
        return Ok(());
    };
    let settings = ConfigurationSettings {
        can_read: interfaces::can_read(node.settings.interface),
        backoff_base: BACKOFF_BASE,
        backoff_limit: BACKOFF_LIMIT,
        ..ConfigurationSettings::default()
    };
    let follower = Follower {
        watchers: settings.watchers_per_data_centre,
        pull_timeout: settings.pull_timeout,
        state: ConfigurationState::new(settings, Instant::now()),
        store: Arc::new(ConfigurationStore::new(node.store_access.client.clone())),
        parse_error: String::new(),
        revision: StoreRevision::default(),
        call: None,
        next_call: 0,
        first_valid_call: 0,
        seen_era: node.platform.eras().seen(),
        rng: StdRng::seed_from_u64(rand::random()),
        node: node.clone(),
    };
    tokio::spawn(follower.run(events));
    Ok(())
}

struct Follower {
    node: Arc<Node>,
    store: Arc<ConfigurationStore>,
    state: ConfigurationState,
    watchers: usize,
    pull_timeout: Duration,
    /// Error of the last document that could not be parsed.
    parse_error: String,
    /// Revision from which to watch, as of the platform's last answer.
    revision: StoreRevision,
    call: Option<PlatformCall>,
    next_call: CallNumber,
    /// Answers to earlier calls are of an era before; only their documents count.
    first_valid_call: CallNumber,
    /// What the answers to all calls of this node said of the store's era.
    seen_era: SeenEra,
    rng: StdRng,
}

impl Follower {
    async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let node = self.node.clone();
        let mut eras = node.platform.eras().subscribe();
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.handle(event),
                Ok(()) = eras.changed() => {
                    let seen = *eras.borrow_and_update();
                    self.era_changed(seen);
                }
                _ = ticks.tick() => {
                    let view = self.peer_view();
                    let actions = self.state.tick(Instant::now(), &view, &mut self.rng);
                    self.perform(actions);
                    self.check_store(view.is_watcher);
                    self.renew_doubtful_watch();
                }
                () = node.signals.stopped.cancelled() => return,
            }
        }
    }

    fn era_changed(&mut self, seen: SeenEra) {
        let is_doubtful = seen.doubtful_changes > self.seen_era.doubtful_changes;
        let era_before = self.seen_era.era;
        self.seen_era = seen;
        store_access::record_other_answer(&self.node);
        self.read_in_new_era();
        if !is_doubtful {
            return;
        }
        if let Some(count) = self.node.doubtful_eras.record() {
            let era = seen.era;
            log_event!(LogEvent::StoreEraDoubtful, era, era_before, count);
        }
    }

    /// Reads the configuration in the era that an answer to any call of this node has named.
    ///
    /// A watch may wait on a connection that the store has forgotten, so it is given up. A read
    /// that has just begun is answered in the new era, or compared with it when it is answered.
    fn read_in_new_era(&mut self) {
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

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        let actions = match event {
            Event::PeerGeneration {
                node_id,
                generation,
            } => {
                self.state.peer_announced(&node_id, generation);
                self.state.tick(now, &self.peer_view(), &mut self.rng)
            }
            Event::DocumentFound(document) => {
                self.record_parse_error(&document);
                self.log_received(&document, "this-node");
                self.state.stored_locally(document)
            }
            Event::PlatformCallEnded { call, end } => self.platform_call_ended(now, call, end),
            Event::PeerAnswered { node_id, document } => {
                let generation = document.generation;
                self.record_parse_error(&document);
                self.log_received(&document, &node_id);
                let document = (!document.document.is_empty()).then_some(document);
                self.state
                    .peer_answered(now, &node_id, generation, document)
            }
            Event::PeerFailed { node_id } => {
                self.state.peer_failed(now, &node_id, &mut self.rng);
                Vec::new()
            }
        };
        self.perform(actions);
    }

    fn platform_call_ended(
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

    /// Logs a document that is newer than the active one. `source` is the store or the node that
    /// it came from.
    fn log_received(&self, document: &ConfigurationDocument, source: &str) {
        let generation = document.generation;
        if generation <= self.state.generation() {
            return;
        }
        let (era, revision) = (self.revision.era, self.revision.number);
        log_event!(
            LogEvent::ConfigurationReceived,
            generation,
            source,
            era,
            revision
        );
    }

    /// Remembers the error of a document that cannot be parsed, for the log line about it.
    fn record_parse_error(&mut self, document: &ConfigurationDocument) {
        if document.document.is_empty() {
            return;
        }
        if let Err(fault) = self.node.read_configuration(&document.document) {
            self.parse_error = fault;
        }
    }

    fn perform(&mut self, actions: Vec<ConfigurationAction>) {
        for action in actions {
            match action {
                ConfigurationAction::ReadPlatform { wait, .. } => self.read_platform(wait),
                ConfigurationAction::Pull { node_id, above } => self.pull(node_id, above),
                ConfigurationAction::Install { document } => {
                    self.node.install_configuration(document);
                    self.node.signals.own_record_changed.notify_one();
                }
                ConfigurationAction::ReportUnreadable { generation } => {
                    let fault = std::mem::take(&mut self.parse_error);
                    log_event!(LogEvent::ConfigurationUnreadable, generation, fault);
                }
                ConfigurationAction::CaughtUp => {
                    log_event!(LogEvent::NodeReady);
                    self.node
                        .update_lifecycle(|lifecycle, _| lifecycle.configuration_caught_up());
                }
            }
        }
    }

    /// Judges the access to the store, and ends a watch of a store that refuses this node: it would
    /// be held open for its whole timeout, and a read must follow once the store answers.
    fn check_store(&mut self, is_watcher: bool) {
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
    fn renew_doubtful_watch(&mut self) {
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

    fn contact_view(&self, is_watcher: bool) -> StoreContactView {
        let members = self.node.members();
        let local = || local_followers(&self.node, &members);
        let is_served = |member: &&Member| member.store_contact() == StoreContact::Served;
        StoreContactView {
            is_active: is_watcher || self.node.store_access.is_source(),
            local_nodes: local().count() + 1,
            are_others_served: local().filter(is_served).count() >= self.watchers,
        }
    }

    fn read_platform(&mut self, wait: bool) {
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

    fn pull(&self, node_id: String, above: Generation) {
        let (node, deadline) = (self.node.clone(), Instant::now() + self.pull_timeout);
        tokio::spawn(async move {
            let event = match pull_from_peer(&node, &node_id, above, deadline).await {
                Some(document) => Event::PeerAnswered { node_id, document },
                None => Event::PeerFailed { node_id },
            };
            node.send_configuration_event(event).await;
        });
    }

    fn peer_view(&self) -> PeerView {
        let view = self.members_view();
        if self.node.store_access.set_watching(view.is_watcher) {
            let is_watching = view.is_watcher;
            let (era, revision) = (self.revision.era, self.revision.number);
            let members = self.node.members();
            let is_refused = |member: &&Member| member.store_contact() == StoreContact::Refused;
            let others_refused = local_followers(&self.node, &members).filter(is_refused);
            log_event!(
                LogEvent::StoreWatchChanged,
                is_watching,
                era,
                revision,
                others_refused = others_refused.count()
            );
        }
        view
    }

    fn members_view(&self) -> PeerView {
        let members = self.node.members();
        let own_id = &*self.node.identity.node_id;
        let others = || members.iter().filter(|member| member.node_id != own_id);
        let is_ready = |member: &&Member| member.state() == NodeState::Ready;
        let local = local_followers(&self.node, &members).map(candidate);
        let own = StoreCandidate {
            node_id: own_id,
            contact: self.node.store_access.contact(),
        };
        let watchers = store_watchers(local.chain([own]), self.watchers);
        // Only a starting node queries peers that have not announced a generation.
        let is_starting = !self.state.is_caught_up();
        let ready = others().filter(is_ready).filter(|_| is_starting);
        PeerView {
            ready: ready.map(|member| member.node_id.clone()).collect(),
            is_watcher: watchers.contains(&own_id),
        }
    }
}

/// Returns the other live nodes of the data centre that follow the configuration.
fn local_followers<'a>(node: &Node, members: &'a [Member]) -> impl Iterator<Item = &'a Member> {
    let (own_id, data_centre) = (&*node.identity.node_id, &*node.settings.data_centre);
    members.iter().filter(move |member| {
        let follows = matches!(member.state(), NodeState::Ready | NodeState::Starting);
        follows && member.node_id != own_id && member.data_centre == data_centre
    })
}

/// Returns a member as a candidate for calls to the store.
pub(crate) fn candidate(member: &Member) -> StoreCandidate<'_> {
    StoreCandidate {
        node_id: &member.node_id,
        contact: member.store_contact(),
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

/// Pulls the active document of another node, if it is newer, and its proof of freshness.
pub(crate) async fn pull_from_peer(
    node: &Node,
    node_id: &str,
    above: Generation,
    deadline: Instant,
) -> Option<ConfigurationDocument> {
    let members = node.members();
    let member = members.iter().find(|member| member.node_id == node_id)?;
    let NodeLocation::Remote(peer) = node.locate(member)? else {
        return None;
    };
    let query = |query_id| {
        frame::Body::ConfigurationPull(ConfigurationPull {
            generation_in_force: above,
            query_id,
        })
    };
    match node.links.query(&peer, deadline, query).await? {
        frame::Body::Configuration(document) => Some(document),
        _ => None,
    }
}
