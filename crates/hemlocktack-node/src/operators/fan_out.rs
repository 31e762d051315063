//! Queries many nodes concurrently.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{Member, NodeState, frame};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::node::{Node, NodeLocation};

/// Shorter than the timeout of the command-line tool, so that the operator gets the
/// answers of the nodes that responded.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of concurrent queries: a fleet of 560 nodes is queried in nine rounds.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// Answers of the other nodes.
pub(super) struct Answers {
    pub(super) bodies: Vec<frame::Body>,
    /// Nodes that did not answer in time.
    pub(super) silent_node_ids: Vec<String>,
}

/// Queries every other node that may be running and that `is_selected` accepts.
pub(super) async fn query_others(
    node: &Arc<Node>,
    is_selected: impl Fn(&Member) -> bool,
    query: impl Fn(u64) -> frame::Body + Clone + Send + 'static,
) -> Answers {
    let members = node.members();
    let others = members
        .iter()
        .filter(|member| *member.node_id != *node.identity.node_id)
        .filter(|member| may_be_running(member) && is_selected(member));
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_QUERIES));
    let mut queries = JoinSet::new();
    for member in others {
        let (node, member) = (node.clone(), member.clone());
        let (permits, query) = (permits.clone(), query.clone());
        queries.spawn(async move {
            let _permit = permits.acquire_owned().await;
            let answer = query_one(&node, &member, query).await;
            answer.ok_or(member.node_id)
        });
    }
    collect(queries).await
}

async fn collect(mut queries: JoinSet<Result<frame::Body, String>>) -> Answers {
    let mut bodies = Vec::new();
    let mut silent_node_ids = Vec::new();
    while let Some(answer) = queries.join_next().await {
        match answer {
            Ok(Ok(body)) => bodies.push(body),
            Ok(Err(node_id)) => silent_node_ids.push(node_id),
            Err(_) => {}
        }
    }
    silent_node_ids.sort();
    Answers {
        bodies,
        silent_node_ids,
    }
}

/// Queries one other node.
pub(super) async fn query_one(
    node: &Node,
    member: &Member,
    query: impl FnOnce(u64) -> frame::Body,
) -> Option<frame::Body> {
    let NodeLocation::Remote(peer) = node.locate(member)? else {
        return None;
    };
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    node.links.query(&peer, deadline, query).await
}

fn may_be_running(member: &Member) -> bool {
    !matches!(member.state(), NodeState::Left | NodeState::Dead)
}
