//! State that all parts of a node share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::{ArcSwap, ArcSwapOption};
use hemlocktack_config::Document;
use hemlocktack_decide::{ChainEdges, ShedLevel, WorkKind};
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::handover::{HandoverLimits, Receiving};
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_platform::Client;
use hemlocktack_protocol::{
    ConfigurationDocument, Generation, Member, NodeState, Reason, Succession, UpstreamState,
};
use hemlocktack_telemetry::{Event, Tracer, log_event};
use tokio::sync::Notify;

use crate::calls::{ContextTable, Desk, Home, Roster};
use crate::counters::{CallInFlight, Counters};
use crate::links::{Links, Peer, Senders};
use crate::operators::Refusals;
use crate::settings::Settings;
use crate::telemetry::{EntryCounts, Waits};
use crate::upstream::{Announcement, RENEW_EVERY, RENEWALS_MISSED_MAX, UpstreamClient};

/// Largest body read before any configuration is in force.
const BODY_LIMIT_BEFORE_CONFIGURATION_BYTES: usize = 64 << 10;
/// Largest answer passed on for a service that the configuration lacks.
const ANSWER_LIMIT_BEFORE_CONFIGURATION_BYTES: usize = 1 << 20;

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
    pub(crate) identity: NodeIncarnation,
    pub(crate) keys: FleetKeys,
    pub(crate) platform: Arc<Client>,
    pub(crate) links: Links,
    pub(crate) senders: Senders,
    pub(crate) contexts: ContextTable,
    pub(crate) upstream_client: UpstreamClient,
    pub(crate) desk: Arc<Desk>,
    pub(crate) home: Home,
    pub(crate) roster: Roster,
    pub(crate) counters: Counters,
    pub(crate) operator_refusals: Refusals,
    pub(crate) tracer: Tracer,
    pub(crate) waits: Waits,
    pub(crate) entry_counts: EntryCounts,
    stop_order: Notify,
    receiving: Mutex<Receiving>,
    chain_edges: Mutex<ChainEdges>,
    in_force: ArcSwapOption<InForce>,
    members: ArcSwap<Vec<Member>>,
    state: ArcSwap<NodeState>,
    upstream: ArcSwapOption<AnnouncedUpstream>,
}

/// The last announcement and when it came.
struct AnnouncedUpstream {
    announcement: Announcement,
    renewed: Instant,
    draining: bool,
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        keys: FleetKeys,
        platform: Arc<Client>,
        upstream_client: UpstreamClient,
        tracer: Tracer,
    ) -> Self {
        let identity = NodeIncarnation::new(settings.node_id.clone(), rand::random());
        Self {
            platform,
            links: Links::new(identity.clone(), keys.clone()),
            home: Home::new(&identity),
            roster: Roster::new(settings.data_centre.clone()),
            desk: Arc::new(Desk::new()),
            counters: Counters::default(),
            operator_refusals: Refusals::default(),
            tracer,
            waits: Waits::default(),
            entry_counts: EntryCounts::default(),
            stop_order: Notify::new(),
            receiving: Mutex::new(Receiving::new(HandoverLimits::default())),
            chain_edges: Mutex::default(),
            identity,
            settings,
            keys,
            senders: Senders::default(),
            contexts: ContextTable::default(),
            upstream_client,
            in_force: ArcSwapOption::empty(),
            members: ArcSwap::default(),
            state: ArcSwap::from_pointee(NodeState::Starting),
            upstream: ArcSwapOption::empty(),
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

    /// Puts a higher generation in force; a lower or equal one, and one that
    /// this version cannot read, is left aside.
    pub(crate) fn take_configuration(&self, stored: ConfigurationDocument) {
        let Ok(document) = hemlocktack_config::parse(&stored.document) else {
            let generation = stored.generation;
            log_event!(Event::ConfigurationUnreadable, generation);
            return;
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

    fn configuration_changed(&self, in_force: &InForce) {
        let generation = in_force.generation;
        log_event!(Event::ConfigurationInForce, generation);
        self.entry_counts.declare(&in_force.document);
        let sample_per_million = in_force.document.limits.trace_sample_per_million;
        self.tracer.set_sample_per_million(sample_per_million);
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
        **self.state.load()
    }

    pub(crate) fn set_state(&self, state: NodeState) {
        self.state.store(Arc::new(state));
    }

    /// All nodes known, this one included.
    pub(crate) fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Takes in a new view of the fleet.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        self.roster.update(&members);
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
    pub(crate) fn enter_call(&self) -> CallInFlight<'_> {
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
        edges.level(kind, |deeper| self.roster.level_of_kind(deeper))
    }

    pub(crate) fn upstream_announced(&self, announcement: Announcement) {
        let draining = self.upstream.load().as_ref().is_some_and(|known| {
            known.draining
                && known.announcement.address == announcement.address
                && !announcement.cold
        });
        let renewed = Instant::now();
        if !draining {
            let Announcement {
                slots,
                connections,
                cold,
                ..
            } = announcement;
            self.desk
                .with_admission(|admission| admission.announced(slots, connections, cold, renewed));
        }
        self.upstream.store(Some(Arc::new(AnnouncedUpstream {
            announcement,
            renewed,
            draining,
        })));
    }

    pub(crate) fn upstream_drains(&self) {
        let Some(known) = self.upstream.load_full() else {
            return;
        };
        let announcement = known.announcement.clone();
        let renewed = known.renewed;
        self.desk
            .with_admission(|admission| admission.drain(Reason::UpstreamDraining));
        self.upstream.store(Some(Arc::new(AnnouncedUpstream {
            announcement,
            renewed,
            draining: true,
        })));
    }

    pub(crate) fn announcement(&self) -> Option<Announcement> {
        self.upstream
            .load()
            .as_ref()
            .map(|known| known.announcement.clone())
    }

    pub(crate) fn upstream_state(&self) -> UpstreamState {
        let upstream = self.upstream.load();
        let Some(known) = upstream.as_ref() else {
            return UpstreamState::Absent;
        };
        if known.renewed.elapsed() > RENEW_EVERY * RENEWALS_MISSED_MAX {
            return UpstreamState::Absent;
        }
        if known.draining {
            return UpstreamState::Draining;
        }
        if known.announcement.cold {
            UpstreamState::Cold
        } else {
            UpstreamState::Ready
        }
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
            slots: self
                .announcement()
                .map_or(0, |announcement| announcement.slots),
            ..Member::default()
        }
    }
}
