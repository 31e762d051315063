//! State shared by all parts of a node, with one module per concern.

mod configuration;
mod freshness;
mod lifecycle;
mod members;
mod notices;
mod policies;
mod run_profiles;
#[cfg(test)]
mod tests;
mod upstream;

pub(crate) use configuration::ActiveConfiguration;
pub(crate) use freshness::DENY_WITHIN;
pub(crate) use members::NodeLocation;
pub(crate) use policies::MIN_DRAIN_TIME;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Instant, SystemTime};

use arc_swap::{ArcSwap, ArcSwapOption};
use hemlocktack_decide::{ChainEdges, NoticeBook, RunProfiles};
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::drain::{NodeLifecycle, PublishedState};
use hemlocktack_fleet::freshness::FreshnessProof;
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
use crate::freshness::StoreQuestions;
use crate::interfaces;
use crate::links::{Links, Senders};
use crate::memory::{BodyMemory, BudgetSizes};
use crate::peers::GossipCounts;
use crate::quotas::Quotas;
use crate::settings::{AdjustableSettings, Settings};
use crate::telemetry::{EntryCounts, LogRateLimiter, LogThrottle, Waits};
use crate::upstream::{Announcement, UpstreamClient, UpstreamStarts};

/// One incarnation of a node, from its start to its exit.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    adjustable: ArcSwap<AdjustableSettings>,
    /// The adapter of an interface other than the native one.
    pub(crate) interface: Option<Interface>,
    pub(crate) identity: NodeIncarnation,
    pub(crate) keys: FleetKeys,
    pub(crate) platform: Arc<Client>,
    pub(crate) memory: BodyMemory,
    pub(crate) links: Links,
    pub(crate) senders: Senders,
    pub(crate) contexts: ContextTable,
    pub(crate) upstream_client: UpstreamClient,
    pub(crate) admission_queue: Arc<AdmissionQueue>,
    pub(crate) home: TicketHome,
    pub(crate) services: ServiceDirectory,
    /// What other nodes' upstreams have said in answers that entered or passed here.
    pub(crate) notices: ArcSwap<NoticeBook>,
    pub(crate) counters: Counters,
    pub(crate) operator_refusals: LogThrottle,
    pub(crate) unreadable_answers: LogThrottle,
    pub(crate) malformed_load_reports: LogThrottle,
    pub(crate) link_refusals: LogThrottle,
    pub(crate) datagram_refusals: LogThrottle,
    /// Limits log lines about single calls.
    pub(crate) call_log_limiter: LogRateLimiter,
    /// Limits log lines about calls that the drain limit ends.
    pub(crate) drain_log_limiter: LogRateLimiter,
    pub(crate) tracer: Tracer,
    pub(crate) waits: Waits,
    pub(crate) entry_counts: EntryCounts,
    /// Open connections of the gateway.
    pub(crate) connections: TaskTracker,
    stop_request: Notify,
    stop_began: OnceLock<Instant>,
    incoming_handovers: Mutex<IncomingHandovers>,
    chain_edges: Mutex<ChainEdges>,
    run_profiles: Mutex<RunProfiles>,
    active_configuration: ArcSwapOption<ActiveConfiguration>,
    members: ArcSwap<Vec<Member>>,
    /// Gossip addresses to try while no other node is known.
    pub(crate) seeds: ArcSwap<Vec<SocketAddr>>,
    pub(crate) records: NodeRecords,
    pub(crate) store_questions: StoreQuestions,
    pub(crate) store_access: follower::StoreAccess,
    pub(crate) store_read_failures: LogThrottle,
    pub(crate) doubtful_eras: LogThrottle,
    freshness_proof: ArcSwapOption<FreshnessProof>,
    pub(crate) quotas: Quotas,
    pub(crate) gossip_counts: GossipCounts,
    pub(crate) signals: Signals,
    lifecycle: Mutex<NodeLifecycle>,
    published_state: ArcSwap<PublishedState>,
    upstream: ArcSwapOption<Announcement>,
    upstream_starts: Mutex<UpstreamStarts>,
    configuration_events: mpsc::Sender<follower::Event>,
    configuration_receiver: Mutex<Option<mpsc::Receiver<follower::Event>>>,
    start_order: u64,
}

