//! This node's record in the platform, and the records of other nodes as seeds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_platform::json_pieces::shown;
use hemlocktack_platform::{Publication, PublishedNodes, RecordChange};
use hemlocktack_protocol::{Incarnation, Member, NodeState};
use hemlocktack_telemetry::{Event, log_event};
use rand::RngExt;
use rand::seq::IteratorRandom;

use crate::freshness::boot_time;
use crate::node::Node;

/// Interval of checks whether this node's own record has changed.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Interval between lists of all records while other nodes are known. A list is a large answer for
/// the platform. It is still repeated, so that partitioned parts of a fleet find each other again
/// after membership has forgotten the other part.
const LIST_PERIOD: Duration = Duration::from_secs(30 * 60);
/// Interval between lists while no other node is known. Nodes that start together find no records
/// at first.
const ISOLATED_LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time in which a start that is alive answers the gossip of this node: several periods of probes.
const RIVAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of seeds taken from a list.
const MAX_SEEDS: usize = 16;

/// Publishes this node's record when the node starts, becomes ready or drains, when its address or
/// succession changes, and when another record stands in its place. Changes of its upstream are
/// only gossiped; otherwise the platform's writes would grow with them.
pub(crate) async fn maintain(node: Arc<Node>) {
    let mut publisher = Publisher {
        node: node.clone(),
        published: None,
        rival: None,
    };
    let mut next_list = Instant::now();
    loop {
        let own = publishable(&node);
        if publisher.published.as_ref() != Some(&own) && publisher.publish(&own).await {
            publisher.published = Some(own);
        }
        if Instant::now() >= next_list {
            if list_seeds(&node).await == Some(OwnRecord::Displaced) {
                publisher.published = None;
            }
            next_list = Instant::now() + list_pause(&node);
        }
        tokio::select! {
            () = tokio::time::sleep(CHECK_PERIOD) => {}
            () = node.signals.stopped.cancelled() => return,
        }
    }
}

/// Whether a list contains another record in the place of this node's.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OwnRecord {
    NotDisplaced,
    Displaced,
}

/// A record in the place of this node's that may belong to a later start.
struct Rival {
    incarnation: Incarnation,
    /// When the record is replaced, unless this node has been stopped by then.
    replace_at: Instant,
}

struct Publisher {
    node: Arc<Node>,
    published: Option<Member>,
    rival: Option<Rival>,
}

impl Publisher {
    /// Returns whether the record is stored.
    async fn publish(&mut self, own: &Member) -> bool {
        if own.state() == NodeState::Left {
            return true;
        }
        let now = Instant::now();
        let is_due = |rival: &Rival| rival.replace_at <= now;
        if self.rival.as_ref().is_some_and(|rival| !is_due(rival)) {
            return false;
        }
        let no_start = self.rival.take().map(|rival| rival.incarnation);
        match self.node.records.publish_over(own, no_start).await {
            Ok(Publication::Published(change)) => {
                note_change(&self.node, own, &change);
                true
            }
            Ok(Publication::Replaced { by_incarnation }) => {
                self.rival = Some(self.look_for(own, by_incarnation).await);
                false
            }
            Err(_) => {
                self.rival = no_start.map(|incarnation| Rival {
                    incarnation,
                    replace_at: now,
                });
                false
            }
        }
    }

    /// Asks for the start that a record names, by gossip at the record's address.
    ///
    /// Any writer can store a record under this node's name. Only a real start answers with the
    /// fleet's key; the gossip then stops this node. If none answers, the record is replaced.
    async fn look_for(&self, own: &Member, incarnation: Incarnation) -> Rival {
        log_event!(Event::RecordReplaced, by_incarnation = incarnation);
        let found = self.node.records.read(&own.node_id).await;
        let found = found.ok().flatten();
        let address = found.and_then(|found| found.gossip_address.parse().ok());
        if let Some(address) = address {
            self.node.seeds.store(Arc::new(vec![address]));
            self.node.signals.seeds_changed.notify_one();
        }
        Rival {
            incarnation,
            replace_at: Instant::now() + RIVAL_TIMEOUT,
        }
    }
}

/// Returns this node's record without the fields that change often.
fn publishable(node: &Node) -> Member {
    Member {
        ticket_epoch: 0,
        upstream: 0,
        slots: 0,
        store_contact: 0,
        ..node.own_member()
    }
}

fn note_change(node: &Node, own: &Member, change: &RecordChange) {
    let now = boot_time();
    match change {
        RecordChange::Refreshed => {}
        RecordChange::ReplacedEarlierStart { link_address }
            if *link_address == own.link_address =>
        {
            node.quotas.took_over_record(now);
        }
        RecordChange::Created | RecordChange::ReplacedEarlierStart { .. } => {
            node.quotas.created_record(now);
        }
    }
}

fn is_isolated(node: &Node) -> bool {
    let members = node.members();
    let is_live = |member: &&Member| !matches!(member.state(), NodeState::Dead | NodeState::Left);
    members.iter().filter(is_live).count() <= 1
}

fn list_pause(node: &Node) -> Duration {
    let longest = match is_isolated(node) {
        true => ISOLATED_LIST_PERIOD,
        false => LIST_PERIOD,
    };
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Lists all records and takes some of their addresses as seeds. Returns `None` if they cannot be
/// listed.
async fn list_seeds(node: &Node) -> Option<OwnRecord> {
    let listed = node.records.list().await.ok()?;
    log_unreadable(node, &listed);
    let own_id = &*node.identity.node_id;
    let addresses_of = |is_own_name: bool| {
        let members = listed.nodes.iter().map(|listed| &listed.member);
        let wanted = members.filter(move |member| (member.node_id == own_id) == is_own_name);
        wanted.filter_map(|member| member.gossip_address.parse().ok())
    };
    let mut seeds: Vec<SocketAddr> = addresses_of(false).sample(&mut rand::rng(), MAX_SEEDS);
    // Only differs from this node's own address if a record of another start stands in its place.
    seeds.extend(addresses_of(true));
    seeds.extend(&node.adjustable().seed_peers);
    node.seeds.store(Arc::new(seeds));
    node.signals.seeds_changed.notify_one();
    Some(own_record(node, &listed))
}

fn own_record(node: &Node, listed: &PublishedNodes) -> OwnRecord {
    let own = &node.identity;
    let is_displaced = listed.nodes.iter().any(|listed| {
        *listed.member.node_id == *own.node_id && listed.member.incarnation != own.incarnation
    });
    match is_displaced || listed.is_malformed(&own.node_id) {
        true => OwnRecord::Displaced,
        false => OwnRecord::NotDisplaced,
    }
}

/// Logs records that cannot be read, such as those of another writer. They are ignored otherwise.
fn log_unreadable(node: &Node, listed: &PublishedNodes) {
    let unreadable = listed.malformed_keys.len() + listed.unreadable_count;
    if unreadable == 0 {
        return;
    }
    if let Some(count) = node.unreadable_answers.record() {
        let first_key = listed.malformed_keys.first().map(|key| shown(key));
        let place = listed.first_unreadable.clone().or(first_key);
        let place = place.unwrap_or_default();
        let detail = format!("{unreadable} node records cannot be read, the first is {place}");
        log_event!(Event::PlatformUnreadable, detail, count);
    }
}
