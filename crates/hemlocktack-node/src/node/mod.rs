//! State that all parts of a node share, by what each part of it is for.

mod configuration;
mod lifecycle;
mod members;
mod policies;
#[cfg(test)]
mod tests;
mod upstream;

pub(crate) use configuration::ActiveConfiguration;
pub(crate) use members::NodeLocation;
pub(crate) use policies::DRAIN_SETTLE;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Instant, SystemTime};

use arc_swap::{ArcSwap, ArcSwapOption};
use hemlocktack_decide::ChainEdges;
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::drain::{NodeLifecycle, PublishedState};
use hemlocktack_fleet::handover::{HandoverLimits, IncomingHandovers};
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_interface::Interface;
use hemlocktack_platform::{Client, NodeRecords};
use hemlocktack_protocol::Member;
use hemlocktack_telemetry::Tracer;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::calls::{AdmissionQueue, ContextTable, ServiceDirectory, TicketHome};
use crate::configuration as follower;
use crate::counters::{Counters, InFlightGuard};
use crate::interfaces;
use crate::links::{Links, Senders};
use crate::peers::GossipCounts;
use crate::settings::{AdjustableSettings, Settings};
use crate::telemetry::{EntryCounts, LogRateLimiter, LogThrottle, Waits};
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
    pub(crate) home: TicketHome,
    pub(crate) services: ServiceDirectory,
    pub(crate) counters: Counters,
    pub(crate) operator_refusals: LogThrottle,
    pub(crate) unreadable_answers: LogThrottle,
    pub(crate) link_refusals: LogThrottle,
    pub(crate) datagram_refusals: LogThrottle,
    /// Log lines about single calls.
    pub(crate) call_log_limiter: LogRateLimiter,
    /// The same about those that the drain's limit ends.
    pub(crate) drain_log_limiter: LogRateLimiter,
    pub(crate) tracer: Tracer,
    pub(crate) waits: Waits,
    pub(crate) entry_counts: EntryCounts,
    /// Connections of an interface's callers.
    pub(crate) connections: TaskTracker,
    stop_request: Notify,
    stop_began: OnceLock<Instant>,
    receiving: Mutex<IncomingHandovers>,
    chain_edges: Mutex<ChainEdges>,
    active_configuration: ArcSwapOption<ActiveConfiguration>,
    members: ArcSwap<Vec<Member>>,
    /// Gossip addresses to try where nobody else is known.
    pub(crate) seeds: ArcSwap<Vec<SocketAddr>>,
    pub(crate) records: NodeRecords,
    pub(crate) gossip_counts: GossipCounts,
    pub(crate) signals: Signals,
    life: Mutex<NodeLifecycle>,
    publication: ArcSwap<PublishedState>,
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
    pub(crate) own_record_changed: Notify,
    /// Gossip addresses of others have been read from the platform.
    pub(crate) seeds_changed: Notify,
    /// Members have been told that this node has left.
    pub(crate) leave_announced: Notify,
    /// No request is taken any more: callers' connections end with what is on them.
    pub(crate) closing: CancellationToken,
    /// The drain's limit has come: callers are told what is known by now.
    pub(crate) drain_limit_reached: CancellationToken,
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
        let life = NodeLifecycle::new(
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
            home: TicketHome::new(&identity),
            services: ServiceDirectory::new(settings.data_centre.clone()),
            admission_queue: Arc::new(AdmissionQueue::new(policies::admission_policy(&settings))),
            counters: Counters::default(),
            operator_refusals: LogThrottle::default(),
            unreadable_answers: LogThrottle::default(),
            link_refusals: LogThrottle::default(),
            datagram_refusals: LogThrottle::default(),
            call_log_limiter: LogRateLimiter::default(),
            drain_log_limiter: LogRateLimiter::default(),
            tracer,
            waits: Waits::default(),
            entry_counts: EntryCounts::default(),
            connections: TaskTracker::new(),
            stop_request: Notify::new(),
            stop_began: OnceLock::new(),
            receiving: Mutex::new(IncomingHandovers::new(HandoverLimits::default())),
            chain_edges: Mutex::default(),
            interface: interfaces::find(settings.interface),
            identity,
            settings,
            keys,
            senders: Senders::default(),
            contexts: ContextTable::default(),
            upstream_client,
            active_configuration: ArcSwapOption::empty(),
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
    pub(crate) fn apply_settings(&self, adjustable: &AdjustableSettings) {
        self.adjustable.store(Arc::new(adjustable.clone()));
        self.platform.set_rates(adjustable.platform_rates);
        let drain_limit = policies::drain_limit(adjustable);
        self.update_lifecycle(|life, _| {
            life.set_hard_limit(drain_limit);
            Vec::new()
        });
        if let Some(active_configuration) = self.active_configuration() {
            self.apply_limits(&active_configuration.document);
        }
        let mut seeds = Vec::clone(&self.seeds.load());
        let is_new = |seed: &&SocketAddr| !seeds.contains(seed);
        let new: Vec<_> = adjustable.seed_peers.iter().filter(is_new).collect();
        seeds.extend(new);
        self.seeds.store(Arc::new(seeds));
        self.signals.seeds_changed.notify_one();
    }

    /// Counts a call as in flight until the guard goes.
    pub(crate) fn track_call(&self) -> InFlightGuard {
        self.counters.track_call()
    }
}

/// Wall clock in milliseconds: it only ranks the starts of one node.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
