//! Gossip over UDP, in one task that owns this node's membership state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_decide::Suspect;
use hemlocktack_fleet::keys::{MAC_LENGTH_BYTES, MacPurpose};
use hemlocktack_fleet::membership::{
    DatagramError, Membership, MembershipAction, MembershipSettings, Peer, open_datagram,
    seal_datagram,
};
use hemlocktack_protocol::{Gossip, Member, NodeState, SuspectRequest};
use hemlocktack_telemetry::{Event, log_event};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::time::{Interval, MissedTickBehavior};

use super::counts::{Direction, GossipKind};
use crate::node::Node;
use crate::run::{Result, StartError};

const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two published member lists, which calls are placed by.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(20);
/// Receive buffer, larger than any datagram that nodes send.
const BUFFER_BYTES: usize = 2048;

/// Binds the socket and starts the gossip task.
pub(super) async fn start(node: &Arc<Node>) -> Result<()> {
    let address = node.settings.gossip_listen_address;
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })?;
    let settings = MembershipSettings {
        mac_bytes: MAC_LENGTH_BYTES,
        ..MembershipSettings::default()
    };
    let gossiper = Gossiper {
        membership: Membership::new(settings, node.own_member(), Instant::now()),
        rng: StdRng::seed_from_u64(rand::random()),
        seeds: Arc::default(),
        members_changed: true,
        view_published: Instant::now(),
        socket,
        node: node.clone(),
    };
    tokio::spawn(gossiper.run());
    Ok(())
}

struct Gossiper {
    node: Arc<Node>,
    socket: UdpSocket,
    membership: Membership,
    rng: StdRng,
    seeds: Arc<Vec<SocketAddr>>,
    members_changed: bool,
    view_published: Instant,
}

