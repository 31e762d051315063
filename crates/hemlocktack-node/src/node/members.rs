//! The members known to this node, and the record it publishes about itself.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard, PoisonError};

use hemlocktack_decide::NodePosition;
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::handover::IncomingHandovers;
use hemlocktack_protocol::{Member, NodeState, Succession};
use hemlocktack_telemetry::{Event, log_event};

use super::Node;
use crate::links::Peer;

/// Where a member is reached.
pub(crate) enum NodeLocation {
    Local,
    Remote(Peer),
}

impl Node {
    /// Returns all known nodes, including this one.
    pub(crate) fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Replaces the known members and updates everything derived from them.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        self.log_changes(&members);
        self.services
            .update(&members, self.position_among(&members));
        self.platform.set_node_count(members.len());
        // A stopping node that is not known here yet may still commit its handover.
        self.incoming_handovers().retain_offers_of(|from| {
            let known = members
                .iter()
                .find(|member| *member.node_id == *from.node_id);
            known.is_none_or(|known| {
                let is_gone = matches!(known.state(), NodeState::Left | NodeState::Dead);
                known.incarnation == from.incarnation && !is_gone
            })
        });
        self.forget_notices_of_former_members(&members);
        self.members.store(Arc::new(members));
    }

    /// Returns this node's position, by name, among the nodes that may make retries. A node
    /// that seems to be down still counts, because it may only be unreachable from here.
    fn position_among(&self, members: &[Member]) -> NodePosition {
        let has_left = |member: &&Member| member.state() == NodeState::Left;
        let others = members.iter().filter(|member| !has_left(member));
        let names = others.map(|member| member.node_id.as_str());
        let others: Vec<&str> = names
            .filter(|name| *name != &*self.identity.node_id)
            .collect();
        let before = others
            .iter()
            .filter(|name| **name < &*self.identity.node_id);
        NodePosition {
            index: before.count(),
            count: others.len() + 1,
        }
    }

    /// Logs one line per changed member, with the version of its record.
    fn log_changes(&self, members: &[Member]) {
        let known = self.members.load();
        for member in members {
            let before = known.iter().find(|known| known.node_id == member.node_id);
            let is_same = before.is_some_and(|before| {
                before.incarnation == member.incarnation
                    && before.state == member.state
                    && before.upstream == member.upstream
            });
            if is_same {
                continue;
            }
            let state: &'static str = member.state().into();
            let upstream: &'static str = member.upstream().into();
            log_event!(
                Event::PeerChanged,
                node = member.node_id,
                incarnation = member.incarnation,
                version = member.version,
                state,
                upstream
            );
        }
    }

    /// Returns where a member is reached; `None` if its address cannot be parsed.
    pub(crate) fn locate(&self, member: &Member) -> Option<NodeLocation> {
        if *member.node_id == *self.identity.node_id {
            return Some(NodeLocation::Local);
        }
        let link_address: SocketAddr = member.link_address.parse().ok()?;
        Some(NodeLocation::Remote(Peer {
            node_id: member.node_id.as_str().into(),
            link_address,
        }))
    }

    /// Returns the link address of this incarnation of a node, if it is known.
    pub(crate) fn link_address_of(&self, node: &NodeIncarnation) -> Option<String> {
        let members = self.members.load();
        let member = members.iter().find(|member| {
            *member.node_id == *node.node_id && member.incarnation == node.incarnation
        })?;
        Some(member.link_address.clone())
    }

    /// Returns the node that took over the tickets of `home`, as published by members.
    pub(crate) fn successor_of(&self, home: &NodeIncarnation) -> Option<NodeIncarnation> {
        let members = self.members.load();
        let is_for_home = |succession: &Succession| {
            succession.home_incarnation == home.incarnation
                && *succession.home_node_id == *home.node_id
        };
        let successor = members
            .iter()
            .find(|member| member.successions.iter().any(is_for_home))?;
        Some(NodeIncarnation::new(
            successor.node_id.as_str(),
            successor.incarnation,
        ))
    }

    /// Ticket tables that stopping nodes are handing over to this node.
    pub(crate) fn incoming_handovers(&self) -> MutexGuard<'_, IncomingHandovers> {
        self.incoming_handovers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the other homes whose tickets this node took over.
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

    /// Returns the record that this node publishes about itself.
    pub(crate) fn own_member(&self) -> Member {
        // Both lock the table; in a single expression they would hold the lock at the same
        // time and deadlock.
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
            slots: self.published_state().slots,
            start_order: self.start_order,
            store_contact: self.store_access.contact().into(),
            // Set by membership.
            version: 0,
        }
    }
}
