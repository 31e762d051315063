//! The membership of one node: its own record and what it believes of others.

use std::net::SocketAddr;
use std::time::Instant;

use hemlocktack_protocol::{
    Generation, Gossip, Incarnation, Member, NodeState, Succession, SuspectRequest, UpstreamState,
};
use rand::Rng;

use super::gossip_queue::News;
use super::probes::Probes;
use super::record;
use super::settings::{MembershipSafeguard, MembershipSettings};
use super::table::{self, Entry, Table};
use crate::drain::PublishedState;

/// What the runtime has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send one datagram.
    Send {
        /// Gossip address of the receiver.
        to: SocketAddr,
        /// What to send; a MAC goes behind it.
        gossip: Box<Gossip>,
    },
    /// The members or their states changed: take a new snapshot.
    MembersChanged,
    /// Another node of the service found requests that crash upstreams.
    SuspectsReceived {
        /// What it found.
        suspects: Vec<SuspectRequest>,
    },
    /// A peer has a higher generation in force than this node.
    NewerGenerationSeen {
        /// Peer to pull from.
        node_id: String,
        /// Its generation in force.
        generation: Generation,
    },
    /// A later start of this node's own id runs at another address: this one
    /// has been replaced and must drain.
    Superseded {
        /// Incarnation of the replacement.
        by: Incarnation,
    },
}

/// What this node believes of another one.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The other node's own last word.
    pub member: Member,
    /// Its state with others' accusations: may be `Suspect` or `Dead`.
    pub state: NodeState,
}

impl Peer {
    /// Whether new calls may be placed on it.
    pub fn accepts_new_calls(&self) -> bool {
        let upstream = self.member.upstream();
        self.state == NodeState::Ready
            && matches!(upstream, UpstreamState::Cold | UpstreamState::Ready)
    }
}

/// Comparison of this node's table with one peer's, page by page.
pub(super) struct Sweep {
    pub(super) peer: SocketAddr,
    pub(super) cursor: String,
}

/// Membership as one node sees it.
///
/// Each period it probes one member and tells news on the datagrams that the
/// probes need anyway. So what a node sends and receives is the same whether
/// the fleet has 8 nodes or 560; only the time until all have heard grows, with
/// the logarithm.
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: Member,
    pub(super) generation: Generation,
    pub(super) table: Table,
    pub(super) news: News,
    pub(super) probes: Probes,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) sweep: Option<Sweep>,
    pub(super) joined: bool,
    /// Set while a whole table is read at once: after the start, and after a
    /// pause of this process.
    pub(super) reading_since: Option<Instant>,
    /// Seeds have come that nobody was asked by yet.
    pub(super) asks_seeds: bool,
    /// Members whose tables have been read since then.
    pub(super) read_from: Vec<SocketAddr>,
    pub(super) pulled: Instant,
    pub(super) now: Instant,
    pub(super) last_tick: Instant,
    pub(super) next_period: Instant,
    pub(super) next_retry: Instant,
    pub(super) next_sync: Instant,
    pub(super) pages_given: u32,
    pub(super) urgent_sent: u32,
}

impl Membership {
    /// Starts with this node alone. `own` carries a fresh incarnation; its
    /// `start_order` is the wall clock in milliseconds, which only has to rank
    /// one node id's starts and is raised if it does not.
    pub fn new(settings: MembershipSettings, mut own: Member, now: Instant) -> Self {
        own.version = own.version.max(1);
        if !settings.keeps(MembershipSafeguard::StartOrder) {
            own.start_order = 0;
        }
        let mut news = News::new(own.incarnation);
        news.push(&own.node_id);
        Self {
            settings,
            own,
            generation: 0,
            table: Table::default(),
            news,
            probes: Probes::default(),
            seeds: Vec::new(),
            sweep: None,
            joined: false,
            reading_since: Some(now),
            asks_seeds: false,
            read_from: Vec::new(),
            pulled: now,
            now,
            last_tick: now,
            next_period: now,
            next_retry: now,
            next_sync: now,
            pages_given: 0,
            urgent_sent: 0,
        }
    }

    /// Gossip addresses to try where nobody else is known, from settings or
    /// from the platform's objects. Replaces earlier ones.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.asks_seeds = true;
    }

    /// This node's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Generation that this node tells others it has in force.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Whether a whole table was read from a peer, or nobody answered at all.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// All others that are known, dead and left ones too.
    pub fn peers(&self) -> Vec<Peer> {
        let peer = |(_, entry): (&String, &Entry)| Peer {
            member: entry.member.clone(),
            state: entry.state,
        };
        self.table.entries().map(peer).collect()
    }

    /// One other node, if it is known.
    pub fn peer(&self, node_id: &str) -> Option<Peer> {
        let entry = self.table.get(node_id)?;
        Some(Peer {
            member: entry.member.clone(),
            state: entry.state,
        })
    }

    /// Says something new of this node. News of leaving goes to several peers
    /// at once; everything else rides on the next datagrams.
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
            self.tell_at_once(vec![self.own.clone()], &mut actions, rng);
        }
        actions
    }

    /// Tells others the epoch that this node's tickets are issued in, and whose
    /// tickets it has taken over. A succession is told at once: until it is
    /// known, re-sends of the old home's calls find nobody.
    pub fn update_tickets(
        &mut self,
        epoch: u64,
        successions: Vec<Succession>,
        rng: &mut impl Rng,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let has_taken_over = self.own.successions != successions;
        if self.own.ticket_epoch == epoch && !has_taken_over {
            return actions;
        }
        self.own.ticket_epoch = epoch;
        self.own.successions = successions;
        self.raise_own_version();
        if has_taken_over {
            self.tell_at_once(vec![self.own.clone()], &mut actions, rng);
        }
        actions
    }

    /// Takes note of the generation in force here and tells several peers at
    /// once. Without that a change would take a probe period for each doubling
    /// of the nodes that have it.
    pub fn set_generation(
        &mut self,
        generation: Generation,
        rng: &mut impl Rng,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if generation > self.generation {
            self.generation = generation;
            self.tell_at_once(Vec::new(), &mut actions, rng);
        }
        actions
    }

    /// Tells the other nodes of this service about requests that crash
    /// upstreams: they run the same ones next. A service is small, whatever
    /// the fleet's size; the limit holds if it is not.
    pub fn send_suspects(&mut self, suspects: &[SuspectRequest]) -> Vec<MembershipAction> {
        const TOLD_LIMIT: usize = 32;
        const SUSPECTS_LIMIT: usize = 16;
        let is_told = |entry: &&Entry| entry.member.service == self.own.service;
        let told = self.table.live().map(|(_, entry)| entry).filter(is_told);
        let addresses: Vec<SocketAddr> = told.filter_map(|entry| entry.address).collect();
        let told = addresses.into_iter().take(TOLD_LIMIT);
        let sends = told.map(|to| {
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
        self.news.push(&self.own.node_id);
    }

    pub(super) fn digest(&self) -> u64 {
        self.table.digest() ^ table::member_digest(&self.own)
    }
}
