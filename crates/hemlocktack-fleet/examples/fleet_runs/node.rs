//! One node's slot: its addresses, and the process that runs there.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{ConfigurationState, PeerView, watches_platform};
use hemlocktack_fleet::drain::NodeLifecycle;
use hemlocktack_fleet::membership::{Membership, Peer};
use hemlocktack_protocol::{Generation, Incarnation, Member, NodeState};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::world::Settings;

/// Place of a node, the same over restarts.
pub(crate) struct Slot {
    pub(crate) node_id: String,
    pub(crate) data_centre: String,
    pub(crate) region: String,
    pub(crate) address: SocketAddr,
    pub(crate) process: Option<Process>,
    /// The process does not run until then.
    pub(crate) frozen_until: Duration,
    /// The node was frozen, cut off, killed or started at this time.
    pub(crate) disturbed: Duration,
    /// Incarnation and time of the last planned stop that others could hear of.
    pub(crate) left: Option<(Incarnation, Duration)>,
    /// Start order of the last start, so that clocks may go backwards.
    pub(crate) clock_ms: u64,
}

/// One start of a node.
pub(crate) struct Process {
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Duration,
    pub(crate) membership: Membership,
    pub(crate) in_force: ConfigurationState,
    pub(crate) life: NodeLifecycle,
    /// Highest generation ever installed by this process.
    pub(crate) installed: Generation,
    /// Since when the process has been leaving.
    pub(crate) leaving_since: Option<Duration>,
    /// Since when its upstream has been asked to drain, as this run knows it.
    pub(crate) upstream_drained: Option<Duration>,
    /// Address that its upstream announces.
    pub(crate) upstream_address: SocketAddr,
    /// Calls in flight, for the drain.
    pub(crate) in_flight: usize,
    /// Generation that was in force everywhere when the process started.
    pub(crate) floor: Generation,
}

impl Slot {
    pub(crate) fn new(number: usize, data_centre: usize, region: usize) -> Self {
        const FIRST_PORT: u16 = 20_000;
        const START_CLOCK_MS: u64 = 1_000_000;
        let port = FIRST_PORT + number as u16;
        Self {
            node_id: format!("node-{number:02}"),
            data_centre: format!("data-centre-{data_centre}"),
            region: format!("region-{region}"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            process: None,
            frozen_until: Duration::ZERO,
            disturbed: Duration::ZERO,
            left: None,
            clock_ms: START_CLOCK_MS,
        }
    }

    /// Starts a process with a fresh incarnation and a clock that may be
    /// behind the one of the start before.
    pub(crate) fn start(
        &mut self,
        settings: &Settings,
        now: Duration,
        instant: Instant,
        floor: Generation,
        rng: &mut StdRng,
    ) {
        let clock = self.clock_ms + now.as_millis() as u64;
        let member = Member {
            node_id: self.node_id.clone(),
            incarnation: rng.random(),
            state: NodeState::Starting.into(),
            service: "listings".to_owned(),
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            link_address: self.address.to_string(),
            gossip_address: self.address.to_string(),
            start_order: clock.saturating_sub(rng.random_range(0..20_000)),
            ..Member::default()
        };
        self.disturbed = now;
        self.process = Some(Process {
            incarnation: member.incarnation,
            started: now,
            membership: Membership::new(settings.membership.clone(), member, instant),
            in_force: ConfigurationState::new(settings.configuration.clone(), instant),
            life: NodeLifecycle::new(settings.drain.clone(), instant),
            installed: 0,
            leaving_since: None,
            upstream_drained: None,
            upstream_address: self.address,
            in_flight: 0,
            floor,
        });
    }

    pub(crate) fn is_frozen(&self, now: Duration) -> bool {
        now < self.frozen_until
    }
}

impl Process {
    pub(crate) fn peers_view(&self, watchers: usize) -> PeerView {
        let peers = self.membership.peers();
        let ready = |peer: &&Peer| peer.state == NodeState::Ready;
        let own = self.membership.own();
        let is_near = |peer: &&Peer| peer.member.data_centre == own.data_centre;
        let is_live = |peer: &&Peer| matches!(peer.state, NodeState::Ready | NodeState::Starting);
        let near = peers.iter().filter(is_near).filter(is_live);
        let near = near.map(|peer| peer.member.node_id.as_str());
        PeerView {
            ready: peers
                .iter()
                .filter(ready)
                .map(|peer| peer.member.node_id.clone())
                .collect(),
            is_watcher: watches_platform(&own.node_id, near, watchers),
        }
    }
}
