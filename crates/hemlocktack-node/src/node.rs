//! State that all parts of a node share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use arc_swap::{ArcSwap, ArcSwapOption};
use hemlocktack_config::{ClientLimits, Document};
use hemlocktack_decide::{AdmissionPolicy, ChainEdges, ObjectivePolicy, ShedLevel, WorkKind};
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::drain::{
    self, DrainSettings, Life, LifeAction, Publication, UpstreamSettings,
};
use hemlocktack_fleet::handover::{HandoverLimits, Receiving};
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_interface::Interface;
use hemlocktack_platform::{Client, NodeRecords};
use hemlocktack_protocol::{
    ConfigurationDocument, Generation, Member, NodeState, Succession, UpstreamState,
};
use hemlocktack_telemetry::{Event, Tracer, log_event};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use crate::calls::{AdmissionQueue, ContextTable, Home, ServiceDirectory};
use crate::configuration;
use crate::counters::{CallInFlight, Counters};
use crate::handover;
use crate::interfaces;
use crate::links::{Links, Peer, Senders};
use crate::peers::GossipCounts;
use crate::settings::{InterfaceName, Settings};
use crate::telemetry::{EntryCounts, LineBudget, LogLimit, Waits};
use crate::upstream::{
    Announcement, RENEW_EVERY, RENEWALS_MISSED_MAX, UpstreamClient, UpstreamStarts,
};

/// News of a drain reaches all nodes within this time; until then a draining
/// node is there to refuse what still comes.
pub(crate) const DRAIN_SETTLE: Duration = Duration::from_secs(2);
/// A stopping node takes requests for this long: readiness is asked once a
/// second, and two refusals send callers elsewhere.
const ENTRIES_TAKEN_IN_STOP: Duration = Duration::from_millis(2_800);
/// The same for how long it stays at least.
const SPELLED_DRAIN_SETTLE: Duration = Duration::from_millis(2_500);
/// Largest body read before any configuration is in force.
const BODY_LIMIT_BEFORE_CONFIGURATION_BYTES: usize = 64 << 10;
/// Largest answer passed on for a service that the configuration lacks.
const ANSWER_LIMIT_BEFORE_CONFIGURATION_BYTES: usize = 1 << 20;

/// Connections that an upstream is taken to accept where nobody says.
const CONNECTION_LIMIT_UNSAID: u32 = 1_000;
/// Kept back from the time between the signal to stop and the end by force:
/// to say farewell and to exit.
const EXIT_TIME: Duration = Duration::from_millis(700);
/// An upstream whose announcements are spelled by an interface renews every
/// second or two and may be seconds late; that it is down shows when a
/// connection fails.
const SPELLED_ANNOUNCEMENT_TTL: Duration = Duration::from_secs(10);

/// The configuration that decides about calls now.
pub(crate) struct InForce {
    pub(crate) generation: Generation,
    pub(crate) document: Document,
    /// As it is stored, for nodes that lack it.
    pub(crate) stored: ConfigurationDocument,
}

/// Where a member is reached.
pub(crate) enum Place {
    Here,
    There(Peer),
}

/// One start of one node.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    /// The interface that is spoken instead of the product's own.
    pub(crate) interface: Option<Interface>,
    pub(crate) identity: NodeIncarnation,
    pub(crate) keys: FleetKeys,
    pub(crate) platform: Arc<Client>,
    pub(crate) links: Links,
    pub(crate) senders: Senders,
    pub(crate) contexts: ContextTable,
    pub(crate) upstream_client: UpstreamClient,
    pub(crate) admission_queue: Arc<AdmissionQueue>,
    pub(crate) home: Home,
    pub(crate) services: ServiceDirectory,
    pub(crate) counters: Counters,
    pub(crate) operator_refusals: LogLimit,
    pub(crate) link_refusals: LogLimit,
    /// Log lines about single calls.
    pub(crate) call_lines: LineBudget,
    pub(crate) tracer: Tracer,
    pub(crate) waits: Waits,
    pub(crate) entry_counts: EntryCounts,
    stop_order: Notify,
    stop_began: OnceLock<Instant>,
    receiving: Mutex<Receiving>,
    chain_edges: Mutex<ChainEdges>,
    in_force: ArcSwapOption<InForce>,
    members: ArcSwap<Vec<Member>>,
    /// Gossip addresses to try where nobody else is known.
    pub(crate) seeds: ArcSwap<Vec<SocketAddr>>,
    pub(crate) records: NodeRecords,
    pub(crate) gossip_counts: GossipCounts,
    pub(crate) signals: Signals,
    life: Mutex<Life>,
    publication: ArcSwap<Publication>,
    upstream: ArcSwapOption<Announcement>,
    upstream_starts: Mutex<UpstreamStarts>,
    configuration_events: mpsc::Sender<configuration::Event>,
    configuration_receiver: Mutex<Option<mpsc::Receiver<configuration::Event>>>,
    start_order: u64,
}

