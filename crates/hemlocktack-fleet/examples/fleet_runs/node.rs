//! The slot of a node: its identity and addresses, and the process that runs there.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{ConfigurationState, PeerView, watches_platform};
use hemlocktack_fleet::drain::NodeLifecycle;
use hemlocktack_fleet::membership::{Membership, Peer};
use hemlocktack_protocol::{Generation, Incarnation, Member, NodeState};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::world::Settings;

/// Identity of a node, which restarts keep, and its present process.
pub(crate) struct Slot {
    pub(crate) node_id: String,
    pub(crate) data_centre: String,
    pub(crate) region: String,
    pub(crate) address: SocketAddr,
    pub(crate) process: Option<Process>,
    /// The process handles no events until then.
    pub(crate) frozen_until: Duration,
    /// When the node was last frozen, partitioned, killed or started; lies in the future for a
    /// partitioned node, which first has to reconnect.
    pub(crate) disturbed_at: Duration,
    /// Incarnation and time of the last planned stop that other nodes could be told of.
    pub(crate) left: Option<(Incarnation, Duration)>,
    /// Base of the clock that start orders are taken from.
    pub(crate) clock_ms: u64,
}

/// One process of a node, from its start to its end.
pub(crate) struct Process {
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Duration,
    pub(crate) membership: Membership,
    pub(crate) configuration: ConfigurationState,
    pub(crate) lifecycle: NodeLifecycle,
    /// Highest generation ever installed by this process.
    pub(crate) installed: Generation,
    /// When the process began to leave.
    pub(crate) leaving_since: Option<Duration>,
    /// When its upstream was asked to drain.
    pub(crate) upstream_drained: Option<Duration>,
    /// Address that its upstream announces.
    pub(crate) upstream_address: SocketAddr,
    /// Calls in flight, which a drain waits for.
    pub(crate) in_flight: usize,
    /// Generation that was in force everywhere when the process started.
    pub(crate) min_generation: Generation,
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
            disturbed_at: Duration::ZERO,
            left: None,
            clock_ms: START_CLOCK_MS,
        }
    }

    /// Starts a process with a new incarnation and a clock that may be behind that of the previous
    /// process.
    pub(crate) fn start(
        &mut self,
        settings: &Settings,
        now: Duration,
        instant: Instant,
        min_generation: Generation,
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
        self.disturbed_at = now;
        self.process = Some(Process {
            incarnation: member.incarnation,
            started: now,
            membership: Membership::new(settings.membership.clone(), member, instant),
            configuration: ConfigurationState::new(settings.configuration.clone(), instant),
            lifecycle: NodeLifecycle::new(settings.drain.clone(), instant),
            installed: 0,
            leaving_since: None,
            upstream_drained: None,
            upstream_address: self.address,
            in_flight: 0,
            min_generation,
        });
    }

    pub(crate) fn is_frozen(&self, now: Duration) -> bool {
        now < self.frozen_until
    }
}

impl Process {
    pub(crate) fn peer_view(&self, watchers: usize) -> PeerView {
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
