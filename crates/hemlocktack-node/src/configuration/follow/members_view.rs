//! What the follower needs to know of the other members.

use hemlocktack_fleet::configuration::{
    PeerView, StoreCandidate, StoreContactView, store_watchers,
};
use hemlocktack_protocol::{Member, NodeState, StoreContact};
use hemlocktack_telemetry::{Event as LogEvent, log_event};

use super::Follower;
use crate::node::Node;

impl Follower {
    pub(super) fn contact_view(&self, is_watcher: bool) -> StoreContactView {
        let members = self.node.members();
        let local = || local_followers(&self.node, &members);
        let is_served = |member: &&Member| member.store_contact() == StoreContact::Served;
        StoreContactView {
            is_active: is_watcher || self.node.store_access.is_source(),
            local_nodes: local().count() + 1,
            are_others_served: local().filter(is_served).count() >= self.watchers,
        }
    }

    pub(super) fn peer_view(&self) -> PeerView {
        let view = self.members_view();
        if self.node.store_access.set_watching(view.is_watcher) {
            let is_watching = view.is_watcher;
            let (era, revision) = (self.revision.era, self.revision.number);
            let members = self.node.members();
            let is_refused = |member: &&Member| member.store_contact() == StoreContact::Refused;
            let others_refused = local_followers(&self.node, &members).filter(is_refused);
            log_event!(
                LogEvent::StoreWatchChanged,
                is_watching,
                era,
                revision,
                others_refused = others_refused.count()
            );
        }
        view
    }

    fn members_view(&self) -> PeerView {
        let members = self.node.members();
        let own_id = &*self.node.identity.node_id;
        let others = || members.iter().filter(|member| member.node_id != own_id);
        let is_ready = |member: &&Member| member.state() == NodeState::Ready;
        let local = local_followers(&self.node, &members).map(candidate);
        let own = StoreCandidate {
            node_id: own_id,
            contact: self.node.store_access.contact(),
        };
        let watchers = store_watchers(local.chain([own]), self.watchers);
        // Only a starting node queries peers that have not announced a generation.
        let is_starting = !self.state.is_caught_up();
        let ready = others().filter(is_ready).filter(|_| is_starting);
        PeerView {
            ready: ready.map(|member| member.node_id.clone()).collect(),
            is_watcher: watchers.contains(&own_id),
        }
    }
}

/// Returns the other live nodes of the data centre that follow the configuration.
fn local_followers<'a>(node: &Node, members: &'a [Member]) -> impl Iterator<Item = &'a Member> {
    let (own_id, data_centre) = (&*node.identity.node_id, &*node.settings.data_centre);
    members.iter().filter(move |member| {
        let follows = matches!(member.state(), NodeState::Ready | NodeState::Starting);
        follows && member.node_id != own_id && member.data_centre == data_centre
    })
}

/// Returns a member as a candidate for calls to the store.
pub(crate) fn candidate(member: &Member) -> StoreCandidate<'_> {
    StoreCandidate {
        node_id: &member.node_id,
        contact: member.store_contact(),
    }
}
