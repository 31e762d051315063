//! Membership state of one node: its own record and its view of the other nodes.

use std::net::SocketAddr;
use std::time::Instant;

use hemlocktack_protocol::{
    Generation, Gossip, Incarnation, Member, NodeState, StoreContact, Succession, SuspectRequest,
    UpstreamState,
};
use rand::Rng;

use super::gossip_queue::GossipQueue;
use super::probes::Probes;
use super::record;
use super::settings::{MembershipSafeguard, MembershipSettings};
use super::table::{self, Entry, Table};
use crate::drain::PublishedState;

/// Action for the runtime to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send one datagram.
    Send {
        /// Gossip address of the recipient.
        to: SocketAddr,
        /// Message to send; its MAC is appended.
        gossip: Box<Gossip>,
    },
    /// The members or their states changed, so a new snapshot is needed.
    MembersChanged,
    /// Another node of the service reported requests that crash upstreams.
    SuspectsReceived {
        /// The reported requests.
        suspects: Vec<SuspectRequest>,
    },
    /// A peer has a higher active generation than this node.
    NewerGenerationSeen {
        /// Peer to pull from.
        node_id: String,
        /// The peer's active generation.
        generation: Generation,
    },
    /// A later incarnation with this node's id runs at another address. This node has been replaced
    /// and must drain.
    Superseded {
        /// Incarnation of the replacement.
        by: Incarnation,
    },
}

/// This node's view of another node.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The latest record published by the other node itself.
    pub member: Member,
    /// Its state, including accusations by other nodes: may be `Suspect` or `Dead`.
    pub state: NodeState,
}

impl Peer {
    /// Returns whether new calls may be sent to it.
    pub fn accepts_new_calls(&self) -> bool {
        let upstream = self.member.upstream();
        self.state == NodeState::Ready
            && matches!(upstream, UpstreamState::Cold | UpstreamState::Ready)
    }
}

/// Page-by-page comparison of this node's table with that of a peer.
pub(super) struct TableSync {
    pub(super) peer: SocketAddr,
    pub(super) cursor: String,
}

/// Membership state machine of one node.
///
/// In each period it probes one member, and piggybacks updates on the datagrams that the probes
/// need anyway. The traffic of a node is therefore the same whether the fleet has 8 nodes or 560.
/// Only the time until an update has reached all nodes grows, logarithmically.
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: Member,
    pub(super) generation: Generation,
    pub(super) table: Table,
    pub(super) gossip_queue: GossipQueue,
    pub(super) probes: Probes,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) table_sync: Option<TableSync>,
    pub(super) joined: bool,
    /// Set while this node reads whole tables from peers: after its start, and after a pause of its
    /// process.
    pub(super) full_read_since: Option<Instant>,
    /// Whether there are new seeds that have not been queried yet.
    pub(super) seeds_changed: bool,
    /// Members whose tables have been read since `full_read_since`.
    pub(super) tables_read_from: Vec<SocketAddr>,
    pub(super) last_pull: Instant,
    pub(super) now: Instant,
    pub(super) last_tick: Instant,
    pub(super) next_period: Instant,
    pub(super) next_retry: Instant,
    pub(super) next_sync: Instant,
    pub(super) pages_sent: u32,
    pub(super) urgent_sent: u32,
    pub(super) contacts_sent: u32,
}

impl Membership {
    /// Creates the state of a node that knows no other nodes.
    ///
    /// `own` has a new incarnation. Its `start_order` is the wall clock in milliseconds; it only
    /// has to rank the incarnations of one node id, and is raised if it does not.
    pub fn new(settings: MembershipSettings, mut own: Member, now: Instant) -> Self {
        own.version = own.version.max(1);
        if !settings.is_enabled(MembershipSafeguard::StartOrder) {
            own.start_order = 0;
        }
        let mut gossip_queue = GossipQueue::new(own.incarnation);
        gossip_queue.push(&own.node_id);
        Self {
            settings,
            own,
            generation: 0,
            table: Table::default(),
            gossip_queue,
            probes: Probes::default(),
            seeds: Vec::new(),
            table_sync: None,
            joined: false,
            full_read_since: Some(now),
            seeds_changed: false,
            tables_read_from: Vec::new(),
            last_pull: now,
            now,
            last_tick: now,
            next_period: now,
            next_retry: now,
            next_sync: now,
            pages_sent: 0,
            urgent_sent: 0,
            contacts_sent: 0,
        }
    }

