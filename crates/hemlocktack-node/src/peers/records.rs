//! This node's record in the platform, and the records of other nodes as seeds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_platform::json_pieces::shown;
use hemlocktack_platform::{Publication, PublishedNodes, RecordChange};
use hemlocktack_protocol::{Member, NodeState};
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
/// Largest number of seeds taken from a list.
const MAX_SEEDS: usize = 16;

/// Publishes this node's record when the node starts, becomes ready or drains, and when its address
/// or succession changes. Changes of its upstream are only gossiped; otherwise the platform's
/// writes would grow with them.
pub(crate) async fn maintain(node: Arc<Node>) {
    let mut published: Option<Member> = None;
    let mut next_list = Instant::now();
    loop {
        let own = publishable(&node);
        if published.as_ref() != Some(&own) && publish(&node, &own).await {
            published = Some(own);
        }
        if Instant::now() >= next_list {
            list_seeds(&node).await;
            next_list = Instant::now() + list_pause(&node);
        }
        tokio::select! {
            () = tokio::time::sleep(CHECK_PERIOD) => {}
            () = node.signals.stopped.cancelled() => return,
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

async fn publish(node: &Arc<Node>, own: &Member) -> bool {
    if own.state() == NodeState::Left {
        return true;
    }
    match node.records.publish(own).await {
        Ok(Publication::Published(change)) => {
            let now = boot_time();
            match change {
                RecordChange::Refreshed => {}
                RecordChange::ReplacedEarlierStart { link_address }
                    if link_address == own.link_address =>
                {
                    node.quotas.took_over_record(now);
                }
                RecordChange::Created | RecordChange::ReplacedEarlierStart { .. } => {
                    node.quotas.created_record(now);
                }
            }
            true
        }
        Ok(Publication::Replaced { by_incarnation }) => {
            log_event!(Event::RecordReplaced, by_incarnation);
            node.request_stop();
            true
        }
        Err(_) => false,
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

async fn list_seeds(node: &Node) {
    let Ok(listed) = node.records.list().await else {
        return;
    };
    log_unreadable(node, &listed);
    let others = listed.nodes.iter().map(|listed| &listed.member);
    let others = others.filter(|member| *member.node_id != *node.identity.node_id);
    let addresses = others.filter_map(|member| member.gossip_address.parse().ok());
    let mut seeds = addresses.sample(&mut rand::rng(), MAX_SEEDS);
    seeds.extend(&node.adjustable().seed_peers);
    node.seeds.store(Arc::new(seeds));
    node.signals.seeds_changed.notify_one();
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
