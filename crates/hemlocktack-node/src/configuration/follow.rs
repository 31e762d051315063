//! The task that owns the active configuration. It queries the platform and peers, and
//! activates newer generations.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{
    ConfigurationAction, ConfigurationSettings, ConfigurationState, PeerView, watches_platform,
};
use hemlocktack_platform::{ConfigurationSnapshot, ConfigurationStore, Error, Revision};
use hemlocktack_protocol::{
    ConfigurationDocument, ConfigurationPull, Generation, Member, NodeState, frame,
};
use hemlocktack_telemetry::{Event as LogEvent, log_event};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::interfaces;
use crate::node::{Node, NodeLocation};
use crate::run::Result;

const TICK_PERIOD: Duration = Duration::from_millis(100);
const WATCH_WAIT: Duration = Duration::from_secs(20);
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
    PlatformAnswered(ConfigurationSnapshot),
    RevisionGone,
    PlatformFailed,
    PeerAnswered {
        node_id: String,
        document: ConfigurationDocument,
    },
    PeerFailed {
        node_id: String,
    },
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
        store: Arc::new(ConfigurationStore::new(node.platform.clone())),
        parse_error: String::new(),
        revision: 0,
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
    revision: Revision,
    rng: StdRng,
}

impl Follower {
    async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let node = self.node.clone();
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.handle(event),
                _ = ticks.tick() => {
                    let view = self.peer_view();
                    let actions = self.state.tick(Instant::now(), &view, &mut self.rng);
                    self.perform(actions);
                }
                () = node.signals.stopped.cancelled() => return,
            }
        }
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
            Event::PlatformAnswered(seen) => self.platform_answered(now, seen),
            Event::RevisionGone => {
                self.state.revision_gone(now);
                self.state.tick(now, &self.peer_view(), &mut self.rng)
            }
            Event::PlatformFailed => {
                self.state.platform_failed(now, &mut self.rng);
                Vec::new()
            }
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

    fn platform_answered(
        &mut self,
        now: Instant,
        snapshot: ConfigurationSnapshot,
    ) -> Vec<ConfigurationAction> {
        // May be lower than before if the store lost its newest writes; it is correct then, too.
        self.revision = snapshot.revision;
        let document = snapshot.stored.map(|stored| stored.configuration);
        if let Some(document) = &document {
            self.record_parse_error(document);
            self.log_received(document, "store");
        }
        self.node.store_access.answered(self.revision);
        let view = self.peer_view();
        self.state
            .platform_answered(now, document, &view, &mut self.rng)
    }

    /// Logs a document that is newer than the active one. `source` is the store or the node that
    /// it came from.
    fn log_received(&self, document: &ConfigurationDocument, source: &str) {
        let generation = document.generation;
        if generation <= self.state.generation() {
            return;
        }
        let revision = self.revision;
        log_event!(
            LogEvent::ConfigurationReceived,
            generation,
            source,
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

    fn read_platform(&self, wait: bool) {
        let (node, store, revision) = (self.node.clone(), self.store.clone(), self.revision);
        tokio::spawn(async move {
            let answer = match wait {
                true => store.watch_newer(revision, WATCH_WAIT).await,
                false => store.read_with_revision().await,
            };
            if let Err(error) = &answer {
                log_failed_read(&node, wait, revision, error);
            }
            let seen = answer.as_ref().ok();
            if let Some(place) = seen.and_then(|seen| seen.first_unreadable.as_ref()) {
                log_unreadable(&node, &format!("{place}: an entry that cannot be read"));
            }
            let event = match answer {
                Ok(seen) => Event::PlatformAnswered(seen),
                Err(Error::RevisionGone) => Event::RevisionGone,
                Err(Error::Malformed { detail, .. }) => {
                    log_unreadable(&node, &detail);
                    Event::PlatformFailed
                }
                Err(_) => Event::PlatformFailed,
            };
            node.send_configuration_event(event);
        });
    }

    fn pull(&self, node_id: String, above: Generation) {
        let (node, deadline) = (self.node.clone(), Instant::now() + self.pull_timeout);
        tokio::spawn(async move {
            let event = match pull_from_peer(&node, &node_id, above, deadline).await {
                Some(document) => Event::PeerAnswered { node_id, document },
                None => Event::PeerFailed { node_id },
            };
            node.send_configuration_event(event);
        });
    }

    fn peer_view(&self) -> PeerView {
        let view = self.members_view();
        if self.node.store_access.set_watching(view.is_watcher) {
            let (is_watching, revision) = (view.is_watcher, self.revision);
            log_event!(LogEvent::StoreWatchChanged, is_watching, revision);
        }
        view
    }

    fn members_view(&self) -> PeerView {
        let members = self.node.members();
        let own_id = &*self.node.identity.node_id;
        let others = || members.iter().filter(|member| member.node_id != own_id);
        let is_ready = |member: &&Member| member.state() == NodeState::Ready;
        let is_local = |member: &&Member| *member.data_centre == *self.node.settings.data_centre;
        let may_watch =
            |member: &&Member| matches!(member.state(), NodeState::Ready | NodeState::Starting);
        let local = others().filter(is_local).filter(may_watch);
        // Only a starting node queries peers that have not announced a generation.
        let is_starting = !self.state.is_caught_up();
        let ready = others().filter(is_ready).filter(|_| is_starting);
        PeerView {
            ready: ready.map(|member| member.node_id.clone()).collect(),
            is_watcher: watches_platform(
                own_id,
                local.map(|member| member.node_id.as_str()),
                self.watchers,
            ),
        }
    }
}

fn log_failed_read(node: &Node, is_watch: bool, revision: Revision, error: &Error) {
    node.store_access.failed();
    let Some(count) = node.store_read_failures.record() else {
        return;
    };
    log_event!(
        LogEvent::StoreReadFailed,
        is_watch,
        revision,
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