    /// Replaces the seeds: gossip addresses to contact while their nodes are unknown, from the
    /// settings or from the platform's objects.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.seeds_changed = true;
    }

    /// Returns this node's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the active generation that this node announces.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns whether a whole table was read from a peer, or nobody answered in time.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Returns all other known nodes, including those that are dead or have left.
    pub fn peers(&self) -> Vec<Peer> {
        let peer = |(_, entry): (&String, &Entry)| Peer {
            member: entry.member.clone(),
            state: entry.state,
        };
        self.table.entries().map(peer).collect()
    }

    /// Returns another node, if it is known.
    pub fn peer(&self, node_id: &str) -> Option<Peer> {
        let entry = self.table.get(node_id)?;
        Some(Peer {
            member: entry.member.clone(),
            state: entry.state,
        })
    }

    /// Updates this node's own record. That it leaves is sent to several peers at once; everything
    /// else is piggybacked on the next datagrams.
    pub fn update_own(
        &mut self,
        publication: PublishedState,
        rng: &mut impl Rng,
    ) -> Vec<MembershipAction> {
        let was_leaving = record::is_leaving(&self.own);
        self.own.state = publication.state.into();
        self.own.upstream = publication.upstream.into();
        self.own.slots = publication.slots;
        self.raise_own_version();
        let mut actions = Vec::new();
        let is_left = publication.state == NodeState::Left;
        if is_left || (record::is_leaving(&self.own) && !was_leaving) {
            self.send_urgent_update(vec![self.own.clone()], &mut actions, rng);
        }
        actions
    }

    /// Updates the epoch of this node's new tickets, and the homes whose tickets it has adopted.
    ///
    /// A new succession is sent at once: until others know it, re-sent calls of the old home find
    /// no home.
    pub fn update_tickets(
        &mut self,
        epoch: u64,
        successions: Vec<Succession>,
        rng: &mut impl Rng,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let has_new_succession = self.own.successions != successions;
        if self.own.ticket_epoch == epoch && !has_new_succession {
            return actions;
        }
        self.own.ticket_epoch = epoch;
        self.own.successions = successions;
        self.raise_own_version();
        if has_new_succession {
            self.send_urgent_update(vec![self.own.clone()], &mut actions, rng);
        }
        actions
    }

    /// Updates the active generation and announces it to several peers at once. Otherwise each
    /// doubling of the number of nodes that know of a change would take a probe period.
    pub fn set_generation(
        &mut self,
        generation: Generation,
        rng: &mut impl Rng,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if generation > self.generation {
            self.generation = generation;
            self.send_urgent_update(Vec::new(), &mut actions, rng);
        }
        actions
    }

    /// Updates what this node knows of its access to the store. An answer or a refusal is sent to
    /// the own data centre at once: who watches the store there follows from it.
    pub fn set_store_contact(
        &mut self,
        contact: StoreContact,
        rng: &mut impl Rng,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if self.own.store_contact() == contact {
            return actions;
        }
        self.own.store_contact = contact.into();
        self.raise_own_version();
        if contact != StoreContact::Unknown {
            self.send_store_contact(self.own.clone(), &mut actions, rng);
        }
        actions
    }

    /// Reports requests that crash upstreams to the other nodes of this service, which would
    /// otherwise run them next. A service has few nodes, whatever the size of the fleet; the limit
    /// is for services that have many.
    pub fn send_suspects(&mut self, suspects: &[SuspectRequest]) -> Vec<MembershipAction> {
        const RECIPIENTS_LIMIT: usize = 32;
        const SUSPECTS_LIMIT: usize = 16;
        let is_same_service = |entry: &&Entry| entry.member.service == self.own.service;
        let entries = self
            .table
            .live()
            .map(|(_, entry)| entry)
            .filter(is_same_service);
        let addresses: Vec<SocketAddr> = entries.filter_map(|entry| entry.address).collect();
        let recipients = addresses.into_iter().take(RECIPIENTS_LIMIT);
        let sends = recipients.map(|to| {
            let mut gossip = self.empty_datagram(None);
            gossip.suspects = suspects.iter().copied().take(SUSPECTS_LIMIT).collect();
            MembershipAction::Send {
                to,
                gossip: Box::new(gossip),
            }
        });
        sends.collect()
    }

    pub(super) fn raise_own_version(&mut self) {
        self.own.version = self.own.version.saturating_add(1);
        self.gossip_queue.push(&self.own.node_id);
    }

    pub(super) fn digest(&self) -> u64 {
        self.table.digest() ^ table::member_digest(&self.own)
    }
}
