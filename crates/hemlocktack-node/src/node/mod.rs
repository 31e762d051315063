//! State that all parts of a node share, by what each part of it is for.

mod configuration;
mod life;
mod members;
mod policies;
#[cfg(test)]
mod tests;
mod upstream;

pub(crate) use configuration::InForce;
pub(crate) use members::Place;
pub(crate) use policies::DRAIN_SETTLE;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Instant, SystemTime};

use arc_swap::{ArcSwap, ArcSwapOption};
use hemlocktack_decide::ChainEdges;
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::drain::{Life, Publication};
use hemlocktack_fleet::handover::{HandoverLimits, Receiving};
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_interface::Interface;
use hemlocktack_platform::{Client, NodeRecords};
use hemlocktack_protocol::Member;
use hemlocktack_telemetry::Tracer;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::calls::{AdmissionQueue, ContextTable, Home, ServiceDirectory};
use crate::configuration as follower;
use crate::counters::{CallInFlight, Counters};
use crate::interfaces;
use crate::links::{Links, Senders};
use crate::peers::GossipCounts;
use crate::settings::{AdjustableSettings, Settings};
use crate::telemetry::{EntryCounts, LineBudget, LogLimit, Waits};
use crate::upstream::{Announcement, UpstreamClient, UpstreamStarts};

/// One start of one node.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    adjustable: ArcSwap<AdjustableSettings>,
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
    pub(crate) unreadable_answers: LogLimit,
    pub(crate) link_refusals: LogLimit,
    pub(crate) datagram_refusals: LogLimit,
    /// Log lines about single calls.
    pub(crate) call_lines: LineBudget,
    /// The same about those that the drain's limit ends.
    pub(crate) limit_lines: LineBudget,
    pub(crate) tracer: Tracer,
    pub(crate) waits: Waits,
    pub(crate) entry_counts: EntryCounts,
    /// Connections of an interface's callers.
    pub(crate) connections: TaskTracker,
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
    configuration_events: mpsc::Sender<follower::Event>,
    configuration_receiver: Mutex<Option<mpsc::Receiver<follower::Event>>>,
    start_order: u64,
}

/// What the node's own tasks wait for.
#[derive(Default)]
pub(crate) struct Signals {
    /// The own record or the generation in force has changed.
    pub(crate) own_changed: Notify,
    /// Gossip addresses of others have been read from the platform.
    pub(crate) seeds_changed: Notify,
    /// Members have been told that this node has left.
    pub(crate) left_told: Notify,
    /// No request is taken any more: callers' connections end with what is on them.
    pub(crate) closing: CancellationToken,
    /// The drain's limit has come: callers are told what is known by now.
    pub(crate) limit_reached: CancellationToken,
    /// The node has stopped: its tasks end.
    pub(crate) stopped: CancellationToken,
}

/// Events of the configuration that may wait.
const CONFIGURATION_EVENTS_LIMIT: usize = 256;

impl Node {
    pub(crate) fn new(
        settings: Settings,
        adjustable: AdjustableSettings,
        keys: FleetKeys,
        platform: Arc<Client>,
        upstream_client: UpstreamClient,
        tracer: Tracer,
    ) -> Self {
        let identity = NodeIncarnation::new(settings.node_id.clone(), rand::random());
        let (configuration_events, receiver) = mpsc::channel(CONFIGURATION_EVENTS_LIMIT);
        let life = Life::new(
            policies::drain_settings(&settings, &adjustable),
            Instant::now(),
        );
        Self {
            seeds: ArcSwap::from_pointee(adjustable.seed_peers.clone()),
            adjustable: ArcSwap::from_pointee(adjustable),
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
            admission_queue: Arc::new(AdmissionQueue::new(policies::admission_policy(&settings))),
            counters: Counters::default(),
            operator_refusals: LogLimit::default(),
            unreadable_answers: LogLimit::default(),
            link_refusals: LogLimit::default(),
            datagram_refusals: LogLimit::default(),
            call_lines: LineBudget::default(),
            limit_lines: LineBudget::default(),
            tracer,
            waits: Waits::default(),
            entry_counts: EntryCounts::default(),
            connections: TaskTracker::new(),
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

    /// Settings that may change while the node runs, as they are now.
    pub(crate) fn adjustable(&self) -> Arc<AdjustableSettings> {
        self.adjustable.load_full()
    }

    /// Takes over changed settings.
    pub(crate) fn adjust(&self, adjustable: &AdjustableSettings) {
        self.adjustable.store(Arc::new(adjustable.clone()));
        self.platform.set_rates(adjustable.platform_rates);
        let drain_limit = policies::drain_limit(adjustable);
        self.live(|life, _| {
            life.set_hard_limit(drain_limit);
            Vec::new()
        });
        if let Some(in_force) = self.configuration_in_force() {
            self.take_limits(&in_force.document);
        }
        let mut seeds = Vec::clone(&self.seeds.load());
        let is_new = |seed: &&SocketAddr| !seeds.contains(seed);
        let new: Vec<_> = adjustable.seed_peers.iter().filter(is_new).collect();
        seeds.extend(new);
        self.seeds.store(Arc::new(seeds));
        self.signals.seeds_changed.notify_one();
    }

    /// Counts a call as in flight until the guard goes.
    pub(crate) fn enter_call(&self) -> CallInFlight {
        self.counters.enter_call()
    }
}

/// Wall clock in milliseconds: it only ranks the starts of one node.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
