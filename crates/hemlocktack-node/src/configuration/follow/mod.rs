//! The task that owns the active configuration. It queries the platform and peers, and
//! activates newer generations.

mod members_view;
mod store_calls;

pub(crate) use members_view::candidate;
pub(crate) use store_calls::{CallEnd, CallNumber};

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{
    ConfigurationAction, ConfigurationSettings, ConfigurationState,
};
use hemlocktack_platform::{ConfigurationStore, SeenEra, StoreRevision};
use hemlocktack_protocol::{ConfigurationDocument, ConfigurationPull, Generation, frame};
use hemlocktack_telemetry::{Event as LogEvent, log_event};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use self::store_calls::PlatformCall;
use super::store_access;
use crate::interfaces;
use crate::node::{Node, NodeLocation};
use crate::run::Result;

const TICK_PERIOD: Duration = Duration::from_millis(100);
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
