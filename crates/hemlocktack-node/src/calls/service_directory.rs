//! What this node knows of each service's nodes, ready for the request path.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use hemlocktack_decide::{
    CallerTimeoutEstimator, EdgeRetryBudget, EdgeRetryBudgets, EntryShedPolicy, EntryShedder,
    FleetRetryLimits, NodePosition, PeerLoad, ShedLevel, WorkKind,
};
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_protocol::{
    ClassRank, DataCentre, LoadHint, Member, NodeState, RootRequestId, ServiceName, UpstreamState,
};

/// Routes whose callers' patience is remembered: more than any deployment of
/// today has. Beyond it all are learnt anew, which takes a few requests each.
const PATIENCES_LIMIT: usize = 4_096;

/// One node of a service and what its replies said.
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

/// One service as seen from this node.
pub(crate) struct ServiceView {
    pub(crate) peers: Vec<PeerEntry>,
    pub(crate) edge: Arc<EdgeRetryBudget>,
    shedder: Arc<Mutex<EntryShedder>>,
}

/// All services, replaced as a whole when membership changes.
pub(crate) struct ServiceDirectory {
    own_data_centre: DataCentre,
    services: ArcSwap<HashMap<ServiceName, Arc<ServiceView>>>,
    edges: Mutex<EdgeRetryBudgets>,
    /// Which service a kind of work belongs to, for kinds seen on this node.
    service_of_kind: Mutex<HashMap<WorkKind, ServiceName>>,
    /// Patience of callers by route.
    patiences: Mutex<HashMap<u64, CallerTimeoutEstimator>>,
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
            service_of_kind: Mutex::default(),
            patiences: Mutex::default(),
        }
    }

    pub(crate) fn service(&self, name: &str) -> Option<Arc<ServiceView>> {
        self.services.load().get(name).cloned()
    }

    /// Takes in a new view of the fleet; what replies said of a node is kept
    /// as long as it is the same start of it.
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
            let view = self.view_of(&members, known.map(Arc::as_ref), edge);
            services.insert(service, Arc::new(view));
        }
        self.edges()
            .retain(|service| services.contains_key(service), Instant::now());
        self.services.store(Arc::new(services));
    }

    fn view_of(
        &self,
        members: &[&Member],
        known: Option<&ServiceView>,
        edge: Arc<EdgeRetryBudget>,
    ) -> ServiceView {
        let some_are_sure = members
            .iter()
            .any(|member| member.state() == NodeState::Ready);
        let mut peers = Vec::new();
        for member in members {
            let identity = NodeIncarnation::new(member.node_id.as_str(), member.incarnation);
            let kept = known.and_then(|view| view.load_of(&identity));
            let load = kept.unwrap_or_else(|| self.fresh_load(member));
            load.set_state(state_for_placement(member, some_are_sure));
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
        }
    }

    /// Takes in the retries that operators allow, for every service.
    pub(crate) fn set_retries(&self, allowed: FleetRetryLimits) {
        self.edges().set_limits(allowed);
    }

    fn edges(&self) -> MutexGuard<'_, EdgeRetryBudgets> {
        self.edges.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fresh_load(&self, member: &Member) -> Arc<PeerLoad> {
        let is_near = member.data_centre == *self.own_data_centre;
        Arc::new(PeerLoad::new(is_near, member.upstream(), Instant::now()))
    }

    /// How long the caller of a request on this route has waited before it came,
    /// by how long it says that it still waits.
    pub(crate) fn estimate_time_waited(&self, route_id: u64, time_left: Duration) -> Duration {
        let mut patiences = self
            .patiences
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if patiences.len() >= PATIENCES_LIMIT && !patiences.contains_key(&route_id) {
            patiences.clear();
        }
        patiences
            .entry(route_id)
            .or_default()
            .estimate_waited(time_left)
    }

    /// Remembers which service a kind of work belongs to.
    pub(crate) fn register_work_kind(&self, kind: WorkKind, service: &str) {
        let mut kinds = self
            .service_of_kind
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        kinds.entry(kind).or_insert_with(|| service.into());
    }

    /// Shed level that calls of a kind meet below this node.
    pub(crate) fn shed_level_of_kind(&self, kind: WorkKind) -> ShedLevel {
        let service = self
            .service_of_kind
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&kind)
            .cloned();
        let view = service.and_then(|service| self.service(&service));
        view.map_or(ShedLevel::OPEN, |view| view.level(kind))
    }
}

impl ServiceView {
    /// Whether a request may go on to the service; see [`EntryShedder`].
    pub(crate) fn admits(
        &self,
        kind: WorkKind,
        rank: ClassRank,
        root: RootRequestId,
        invested: bool,
    ) -> bool {
        let mut shedder = self.shedder.lock().unwrap_or_else(PoisonError::into_inner);
        shedder.admits(kind, rank, root, invested, Instant::now())
    }

    pub(crate) fn level(&self, kind: WorkKind) -> ShedLevel {
        self.shedder
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .level(kind, Instant::now())
    }

    pub(crate) fn learn(&self, index: usize, kind: WorkKind, hint: &LoadHint) {
        let mut shedder = self.shedder.lock().unwrap_or_else(PoisonError::into_inner);
        shedder.learn(index, kind, hint, Instant::now());
    }

    /// Whether these are the same starts in the same order: only then do the
    /// shedder's numbers still mean the same nodes.
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

/// Placement asks one question: does it take calls? One that may be down is
/// passed over while others are surely up: a frozen node holds each call placed
/// on it until the caller's patience ends.
fn state_for_placement(member: &Member, some_are_sure: bool) -> UpstreamState {
    match member.state() {
        NodeState::Ready => member.upstream(),
        NodeState::Suspect if !some_are_sure => member.upstream(),
        _ => UpstreamState::Draining,
    }
}
