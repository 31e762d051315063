//! One question to many nodes at once.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{Member, NodeState, frame};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::node::{Node, NodeLocation};

/// Below the command line's timeout, so that the operator gets the answers of
/// those that did answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Questions at the same time: a fleet of 560 is asked in nine rounds.
const QUESTIONS_AT_ONCE: usize = 64;

/// What the others answered.
pub(super) struct Answers {
    pub(super) bodies: Vec<frame::Body>,
    /// Nodes that did not answer in time.
    pub(super) silent_node_ids: Vec<String>,
}

/// Asks every other node that may run and that `is_meant`.
pub(super) async fn ask_others(
    node: &Arc<Node>,
    is_meant: impl Fn(&Member) -> bool,
    question: impl Fn(u64) -> frame::Body + Clone + Send + 'static,
) -> Answers {
    let members = node.members();
    let others = members
        .iter()
        .filter(|member| *member.node_id != *node.identity.node_id)
        .filter(|member| may_run(member) && is_meant(member));
    let turns = Arc::new(Semaphore::new(QUESTIONS_AT_ONCE));
    let mut asked = JoinSet::new();
    for member in others {
        let (node, member) = (node.clone(), member.clone());
        let (turns, question) = (turns.clone(), question.clone());
        asked.spawn(async move {
            let _turn = turns.acquire_owned().await;
            let answer = ask(&node, &member, question).await;
            answer.ok_or(member.node_id)
        });
    }
    collect(asked).await
}

async fn collect(mut asked: JoinSet<Result<frame::Body, String>>) -> Answers {
    let mut bodies = Vec::new();
    let mut silent_node_ids = Vec::new();
    while let Some(answer) = asked.join_next().await {
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

/// Asks one other node.
pub(super) async fn ask(
    node: &Node,
    member: &Member,
    question: impl FnOnce(u64) -> frame::Body,
) -> Option<frame::Body> {
    let NodeLocation::Remote(peer) = node.locate(member)? else {
        return None;
    };
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    node.links.query(&peer, deadline, question).await
}

fn may_run(member: &Member) -> bool {
    !matches!(member.state(), NodeState::Left | NodeState::Dead)
}
