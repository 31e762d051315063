//! The task that renews the proof.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_fleet::configuration::{StoreCandidate, store_watchers};
use hemlocktack_fleet::freshness::{
    FreshnessAction, FreshnessProof, FreshnessSettings, FreshnessSources, FreshnessState,
};
use hemlocktack_protocol::{ConfigurationDocument, Member, NodeState};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::ask_store::StoreAnswer;
use super::boot_clock::boot_time;
use crate::configuration::{self, StoreCall, StoreCallKind};
use crate::node::Node;

const TICK_PERIOD: Duration = Duration::from_millis(50);
/// How often a node without client accounts looks whether there are any.
const IDLE_PERIOD: Duration = Duration::from_millis(500);
/// More than the questions that may be unanswered at once.
const ANSWER_CAPACITY: usize = 16;

/// End of one question.
struct QuestionEnd {
    action: FreshnessAction,
    answer: Option<StoreAnswer>,
}

/// Starts the task.
pub(crate) fn start(node: &Arc<Node>) {
    tokio::spawn(run(node.clone()));
}

async fn run(node: Arc<Node>) {
    let settings = FreshnessSettings::default();
    let mut state = FreshnessState::new(settings, boot_time());
    let mut rng = StdRng::seed_from_u64(rand::random());
    let (ends, mut ended) = mpsc::channel(ANSWER_CAPACITY);
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(end) = ended.recv() => handle_end(&node, &mut state, end).await,
            () = node.signals.stopped.cancelled() => return,
            _ = ticks.tick() => {
                if !node.needs_freshness() {
                    node.store_access.set_source(false);
                    tokio::time::sleep(IDLE_PERIOD).await;
                    continue;
                }
                let sources = || sources(&node, &settings);
                for action in state.tick(boot_time(), sources, &mut rng) {
                    tokio::spawn(ask(node.clone(), action, settings.ask_timeout, ends.clone()));
                }
            }
        }
    }
}

async fn handle_end(node: &Arc<Node>, state: &mut FreshnessState, end: QuestionEnd) {
    let Some(answer) = end.answer else {
        state.failed(&end.action);
        return;
    };
    let newer = answer
        .configuration
        .filter(|document| is_newer(node, document));
    // Active before its proof counts: with the proof first, requests would be refused until then.
    if let Some(document) = &newer {
        node.install_configuration(document.clone());
    }
    if state.answered(answer.proof) {
        node.set_freshness_proof(answer.proof);
    }
    if let Some(document) = newer {
        node.send_configuration_event(configuration::Event::DocumentFound(document))
            .await;
    }
}

fn is_newer(node: &Node, document: &ConfigurationDocument) -> bool {
    !document.document.is_empty() && document.generation > node.active_generation()
}

async fn ask(
    node: Arc<Node>,
    action: FreshnessAction,
    timeout: Duration,
    ends: mpsc::Sender<QuestionEnd>,
) {
    let answer = match &action {
        FreshnessAction::AskStore => ask_store(&node).await,
        FreshnessAction::AskPeer { node_id } => ask_peer(&node, node_id, timeout).await,
    };
    let _ = ends.send(QuestionEnd { action, answer }).await;
}

async fn ask_store(node: &Arc<Node>) -> Option<StoreAnswer> {
    let call = StoreCall::start(node, StoreCallKind::Question);
    let answer = node.store_questions.ask().await;
    call.end(answer.as_ref().err());
    answer.ok()
}

async fn ask_peer(node: &Node, node_id: &str, timeout: Duration) -> Option<StoreAnswer> {
    let asked_at = boot_time();
    let deadline = Instant::now() + timeout;
    let above = node.active_generation();
    let document = configuration::pull_from_peer(node, node_id, above, deadline).await?;
    let report = document.freshness?;
    let proof = FreshnessProof::from_report(&report, asked_at);
    Some(StoreAnswer {
        proof,
        configuration: Some(document),
    })
}

fn sources(node: &Node, settings: &FreshnessSettings) -> FreshnessSources {
    let members = node.members();
    let own_id = &*node.identity.node_id;
    let is_ready = |member: &&Member| {
        matches!(member.state(), NodeState::Ready | NodeState::Draining) && member.node_id != own_id
    };
    let is_local = |member: &&Member| *member.data_centre == *node.settings.data_centre;
    let others: Vec<&Member> = members.iter().filter(is_ready).collect();
    let local = others.iter().copied().filter(is_local);
    let local: Vec<StoreCandidate> = local.map(configuration::candidate).collect();
    let own = StoreCandidate {
        node_id: own_id,
        contact: node.store_access.contact(),
    };
    let count = (local.len() + 1).div_ceil(settings.nodes_per_source);
    let live = local.into_iter().chain([own]);
    let sources = store_watchers(live, count.max(settings.min_sources));
    node.store_access.set_source(sources.contains(&own_id));
    let other_sources = sources.iter().filter(|id| **id != own_id);
    FreshnessSources {
        is_source: sources.contains(&own_id),
        local_sources: other_sources.map(|id| (*id).to_owned()).collect(),
        others: others.iter().map(|member| member.node_id.clone()).collect(),
    }
}
