//! A fleet of membership state machines in virtual time, with a simulated network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_fleet::drain::PublishedState;
use hemlocktack_fleet::membership::{
    Membership, MembershipAction, MembershipSafeguard, MembershipSettings,
};
use hemlocktack_protocol::{Gossip, Member, NodeState, UpstreamState};
use prost::Message;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TICK_PERIOD: Duration = Duration::from_millis(100);
const IP_AND_UDP_BYTES: usize = 28;
const DATA_CENTRES: usize = 6;
const REGIONS: usize = 2;
const SEEDS: usize = 3;

enum Event {
    Tick(usize, u64),
    Datagram {
        from: usize,
        to: usize,
        gossip: Box<Gossip>,
    },
}

/// One node; its `membership` is `None` while it is down.
pub(crate) struct Node {
    pub(crate) membership: Option<Membership>,
    incarnation: u64,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
}

pub(crate) struct World {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Duration,
    /// Whether all datagrams between the regions are lost.
    pub(crate) regions_partitioned: bool,
    /// Real time spent in the state machines.
    pub(crate) compute_time: Duration,
    disabled_safeguard: Option<MembershipSafeguard>,
    base: Instant,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    sequence: u64,
}

fn address(number: usize) -> SocketAddr {
    const FIRST_PORT: u16 = 20_000;
    SocketAddr::from(([10, 0, 0, 1], FIRST_PORT + number as u16))
}

fn node_at(address: SocketAddr) -> usize {
    usize::from(address.port()) - usize::from(first_port())
}

fn first_port() -> u16 {
    address(0).port()
}

pub(crate) fn region_of(number: usize) -> usize {
    number % DATA_CENTRES % REGIONS
}

pub(crate) fn data_centre_of(number: usize) -> usize {
    number % DATA_CENTRES
}

impl World {
    pub(crate) fn new(size: usize, disabled_safeguard: Option<MembershipSafeguard>) -> Self {
        let node = |_| Node {
            membership: None,
            incarnation: 0,
            sent_bytes: 0,
            received_bytes: 0,
        };
        let mut world = Self {
            nodes: (0..size).map(node).collect(),
            now: Duration::ZERO,
            regions_partitioned: false,
            compute_time: Duration::ZERO,
            disabled_safeguard,
            base: Instant::now(),
            rng: StdRng::seed_from_u64(1),
            queue: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            sequence: 0,
        };
        for number in 0..size {
            world.start(number);
        }
        world
    }

    pub(crate) fn start(&mut self, number: usize) {
        let incarnation = self.rng.random();
        let own = Member {
            node_id: format!("service-{:02}-node-{number:03}", number / 6),
            incarnation,
            state: NodeState::Ready.into(),
            upstream: UpstreamState::Ready.into(),
            service: format!("service-{:02}", number / 6),
            data_centre: format!("data-centre-{}", data_centre_of(number)),
            region: format!("region-{}", region_of(number)),
            link_address: address(number).to_string(),
            gossip_address: address(number).to_string(),
            start_order: 1_700_000_000_000 + self.now.as_millis() as u64,
            ticket_epoch: 1,
            slots: 45,
            ..Member::default()
        };
        let settings = MembershipSettings {
            disabled_safeguard: self.disabled_safeguard,
            ..MembershipSettings::default()
        };
        let mut membership = Membership::new(settings, own, self.base + self.now);
        let size = self.nodes.len();
        let seeds = (0..SEEDS).map(|_| address(self.rng.random_range(0..size)));
        membership.set_seeds(seeds.collect());
        self.nodes[number].membership = Some(membership);
        self.nodes[number].incarnation = incarnation;
        let offset = Duration::from_millis(self.rng.random_range(0..1_000));
        self.push(offset, Event::Tick(number, incarnation));
    }

    pub(crate) fn kill(&mut self, number: usize) {
        self.nodes[number].membership = None;
    }

    pub(crate) fn publish(&mut self, number: usize, state: NodeState) {
        let Some(membership) = &mut self.nodes[number].membership else {
            return;
        };
        let publication = PublishedState {
            state,
            upstream: UpstreamState::Ready,
            slots: 45,
        };
        let actions = membership.update_own(publication, &mut self.rng);
        self.apply_actions(number, actions);
    }

    pub(crate) fn announce_generation(&mut self, number: usize, generation: u64) {
        let Some(membership) = &mut self.nodes[number].membership else {
            return;
        };
        let actions = membership.set_generation(generation, &mut self.rng);
        self.apply_actions(number, actions);
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Runs until `holds` returns true, which is checked every `TICK_PERIOD`; returns the time that
    /// took, or `None` if it exceeded `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&World) -> bool,
    ) -> Option<Duration> {
        let started_at = self.now;
        while self.now - started_at < limit {
            self.run_for(TICK_PERIOD);
            if holds(self) {
                return Some(self.now - started_at);
            }
        }
        None
    }

    /// Returns the incarnation and state of a node as `viewer` sees it.
    pub(crate) fn view(&self, viewer: usize, number: usize) -> Option<(u64, NodeState)> {
        let membership = self.nodes[viewer].membership.as_ref()?;
        let node_id = format!("service-{:02}-node-{number:03}", number / 6);
        let peer = membership.peer(&node_id)?;
        Some((peer.member.incarnation, peer.state))
    }

    pub(crate) fn incarnation(&self, number: usize) -> u64 {
        self.nodes[number].incarnation
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        let started_at = Instant::now();
        let instant = self.base + self.now;
        let (number, actions) = match event {
            Event::Tick(number, incarnation) => {
                let node = &mut self.nodes[number];
                let Some(membership) = &mut node.membership else {
                    return;
                };
                if node.incarnation != incarnation {
                    return;
                }
                let actions = membership.tick(instant, &mut self.rng);
                self.push(TICK_PERIOD, Event::Tick(number, incarnation));
                (number, actions)
            }
            Event::Datagram { from, to, gossip } => {
                let length = datagram_bytes(&gossip);
                let node = &mut self.nodes[to];
                let Some(membership) = &mut node.membership else {
                    return;
                };
                node.received_bytes += length;
                let from = address(from);
                let actions = membership.receive(instant, from, *gossip, &mut self.rng);
                for action in &actions {
                    if let MembershipAction::NewerGenerationSeen { generation, .. } = action {
                        // Stands in for the pull over a link, which takes a few milliseconds.
                        let announcements = membership.set_generation(*generation, &mut self.rng);
                        self.compute_time += started_at.elapsed();
                        self.apply_actions(to, announcements);
                        break;
                    }
                }
                (to, actions)
            }
        };
        self.compute_time += started_at.elapsed();
        self.apply_actions(number, actions);
    }

    fn apply_actions(&mut self, from: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            let MembershipAction::Send { to, gossip } = action else {
                continue;
            };
            self.nodes[from].sent_bytes += datagram_bytes(&gossip);
            let to = node_at(to);
            let is_across = region_of(from) != region_of(to);
            if is_across && self.regions_partitioned {
                continue;
            }
            let delay_us = match is_across {
                true => self.rng.random_range(30_000..32_000),
                false => self.rng.random_range(500..1_000),
            };
            let event = Event::Datagram { from, to, gossip };
            self.push(Duration::from_micros(delay_us), event);
        }
    }
}

fn datagram_bytes(gossip: &Gossip) -> u64 {
    const MAC_BYTES: usize = 32;
    (gossip.encoded_len() + MAC_BYTES + IP_AND_UDP_BYTES) as u64
}