/// What the node's own tasks wait for.
#[derive(Default)]
pub(crate) struct Signals {
    /// The own record or the generation in force has changed.
    pub(crate) own_changed: Notify,
    /// Members have been told that this node has left.
    pub(crate) left_told: Notify,
    /// The node has stopped: its tasks end.
    pub(crate) stopped: CancellationToken,
}

/// Events of the configuration that may wait.
const CONFIGURATION_EVENTS_LIMIT: usize = 256;

impl Node {
    pub(crate) fn new(
        settings: Settings,
        keys: FleetKeys,
        platform: Arc<Client>,
        upstream_client: UpstreamClient,
        tracer: Tracer,
    ) -> Self {
        let identity = NodeIncarnation::new(settings.node_id.clone(), rand::random());
        let (configuration_events, receiver) = mpsc::channel(CONFIGURATION_EVENTS_LIMIT);
        let life = Life::new(drain_settings(&settings), Instant::now());
        Self {
            seeds: ArcSwap::from_pointee(settings.seed_peers.clone()),
            records: NodeRecords::new(platform.clone()),
            gossip_counts: GossipCounts::default(),
            signals: Signals::default(),
            publication: ArcSwap::from_pointee(life.publication()),
            life: Mutex::new(life),
            configuration_events,
            configuration_receiver: Mutex::new(Some(receiver)),
            start_order: unix_ms(),
            platform,
            links: Links::new(identity.clone(), keys.clone()),
            home: Home::new(&identity),
            services: ServiceDirectory::new(settings.data_centre.clone()),
            admission_queue: Arc::new(AdmissionQueue::new(admission_policy(&settings))),
            counters: Counters::default(),
            operator_refusals: LogLimit::default(),
            link_refusals: LogLimit::default(),
            call_lines: LineBudget::default(),
            tracer,
            waits: Waits::default(),
            entry_counts: EntryCounts::default(),
            stop_order: Notify::new(),
            stop_began: OnceLock::new(),
            receiving: Mutex::new(Receiving::new(HandoverLimits::default())),
            chain_edges: Mutex::default(),
            interface: interfaces::find(settings.interface),
            identity,
            settings,
            keys,
            senders: Senders::default(),
            contexts: ContextTable::default(),
            upstream_client,
            in_force: ArcSwapOption::empty(),
            members: ArcSwap::default(),
            upstream: ArcSwapOption::empty(),
            upstream_starts: Mutex::default(),
        }
    }

    /// An operator wants this node to drain and stop; once is enough.
    pub(crate) fn order_stop(&self) {
        self.stop_order.notify_one();
    }

    /// Ends when an operator has ordered the stop.
    pub(crate) async fn stop_ordered(&self) {
        self.stop_order.notified().await;
    }

