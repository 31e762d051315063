//! What this node knows of the others and says of itself.

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
    /// All nodes known, this one included.
    pub(crate) fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Takes in a new view of the fleet.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        self.log_changes(&members);
        self.services.update(&members, self.place_among(&members));
        self.platform.set_node_count(members.len());
        // A stopping node that is not known here yet may still commit.
        self.receiving().retain_offers_of(|from| {
            let known = members
                .iter()
                .find(|member| *member.node_id == *from.node_id);
            known.is_none_or(|known| {
                let has_gone = matches!(known.state(), NodeState::Left | NodeState::Dead);
                known.incarnation == from.incarnation && !has_gone
            })
        });
        self.members.store(Arc::new(members));
    }

    /// This node's number among those that may make retries, by their names. One
    /// that may be down still counts: it may only be out of reach from here.
    fn place_among(&self, members: &[Member]) -> NodePosition {
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

    /// One line for each change of belief, with the version that it rests on.
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

    /// Where a member is reached; `None` if its address cannot be read.
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

    /// Where links to this start of a node are dialled, as far as it is known here.
    pub(crate) fn link_address_of(&self, node: &NodeIncarnation) -> Option<String> {
        let members = self.members.load();
        let member = members.iter().find(|member| {
            *member.node_id == *node.node_id && member.incarnation == node.incarnation
        })?;
        Some(member.link_address.clone())
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

    /// Tables of stopping nodes on their way here.
    pub(crate) fn receiving(&self) -> MutexGuard<'_, IncomingHandovers> {
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
            slots: self.publication().slots,
            start_order: self.start_order,
            // Membership counts the versions.
            version: 0,
        }
    }
}
