//! Directory of each service's nodes, for use on the request path.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use hemlocktack_decide::{
    AnswerSizes, CallerTimeoutEstimator, EdgeRetryBudget, EdgeRetryBudgets, EntryShedPolicy,
    EntryShedder, FleetRetryLimits, NodePosition, PeerLoad, PlacementPolicy, ShedLevel, WorkKind,
};
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_protocol::{
    ClassRank, DataCentre, LoadHint, Member, NodeState, RootRequestId, ServiceName, UpstreamState,
};

/// Routes whose caller timeouts are estimated, which is more than any current deployment has.
/// Beyond this, all estimates are dropped and learnt anew, which takes a few requests per route.
const MAX_ROUTE_ESTIMATES: usize = 4_096;

/// One node of a service, with the load that its replies reported.
pub(crate) struct PeerEntry {
    pub(crate) member: Member,
    pub(crate) identity: NodeIncarnation,
    load: Arc<PeerLoad>,
}

impl AsRef<PeerLoad> for PeerEntry {
    fn as_ref(&self) -> &PeerLoad {
        &self.load
    }
}

/// One service's nodes and shed level, as seen from this node.
pub(crate) struct ServiceView {
    pub(crate) peers: Vec<PeerEntry>,
    pub(crate) edge: Arc<EdgeRetryBudget>,
    shedder: Arc<Mutex<EntryShedder>>,
    /// Shared by the views of all services: kinds of work differ between them.
    answer_sizes: Arc<AnswerSizes>,
}

/// All services; the map is replaced as a whole when membership changes.
pub(crate) struct ServiceDirectory {
    own_data_centre: DataCentre,
    services: ArcSwap<HashMap<ServiceName, Arc<ServiceView>>>,
    edges: Mutex<EdgeRetryBudgets>,
    answer_sizes: Arc<AnswerSizes>,
    /// Service of each kind of work that was seen on this node.
    service_of_kind: Mutex<HashMap<WorkKind, ServiceName>>,
    /// Estimates of caller timeouts, by route.
    timeout_estimators: Mutex<HashMap<u64, CallerTimeoutEstimator>>,
}

impl ServiceDirectory {
    pub(crate) fn new(own_data_centre: DataCentre) -> Self {
        Self {
            own_data_centre,
            services: ArcSwap::default(),
            edges: Mutex::new(EdgeRetryBudgets::new(
                FleetRetryLimits::default(),
                NodePosition::ONLY_NODE,
            )),
            answer_sizes: Arc::default(),
            service_of_kind: Mutex::default(),
            timeout_estimators: Mutex::default(),
        }
    }

    pub(crate) fn service(&self, name: &str) -> Option<Arc<ServiceView>> {
        self.services.load().get(name).cloned()
    }

    /// Applies a new list of members. The load that a node's replies reported is kept as long as
    /// its incarnation is the same.
    pub(crate) fn update(&self, members: &[Member], place: NodePosition) {
        self.edges().set_position(place);
        let before = self.services.load_full();
        let mut by_service: HashMap<ServiceName, Vec<&Member>> = HashMap::new();
        for member in members.iter().filter(|member| is_live(member)) {
            by_service
                .entry(member.service.as_str().into())
                .or_default()
                .push(member);
        }
        let mut services = HashMap::new();
        for (service, members) in by_service {
            let known = before.get(&service);
            let edge = self.edges().edge(&service, Instant::now());
            let view = self.build_view(&members, known.map(Arc::as_ref), edge);
            services.insert(service, Arc::new(view));
        }
        self.edges()
            .retain(|service| services.contains_key(service), Instant::now());
        self.services.store(Arc::new(services));
    }

    fn build_view(
        &self,
        members: &[&Member],
        known: Option<&ServiceView>,
        edge: Arc<EdgeRetryBudget>,
    ) -> ServiceView {
        let has_ready_member = members
            .iter()
            .any(|member| member.state() == NodeState::Ready);
        let mut peers = Vec::new();
        for member in members {
            let identity = NodeIncarnation::new(member.node_id.as_str(), member.incarnation);
            let kept = known.and_then(|view| view.load_of(&identity));
            let load = kept.unwrap_or_else(|| self.new_load(member));
            load.set_state(state_for_placement(member, has_ready_member));
            load.set_suspected(matches!(
                member.state(),
                NodeState::Suspect | NodeState::Dead
            ));
            peers.push(PeerEntry {
                member: Member::clone(member),
                identity,
                load,
            });
        }
        let same_peers = known.filter(|view| view.has_peers(&peers));
        let fresh_shedder = || {
            Arc::new(Mutex::new(EntryShedder::new(
                EntryShedPolicy::default(),
                peers.len(),
            )))
        };
        let shedder = same_peers.map_or_else(fresh_shedder, |view| view.shedder.clone());
        ServiceView {
            peers,
            edge,
            shedder,
            answer_sizes: self.answer_sizes.clone(),
        }
    }

