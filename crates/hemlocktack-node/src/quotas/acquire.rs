//! Tokens for requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlocktack_config::ClientAccount;
use hemlocktack_fleet::quotas::{AccountQuota, QuotaToken, TokenRequest, group_of};
use hemlocktack_protocol::{AccountId, Answer, BootTime, ClassRank, Outcome, Reason, Refusal};
use rand::RngExt;
use tokio::sync::oneshot;

use super::state::quota_of;
use super::waiters::Waiter;
use crate::freshness::boot_time;
use crate::node::Node;

/// Longest time that a request waits for a grantor, and for the next one if that does not answer.
const WAIT_LIMIT: Duration = Duration::from_millis(600);
/// Part of its latency objective for which a request waits for a token.
const WAIT_SHARE: f64 = 0.125;
/// Longest time that a request waits for a token; the rest of [`WAIT_LIMIT`] is for the answer of
/// the grantor.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(400);
/// Wait after which a request that no grantor answered may come back.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The token of a request, which goes back if the request has not run.
pub(crate) struct HeldToken {
    account: AccountId,
    token: QuotaToken,
}

impl HeldToken {
    /// Gives the token back if the answer proves that the request has not run.
    pub(crate) fn settle(self, node: &Node, answer: &Answer) {
        if answer.outcome() == Outcome::NotRun {
            let mut ledger = node.quotas.ledger();
            ledger.give_back(self.account, self.token, boot_time());
        }
    }
}

/// Takes a token for a request; `None` if its account has no limit. Asks the account's grantor if
/// this node has no token.
pub(crate) async fn acquire(
    node: &Arc<Node>,
    account: &ClientAccount,
    class_rank: ClassRank,
    objective: Option<Instant>,
    deadline: Instant,
) -> Result<Option<HeldToken>, Refusal> {
    let Some(quota) = quota_of(account) else {
        return Ok(None);
    };
    let now = boot_time();
    let waits_until = now.plus(longest_wait(objective));
    let share = || node.quotas.owned_share(node, now);
    let request = node.quotas.ledger().request(&quota, class_rank, share, now);
    let token = match request {
        TokenRequest::Taken(token) => token,
        TokenRequest::Refused { retry_after } if now.plus(retry_after) > waits_until => {
            return Err(exceeded(retry_after));
        }
        TokenRequest::Refused { retry_after } => {
            node.counters.record_quota_wait();
            let wait = TokenWait {
                due: now.plus(retry_after),
                waits_until,
                has_waited: true,
            };
            wait_for_grant(node, &quota, class_rank, wait, deadline).await?
        }
        TokenRequest::Ask => {
            let wait = TokenWait {
                due: now,
                waits_until,
                has_waited: false,
            };
            wait_for_grant(node, &quota, class_rank, wait, deadline).await?
        }
    };
    Ok(Some(HeldToken {
        account: quota.account,
        token,
    }))
}

/// Returns how long a request waits for a token after the grantor had none.
///
/// The tokens of a small account come hundreds of milliseconds apart. A caller that is told to
/// return in such a time loses more of its objective than by waiting here.
fn longest_wait(objective: Option<Instant>) -> Duration {
    let left = objective.map(|objective| objective.saturating_duration_since(Instant::now()));
    let share = left.unwrap_or_default().mul_f64(WAIT_SHARE);
    share.min(MAX_TOKEN_WAIT)
}

/// When a request without a token asks for one, and until when it waits.
struct TokenWait {
    due: BootTime,
    waits_until: BootTime,
    has_waited: bool,
}

async fn wait_for_grant(
    node: &Arc<Node>,
    quota: &AccountQuota,
    class_rank: ClassRank,
    wait: TokenWait,
    deadline: Instant,
) -> Result<QuotaToken, Refusal> {
    let group = group_of(quota.account, node.quotas.settings.groups);
    let queue = &node.quotas.groups[group as usize];
    let (grant, granted) = oneshot::channel();
    queue.waiters().push(Waiter {
        quota: *quota,
        class_rank,
        due: wait.due,
        waits_until: wait.waits_until,
        has_waited: wait.has_waited,
        grant,
    });
    queue.has_waiting.notify_one();
    let until = deadline.min(Instant::now() + WAIT_LIMIT);
    match tokio::time::timeout_at(until.into(), granted).await {
        Ok(Ok(Ok(token))) => Ok(token),
        Ok(Ok(Err(retry_after))) => Err(exceeded(retry_after)),
        // No grantor answered; the quota may not be used up.
        Ok(Err(_)) | Err(_) => Err(Refusal {
            reason: Reason::QuotaUnknown,
            retry_after: Some(spread(UNANSWERED_RETRY_AFTER)),
        }),
    }
}

fn exceeded(retry_after: Duration) -> Refusal {
    Refusal {
        reason: Reason::QuotaExceeded,
        retry_after: Some(spread(retry_after)),
    }
}

/// Returns a wait of 1 to 1.25 times the given one, so that callers do not come back together.
fn spread(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(1.0..1.25))
}