    pub(crate) fn configuration_in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.load_full()
    }

    /// Puts a higher generation in force; a lower or equal one is left aside.
    /// The task that follows the configuration has found that it can be read.
    pub(crate) fn take_configuration(&self, stored: ConfigurationDocument) {
        let document = match self.read_configuration(&stored.document) {
            Ok(document) => document,
            Err(fault) => {
                let generation = stored.generation;
                log_event!(Event::ConfigurationUnreadable, generation, fault);
                return;
            }
        };
        let next = Arc::new(InForce {
            generation: stored.generation,
            document,
            stored,
        });
        let before = self.in_force.rcu(|current| match current {
            Some(current) if current.generation >= next.generation => Some(current.clone()),
            _ => Some(next.clone()),
        });
        if before.is_none_or(|before| before.generation < next.generation) {
            self.configuration_changed(&next);
        }
    }

    fn read_configuration(&self, text: &str) -> std::result::Result<Document, String> {
        match self.interface {
            Some(interface) => (interface.read_configuration)(text),
            None => hemlocktack_config::parse(text).map_err(|error| error.to_string()),
        }
    }

    fn configuration_changed(&self, in_force: &InForce) {
        let generation = in_force.generation;
        log_event!(Event::ConfigurationInForce, generation);
        self.entry_counts.declare(&in_force.document);
        self.take_limits(&in_force.document);
    }

    fn take_limits(&self, document: &Document) {
        let limits = &document.limits;
        self.tracer
            .set_sample_per_million(limits.trace_sample_per_million);
        self.services
            .set_retry_share_percent(limits.retry_share_percent);
        let kept_answers_bytes = usize::try_from(limits.kept_answers_bytes);
        self.home
            .set_kept_answer_bytes(kept_answers_bytes.unwrap_or(usize::MAX));
        if self.settings.stop_grace.is_none() {
            // Covers the most patient caller, which the node's own setting may not.
            let drain_limit = Duration::from_millis(limits.drain_limit_ms);
            self.live(|life, _| {
                life.set_hard_limit(drain_limit);
                Vec::new()
            });
        }
        let refused_for = Duration::from_millis(limits.quarantine_ms);
        let own_service = document.service(&self.settings.service);
        self.admission_queue.with_admission(|admission| {
            admission
                .quarantine()
                .set_limits(limits.quarantine_crashes, refused_for);
            if let Some(service) = own_service {
                admission.set_queue_limit(service.queue_limit_calls);
            }
        });
    }

    /// Classes that the configuration in force declares.
    pub(crate) fn class_count(&self) -> usize {
        let in_force = self.in_force.load();
        in_force
            .as_ref()
            .map_or(0, |in_force| in_force.document.classes.len())
    }

    pub(crate) fn body_limit_bytes(&self, service: &str) -> usize {
        let in_force = self.in_force.load();
        let declared = in_force
            .as_ref()
            .and_then(|in_force| in_force.document.service(service));
        declared.map_or(BODY_LIMIT_BEFORE_CONFIGURATION_BYTES, |service| {
            service.body_limit_bytes
        })
    }

    /// What callers may send and how long they may take.
    pub(crate) fn client_limits(&self) -> ClientLimits {
        let in_force = self.in_force.load();
        let declared = in_force.as_ref();
        declared.map_or_else(ClientLimits::default, |in_force| {
            in_force.document.client_limits
        })
    }

    /// Connections that the upstream accepts, where the operators say so.
    pub(crate) fn connection_limit(&self) -> u32 {
        let in_force = self.in_force.load();
        let service = in_force
            .as_ref()
            .and_then(|in_force| in_force.document.service(&self.settings.service));
        service
            .and_then(|service| service.connection_limit)
            .unwrap_or(CONNECTION_LIMIT_UNSAID)
    }

    /// Where the upstream is asked for its health.
    pub(crate) fn health_path(&self, usual: &str) -> String {
        let in_force = self.in_force.load();
        let service = in_force
            .as_ref()
            .and_then(|in_force| in_force.document.service(&self.settings.service));
        service
            .and_then(|service| service.health_path.clone())
            .unwrap_or_else(|| usual.to_owned())
    }

    /// Takes nothing new for the upstream from now on.
    pub(crate) fn begin_stop(&self) {
        let _ = self.stop_began.set(Instant::now());
        self.live(|life, now| life.drain(now));
    }

    /// Whether requests that enter now are refused because the node stops.
    ///
    /// Failure: the platform sends callers elsewhere only once the node has
    /// said twice that it is not ready. Refusing before that would turn away
    /// callers who had no way to know; taking requests until the end would cut
    /// those off that are not done by then.
    pub(crate) fn refuses_entries(&self) -> bool {
        self.stop_began
            .get()
            .is_some_and(|began| began.elapsed() >= ENTRIES_TAKEN_IN_STOP)
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.state(), NodeState::Draining | NodeState::Left)
    }

    /// Which starts of the upstream have announced themselves.
    pub(crate) fn upstream_starts(&self) -> MutexGuard<'_, UpstreamStarts> {
        self.upstream_starts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Of the service beside this node.
    pub(crate) fn answer_limit_bytes(&self) -> usize {
        let in_force = self.in_force.load();
        let declared = in_force
            .as_ref()
            .and_then(|in_force| in_force.document.service(&self.settings.service));
        declared.map_or(ANSWER_LIMIT_BEFORE_CONFIGURATION_BYTES, |service| {
            service.answer_limit_bytes
        })
    }

    pub(crate) fn state(&self) -> NodeState {
        self.publication().state
    }

    /// What others are told of this node and its upstream.
    pub(crate) fn publication(&self) -> Publication {
        **self.publication.load()
    }

    /// Lets something happen in the life of this node; what it publishes then
    /// is told to members at once.
    pub(crate) fn live(
        &self,
        change: impl FnOnce(&mut Life, Instant) -> Vec<LifeAction>,
    ) -> Vec<LifeAction> {
        let mut life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = change(&mut life, Instant::now());
        for action in &actions {
            if let LifeAction::Publish(publication) = action {
                self.publication.store(Arc::new(*publication));
                self.signals.own_changed.notify_one();
            }
        }
        actions
    }

    pub(crate) fn generation_in_force(&self) -> Generation {
        let in_force = self.in_force.load();
        in_force.as_ref().map_or(0, |in_force| in_force.generation)
    }

    /// Tells the task that follows the configuration. An event that finds its
    /// queue full is dropped: the task asks again.
    pub(crate) fn tell_configuration(&self, event: configuration::Event) {
        let _ = self.configuration_events.try_send(event);
    }

    /// The queue of that task, once.
    pub(crate) fn take_configuration_events(&self) -> Option<mpsc::Receiver<configuration::Event>> {
        let mut receiver = self
            .configuration_receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        receiver.take()
    }

    /// All nodes known, this one included.
    pub(crate) fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Takes in a new view of the fleet.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        self.services.update(&members);
        self.platform.set_node_count(members.len());
        // A stopping node that is not known here yet may still commit.
        self.receiving().retain_offers_of(|from| {
            let known = members
                .iter()
                .find(|member| *member.node_id == *from.node_id);
            known.is_none_or(|known| {
                let has_gone = matches!(known.state(), NodeState::Left | NodeState::Dead);
                known.incarnation == from.incarnation && !has_gone
            })
        });
        self.members.store(Arc::new(members));
    }

    /// Where a member is reached; `None` if its address cannot be read.
    pub(crate) fn place_of(&self, member: &Member) -> Option<Place> {
        if *member.node_id == *self.identity.node_id {
            return Some(Place::Here);
        }
        let link_address: SocketAddr = member.link_address.parse().ok()?;
        Some(Place::There(Peer {
            node_id: member.node_id.as_str().into(),
            link_address,
        }))
    }

    /// Who took over a home's tickets, as members publish it.
    pub(crate) fn successor_of(&self, home: &NodeIncarnation) -> Option<NodeIncarnation> {
        let members = self.members.load();
        let is_of_home = |succession: &Succession| {
            succession.home_incarnation == home.incarnation
                && *succession.home_node_id == *home.node_id
        };
        let successor = members
            .iter()
            .find(|member| member.successions.iter().any(is_of_home))?;
        Some(NodeIncarnation::new(
            successor.node_id.as_str(),
            successor.incarnation,
        ))
    }

    /// Counts a call as in flight until the guard goes.
    pub(crate) fn enter_call(&self) -> CallInFlight {
        self.counters.enter_call()
    }

    /// Learns which kinds of deeper calls an answered call of `kind` made.
    pub(crate) fn chain_edges_answered(&self, kind: WorkKind, deeper: &[WorkKind]) {
        self.chain_edges
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .answered(kind, deeper);
    }

    /// Strictest shed level among the services that calls of `kind` go on to.
    pub(crate) fn chain_level(&self, kind: WorkKind) -> ShedLevel {
        let edges = self
            .chain_edges
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        edges.level(kind, |deeper| self.services.level_of_kind(deeper))
    }

    /// Takes an announcement; calls go to the announced address from then on.
    pub(crate) fn upstream_announced(&self, announcement: Announcement) {
        self.live(|life, now| {
            let word = drain::Announcement {
                address: announcement.address,
                slots: announcement.slots,
                is_cold: announcement.cold,
            };
            let actions = life.announce(now, word);
            self.upstream.store(Some(Arc::new(announcement)));
            self.admission_follows(life, now);
            actions
        });
    }

    /// Drops an upstream whose announcement has lapsed.
    ///
    /// Failure: an upstream vanishes without a word, and calls queue for slots
    /// that are not there until their callers give up. They are refused as soon
    /// as the announcement has lapsed, while another node may still answer them.
    pub(crate) fn check_upstream(&self) {
        self.live(|life, now| {
            let actions = life.check_upstream(now);
            self.admission_follows(life, now);
            actions
        });
    }

    pub(crate) fn upstream_drains(&self) {
        self.live(|life, now| {
            let actions = life.drain_upstream();
            self.admission_follows(life, now);
            actions
        });
    }

    /// Takes the admission's lock inside that of the life, never the other way
    /// round: what one event decides is carried out before the next one.
    fn admission_follows(&self, life: &Life, now: Instant) {
        let announcement = self.upstream.load();
        let announcement = announcement.as_deref();
        let slots = announcement.map_or(0, |announcement| announcement.slots);
        let connections = announcement.map_or(0, |announcement| announcement.connections);
        self.admission_queue
            .with_admission(|admission| admission.follow(life.upstream(), slots, connections, now));
    }

    pub(crate) fn announcement(&self) -> Option<Announcement> {
        self.upstream.load().as_deref().cloned()
    }

    pub(crate) fn upstream_state(&self) -> UpstreamState {
        self.publication().upstream
    }

    /// Tables of stopping nodes on their way here.
    pub(crate) fn receiving(&self) -> MutexGuard<'_, Receiving> {
        self.receiving
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Homes whose tickets this node took over, itself left out.
    fn successions(&self) -> Vec<Succession> {
        let table = self.home.table();
        let adopted = table.homes().skip(1);
        adopted
            .map(|home| Succession {
                home_node_id: home.node_id.to_string(),
                home_incarnation: home.incarnation,
            })
            .collect()
    }

    /// What this node says of itself to others.
    pub(crate) fn own_member(&self) -> Member {
        // Each takes the table's lock; in one expression they would both hold it.
        let ticket_epoch = self.home.table().current_epoch();
        let successions = self.successions();
        Member {
            node_id: self.identity.node_id.to_string(),
            incarnation: self.identity.incarnation,
            state: self.state().into(),
            upstream: self.upstream_state().into(),
            service: self.settings.service.to_string(),
            data_centre: self.settings.data_centre.to_string(),
            region: self.settings.region.clone(),
            link_address: self.settings.link_address.to_string(),
            gossip_address: self.settings.gossip_address.to_string(),
            ticket_epoch,
            successions,
            slots: self.publication().slots,
            start_order: self.start_order,
            // Membership counts the versions.
            version: 0,
        }
    }
}