    /// Sets the retry limits that operators configured, for every service.
    pub(crate) fn set_retries(&self, allowed: FleetRetryLimits) {
        self.edges().set_limits(allowed);
    }

    fn edges(&self) -> MutexGuard<'_, EdgeRetryBudgets> {
        self.edges.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn new_load(&self, member: &Member) -> Arc<PeerLoad> {
        let is_near = member.data_centre == *self.own_data_centre;
        Arc::new(PeerLoad::new(is_near, member.upstream(), Instant::now()))
    }

    /// Estimates how long the caller of a request on this route has already waited, from the
    /// time that it says it has left.
    pub(crate) fn estimate_time_waited(&self, route_id: u64, time_left: Duration) -> Duration {
        let mut timeout_estimators = self
            .timeout_estimators
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if timeout_estimators.len() >= MAX_ROUTE_ESTIMATES
            && !timeout_estimators.contains_key(&route_id)
        {
            timeout_estimators.clear();
        }
        timeout_estimators
            .entry(route_id)
            .or_default()
            .estimate_waited(time_left)
    }

    /// Records which service a kind of work belongs to.
    pub(crate) fn register_work_kind(&self, kind: WorkKind, service: &str) {
        let mut kinds = self
            .service_of_kind
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        kinds.entry(kind).or_insert_with(|| service.into());
    }

    /// Returns the shed level of a kind of work at its service.
    pub(crate) fn shed_level_of_kind(&self, kind: WorkKind) -> ShedLevel {
        let service = self
            .service_of_kind
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&kind)
            .cloned();
        let view = service.and_then(|service| self.service(&service));
        view.map_or(ShedLevel::OPEN, |view| view.shed_level(kind))
    }
}

impl ServiceView {
    /// Returns the index of this incarnation of a node, if it has an upstream of the service.
    pub(crate) fn index_of(&self, node: &NodeIncarnation) -> Option<usize> {
        self.peers.iter().position(|peer| peer.identity == *node)
    }

    /// Whether a request may go on to the service; see [`EntryShedder`].
    pub(crate) fn admits(
        &self,
        kind: WorkKind,
        rank: ClassRank,
        root: RootRequestId,
        has_prior_work: bool,
    ) -> bool {
        let mut shedder = self.shedder.lock().unwrap_or_else(PoisonError::into_inner);
        shedder.admits(kind, rank, root, has_prior_work, Instant::now())
    }

    pub(crate) fn shed_level(&self, kind: WorkKind) -> ShedLevel {
        self.shedder
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .level(kind, Instant::now())
    }

    pub(crate) fn record_hint(&self, index: usize, kind: WorkKind, hint: &LoadHint) {
        let mut shedder = self.shedder.lock().unwrap_or_else(PoisonError::into_inner);
        shedder.learn(index, kind, hint, Instant::now());
    }

    /// Records the size of an answer to a call of this kind.
    pub(crate) fn record_answer_size(&self, kind: WorkKind, bytes: usize) {
        self.answer_sizes.record(kind, bytes);
    }

    /// Returns the parameters of placement for calls of this kind, or of an unknown one.
    pub(crate) fn placement_policy(&self, kind: Option<WorkKind>) -> PlacementPolicy {
        let bytes = kind.map_or(0.0, |kind| self.answer_sizes.mean_bytes(kind));
        PlacementPolicy::default().for_answers_of(bytes)
    }

    /// Whether these are the same incarnations in the same order. Only then do the indices that
    /// the shedder uses still refer to the same nodes.
    fn has_peers(&self, peers: &[PeerEntry]) -> bool {
        let identities = |peers: &[PeerEntry]| {
            peers
                .iter()
                .map(|peer| peer.identity.clone())
                .collect::<Vec<_>>()
        };
        identities(&self.peers) == identities(peers)
    }

    fn load_of(&self, identity: &NodeIncarnation) -> Option<Arc<PeerLoad>> {
        let peer = self.peers.iter().find(|peer| peer.identity == *identity)?;
        Some(peer.load.clone())
    }
}

fn is_live(member: &Member) -> bool {
    !matches!(member.state(), NodeState::Left | NodeState::Dead)
}

/// Returns the upstream state to use for placement. Suspect nodes are skipped while other nodes
/// are ready: a hung node would hold each call placed on it until the caller's timeout.
fn state_for_placement(member: &Member, has_ready_member: bool) -> UpstreamState {
    match member.state() {
        NodeState::Ready => member.upstream(),
        NodeState::Suspect if !has_ready_member => member.upstream(),
        _ => UpstreamState::Draining,
    }
}