/// The node's ways to the platform's store.
pub(crate) struct PlatformAccess {
    pub(crate) client: Arc<Client>,
    pub(crate) questions: StoreQuestions,
    pub(crate) store_access: follower::StoreAccess,
}

/// Signals between the node's tasks.
#[derive(Default)]
pub(crate) struct Signals {
    /// This node's own record or active generation has changed.
    pub(crate) own_record_changed: Notify,
    /// Gossip addresses of other nodes have been read from the platform.
    pub(crate) seeds_changed: Notify,
    /// Members have been notified that this node is leaving.
    pub(crate) leave_announced: Notify,
    /// No more requests are accepted; connections close after their current request.
    pub(crate) closing: CancellationToken,
    /// The drain limit is reached; callers are told the outcome as far as it is known.
    pub(crate) drain_limit_reached: CancellationToken,
    /// The node has stopped; its tasks end.
    pub(crate) stopped: CancellationToken,
}

/// Capacity of the queue of configuration events.
const CONFIGURATION_EVENT_CAPACITY: usize = 256;

impl Node {
    pub(crate) fn new(
        identity: NodeIncarnation,
        settings: Settings,
        adjustable: AdjustableSettings,
        keys: FleetKeys,
        platform: PlatformAccess,
        upstream_client: UpstreamClient,
        tracer: Tracer,
    ) -> Self {
        let (configuration_events, receiver) = mpsc::channel(CONFIGURATION_EVENT_CAPACITY);
        let memory = BodyMemory::new(BudgetSizes::of_memory(settings.memory_bytes));
        let lifecycle = NodeLifecycle::new(
            policies::drain_settings(&settings, &adjustable),
            Instant::now(),
        );
        Self {
            seeds: ArcSwap::from_pointee(adjustable.seed_peers.clone()),
            adjustable: ArcSwap::from_pointee(adjustable),
            records: NodeRecords::new(platform.client.clone()),
            store_questions: platform.questions,
            store_access: platform.store_access,
            store_read_failures: LogThrottle::default(),
            doubtful_eras: LogThrottle::default(),
            freshness_proof: ArcSwapOption::empty(),
            quotas: Quotas::default(),
            gossip_counts: GossipCounts::default(),
            signals: Signals::default(),
            published_state: ArcSwap::from_pointee(lifecycle.publication()),
            lifecycle: Mutex::new(lifecycle),
            configuration_events,
            configuration_receiver: Mutex::new(Some(receiver)),
            start_order: unix_ms(),
            platform: platform.client,
            links: Links::new(identity.clone(), keys.clone(), memory.clone()),
            memory,
            home: TicketHome::new(&identity),
            services: ServiceDirectory::new(settings.data_centre.clone()),
            notices: ArcSwap::default(),
            admission_queue: Arc::new(AdmissionQueue::new(policies::admission_policy(&settings))),
            counters: Counters::default(),
            operator_refusals: LogThrottle::default(),
            unreadable_answers: LogThrottle::default(),
            malformed_load_reports: LogThrottle::default(),
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
            incoming_handovers: Mutex::new(IncomingHandovers::new(HandoverLimits::default())),
            chain_edges: Mutex::default(),
            run_profiles: Mutex::default(),
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

    /// Returns the current values of the settings that may change while the node runs.
    pub(crate) fn adjustable(&self) -> Arc<AdjustableSettings> {
        self.adjustable.load_full()
    }

    /// Applies changed settings.
    pub(crate) fn apply_settings(&self, adjustable: &AdjustableSettings) {
        self.adjustable.store(Arc::new(adjustable.clone()));
        self.platform.set_rates(adjustable.platform_rates);
        let drain_limit = policies::drain_limit(adjustable);
        self.update_lifecycle(|lifecycle, _| {
            lifecycle.set_hard_limit(drain_limit);
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

    /// Counts a call as in flight until the guard is dropped.
    pub(crate) fn track_call(&self) -> InFlightGuard {
        self.counters.track_call()
    }
}

/// Returns the wall-clock time in milliseconds, used only to order the starts of one node.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