impl Gossiper {
    async fn run(mut self) {
        let node = self.node.clone();
        let mut buffer = [0; BUFFER_BYTES];
        let mut ticks = ticks();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.receive(from, &buffer[..length]).await;
                    }
                }
                _ = ticks.tick() => self.tick().await,
                () = node.signals.seeds_changed.notified() => self.tick().await,
                () = node.signals.own_record_changed.notified() => {
                    self.publish_own_state().await;
                    self.send_own_suspects().await;
                }
                () = node.signals.stopped.cancelled() => return,
            }
        }
    }

    async fn receive(&mut self, from: SocketAddr, datagram: &[u8]) {
        let node = self.node.clone();
        let is_valid =
            |message: &[u8], mac: &[u8]| node.keys.verify(MacPurpose::Gossip, &[message], mac);
        let opened = open_datagram(Bytes::copy_from_slice(datagram), MAC_LENGTH_BYTES, is_valid);
        let gossip = match opened {
            Ok(gossip) => gossip,
            Err(reason) => return log_refused(&node, from, reason),
        };
        let kind = GossipKind::of(&gossip);
        node.gossip_counts
            .count(Direction::Received, kind, datagram.len());
        let actions = self
            .membership
            .receive(Instant::now(), from, gossip, &mut self.rng);
        self.execute(actions).await;
        self.publish_view(Instant::now());
    }

    async fn tick(&mut self) {
        let seeds = self.node.seeds.load_full();
        if !Arc::ptr_eq(&seeds, &self.seeds) {
            self.membership.set_seeds(seeds.to_vec());
            self.seeds = seeds;
        }
        self.node.check_upstream();
        self.publish_own_state().await;
        self.send_own_suspects().await;
        let actions = self.membership.tick(Instant::now(), &mut self.rng);
        self.execute(actions).await;
        self.publish_view(Instant::now());
    }

    /// Publishes a changed member list for call placement. This is rate-limited, because a node
    /// that starts learns of the whole fleet within a few milliseconds.
    fn publish_view(&mut self, now: Instant) {
        let is_due = now.saturating_duration_since(self.view_published) >= MIN_PUBLISH_INTERVAL;
        if is_due && std::mem::take(&mut self.members_changed) {
            self.view_published = now;
            self.node.set_members(self.snapshot());
        }
    }

    /// Sends changes of this node's own state to members; its departure is sent at once.
    async fn publish_own_state(&mut self) {
        let publication = self.node.published_state();
        let own = self.membership.own();
        let is_changed = own.state() != publication.state
            || own.upstream() != publication.upstream
            || own.slots != publication.slots;
        if is_changed {
            let actions = self.membership.update_own(publication, &mut self.rng);
            self.members_changed = true;
            self.execute(actions).await;
        }
        let own = self.node.own_member();
        let contact = own.store_contact();
        let (epoch, successions) = (own.ticket_epoch, own.successions);
        let actions = self
            .membership
            .update_tickets(epoch, successions, &mut self.rng);
        self.execute(actions).await;
        let actions = self.membership.set_store_contact(contact, &mut self.rng);
        self.execute(actions).await;
        let generation = self.node.active_generation();
        let actions = self.membership.set_generation(generation, &mut self.rng);
        self.execute(actions).await;
        if publication.state == NodeState::Left {
            self.node.signals.leave_announced.notify_one();
        }
    }

    async fn send_own_suspects(&mut self) {
        let news = self
            .node
            .admission_queue
            .with_admission(|admission| admission.quarantine().take_updates());
        if news.is_empty() {
            return;
        }
        let suspects: Vec<SuspectRequest> = news.iter().map(suspect_request).collect();
        let actions = self.membership.send_suspects(&suspects);
        self.execute(actions).await;
    }

    async fn execute(&mut self, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, gossip } => self.send(to, &gossip).await,
                MembershipAction::MembersChanged => self.members_changed = true,
                MembershipAction::NewerGenerationSeen {
                    node_id,
                    generation,
                } => self.node.report_peer_generation(node_id, generation),
                MembershipAction::SuspectsReceived { suspects } => self.record_suspects(&suspects),
                MembershipAction::Superseded { by } => {
                    log_event!(Event::RecordReplaced, by_incarnation = by);
                    self.node.request_stop();
                }
            }
        }
    }

    async fn send(&self, to: SocketAddr, gossip: &Gossip) {
        let sign = |message: &[u8]| {
            let mac = self.node.keys.sign(MacPurpose::Gossip, &[message]);
            Bytes::copy_from_slice(&mac)
        };
        let datagram = seal_datagram(gossip, sign);
        let kind = GossipKind::of(gossip);
        self.node
            .gossip_counts
            .count(Direction::Sent, kind, datagram.len());
        // A datagram that cannot be sent counts as lost; probes detect the consequences.
        let _ = self.socket.send_to(&datagram, to).await;
    }

    fn record_suspects(&self, suspects: &[SuspectRequest]) {
        let now = Instant::now();
        self.node.admission_queue.with_admission(|admission| {
            for suspect in suspects {
                admission.quarantine().learn(suspect_of(suspect), now);
            }
        });
    }

    /// Returns all nodes as this node sees them, starting with itself.
    fn snapshot(&self) -> Vec<Member> {
        let own = Member {
            start_order: self.membership.own().start_order,
            ..self.node.own_member()
        };
        let seen = |peer: Peer| Member {
            state: peer.state.into(),
            ..peer.member
        };
        let others = self.membership.peers().into_iter().map(seen);
        std::iter::once(own).chain(others).collect()
    }
}

fn log_refused(node: &Node, address: SocketAddr, reason: DatagramError) {
    if let Some(refused_count) = node.datagram_refusals.record() {
        log_event!(Event::DatagramRefused, %address, %reason, refused_count);
    }
}

/// Returns the tick timer. After a pause of this process it ticks once, not for every missed tick.
fn ticks() -> Interval {
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

fn suspect_request(suspect: &Suspect) -> SuspectRequest {
    SuspectRequest {
        fingerprint: suspect.fingerprint,
        crashes: suspect.crashes,
        proven: suspect.proven,
    }
}

fn suspect_of(request: &SuspectRequest) -> Suspect {
    Suspect {
        fingerprint: request.fingerprint,
        crashes: request.crashes,
        proven: request.proven,
    }
}
