//! Reports to the grantors, one task for each group of accounts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_fleet::quotas::{AccountGroup, WaitingRequest};
use hemlocktack_protocol::{
    BootTime, Incarnation, Member, NodeState, QuotaGrant, QuotaReport, frame,
};

use super::answer::answer_report;
use super::waiters::Waiter;
use crate::freshness::boot_time;
use crate::node::{Node, NodeLocation};

/// How often a node without quotas looks whether there are any.
const IDLE_PERIOD: Duration = Duration::from_millis(500);

/// Shortest time after which the grantor is asked again for a waiting request.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(5);

/// The grantor of a group, as this node sees it.
struct Grantor {
    location: NodeLocation,
    node_id: String,
    incarnation: Incarnation,
}

/// Starts the tasks.
pub(crate) fn start(node: &Arc<Node>) {
    for group in 0..node.quotas.settings.groups {
        tokio::spawn(run(node.clone(), group));
    }
}

async fn run(node: Arc<Node>, group: AccountGroup) {
    let queue = &node.quotas.groups[group as usize];
    let mut next = NextReport::default();
    loop {
        let pause = match node.has_quotas() {
            true => next.pause(&node, group),
            false => IDLE_PERIOD,
        };
        tokio::select! {
            () = queue.has_waiting.notified() => {}
            () = tokio::time::sleep(pause) => {}
            () = node.signals.stopped.cancelled() => return,
        }
        if node.has_quotas() && next.pause(&node, group).is_zero() {
            let interval_ends = boot_time().plus(node.quotas.settings.report_interval);
            let has_grantor = exchange(&node, group).await;
            next = NextReport {
                interval_ends,
                // Without a grantor, requests that are due must not cause reports in a loop.
                not_before: match has_grantor {
                    true => BootTime::default(),
                    false => interval_ends,
                },
            };
        }
    }
}

/// When a node reports next.
#[derive(Clone, Copy, Default)]
struct NextReport {
    interval_ends: BootTime,
    not_before: BootTime,
}

impl NextReport {
    /// Returns the time until the interval is over or a waiting request is due.
    fn pause(&self, node: &Node, group: AccountGroup) -> Duration {
        let next_due = node.quotas.groups[group as usize].waiters().next_due();
        let next = next_due.map_or(self.interval_ends, |due| due.min(self.interval_ends));
        next.max(self.not_before).saturating_since(boot_time())
    }
}

/// Reports to the group's grantor, and hands out what it grants. Returns whether there is a
/// grantor.
async fn exchange(node: &Arc<Node>, group: AccountGroup) -> bool {
    let Some(grantor) = grantor_of(node, group) else {
        return false;
    };
    let queue = &node.quotas.groups[group as usize];
    let now = boot_time();
    let waiting = queue.waiters().take_due(now);
    let share = node.quotas.owned_share(node, now);
    let requests: Vec<WaitingRequest> = waiting.iter().map(waiting_request).collect();
    let report = node
        .quotas
        .ledger()
        .report(group, grantor.incarnation, share, &requests, now);
    let Some(grant) = send(node, &grantor, report).await else {
        let pause = node.quotas.settings.grantor_pause;
        node.quotas
            .choice()
            .pass_over(&grantor.node_id, pause, boot_time());
        queue.waiters().put_back(waiting);
        if !queue.waiters().is_empty() {
            queue.has_waiting.notify_one();
        }
        return true;
    };
    let granted_at = boot_time();
    node.quotas
        .ledger()
        .granted(group, grantor.incarnation, &grant, now, granted_at);
    let later = waiting.into_iter().filter_map(|waiter| serve(node, waiter));
    let later = later.collect();
    queue.waiters().put_back(later);
    true
}

fn waiting_request(waiter: &Waiter) -> WaitingRequest {
    WaitingRequest {
        account: waiter.quota.account,
        class_rank: waiter.class_rank,
    }
}

/// Gives a waiting request a token, or tells it when to come back. Returns the request if there
/// will probably be a token while it still waits.
fn serve(node: &Node, waiter: Waiter) -> Option<Waiter> {
    let now = boot_time();
    let mut ledger = node.quotas.ledger();
    let account = waiter.quota.account;
    let grant = match ledger.take_granted(account, now) {
        Some(token) => Ok(token),
        None => Err(ledger.refused(&waiter.quota, waiter.class_rank, now)),
    };
    if let Err(retry_after) = grant
        && now.plus(retry_after) <= waiter.waits_until
    {
        if !waiter.has_waited {
            node.counters.record_quota_wait();
        }
        return Some(Waiter {
            due: now.plus(retry_after.max(MIN_ASK_INTERVAL)),
            has_waited: true,
            ..waiter
        });
    }
    if waiter.has_waited && grant.is_ok() {
        node.counters.record_quota_wait_served();
    }
    if let Err(Ok(token)) = waiter.grant.send(grant) {
        // The request was given up while it waited.
        ledger.give_back(account, token, now);
    }
    None
}

async fn send(node: &Node, grantor: &Grantor, report: QuotaReport) -> Option<QuotaGrant> {
    let NodeLocation::Remote(peer) = &grantor.location else {
        return Some(answer_report(node, grantor.incarnation, &report));
    };
    let deadline = Instant::now() + node.quotas.settings.report_timeout;
    let build = |query_id| frame::Body::QuotaReport(QuotaReport { query_id, ..report });
    let links = &node.links;
    let answer = links.query_incarnation(peer, grantor.incarnation, deadline, build);
    match answer.await? {
        frame::Body::QuotaGrant(grant) => Some(grant),
        _ => None,
    }
}

fn grantor_of(node: &Node, group: AccountGroup) -> Option<Grantor> {
    let members = node.members();
    let is_ready = |member: &&Member| member.state() == NodeState::Ready;
    let ready = members.iter().filter(is_ready);
    let ids = ready.map(|member| member.node_id.as_str());
    let chosen = node
        .quotas
        .choice()
        .choose(group, ids, boot_time())?
        .to_owned();
    let member = members.iter().find(|member| member.node_id == chosen)?;
    Some(Grantor {
        location: node.locate(member)?,
        incarnation: member.incarnation,
        node_id: chosen,
    })
}