fn drain_settings(settings: &Settings) -> DrainSettings {
    DrainSettings {
        settle: match settings.interface {
            InterfaceName::Own => DRAIN_SETTLE,
            InterfaceName::Cooperative => SPELLED_DRAIN_SETTLE,
        },
        hard_limit: Some(drain_limit(settings)),
        handover_limit: handover::LIMIT,
        upstream: UpstreamSettings {
            announcement_ttl: match settings.interface {
                InterfaceName::Own => RENEW_EVERY * RENEWALS_MISSED_MAX,
                InterfaceName::Cooperative => SPELLED_ANNOUNCEMENT_TTL,
            },
            ..UpstreamSettings::default()
        },
        without: None,
    }
}

/// Routes of an interface state objectives; the product's own configuration has
/// none.
fn admission_policy(settings: &Settings) -> AdmissionPolicy {
    AdmissionPolicy {
        objective: match settings.interface {
            InterfaceName::Own => None,
            InterfaceName::Cooperative => Some(ObjectivePolicy::default()),
        },
        ..AdmissionPolicy::default()
    }
}

fn drain_limit(settings: &Settings) -> Duration {
    let grace = settings.stop_grace;
    grace.map_or(settings.drain_limit, |grace| {
        grace.saturating_sub(EXIT_TIME)
    })
}

/// Wall clock in milliseconds: it only ranks the starts of one node.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
