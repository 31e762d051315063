//! A node's own tokens of the accounts whose requests enter at it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hemlocktack_protocol::{
    AccountId, BootTime, ClassRank, Incarnation, QuotaDemand, QuotaGrant, QuotaReport, whole_micros,
};

use super::bucket::Bucket;
use super::settings::{QuotaSafeguard, QuotaSettings};
use super::share::OwnedShare;
use super::{AccountGroup, AccountQuota, group_of};

/// Classes that are told apart; requests of further ones count as the last.
const CLASSES: usize = 8;
/// Weight of the latest interval in the mean demand.
const DEMAND_WEIGHT: f64 = 0.3;
/// Least mean demand between two reports for which a node asks for tokens in advance. With many
/// nodes, those with less demand would hold the few tokens of a small account unused, while its
/// requests at other nodes are refused.
const MIN_EXPECTED_DEMAND: f64 = 0.5;
/// Accounts without demand for this long are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// A token that one request holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaToken {
    expires: BootTime,
}

/// What follows for a request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenRequest {
    /// It has one.
    Taken(QuotaToken),
    /// The grantor has to be asked.
    Ask,
    /// The grantor has just refused one to requests that are at least as important.
    Refused {
        /// Expected time until there is a token.
        retry_after: Duration,
    },
}

/// A request that waits for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Its account.
    pub account: AccountId,
    /// Its importance among the requests of the account.
    pub class_rank: ClassRank,
}

/// Waiting requests of one account, by class.
type WaitingByClass = [u32; CLASSES];

#[derive(Debug, Default)]
struct Account {
    /// Granted tokens, by the end of their lifetime.
    granted: VecDeque<(BootTime, u32)>,
    /// From the node's own share, while that is not lent.
    own: Bucket,
    own_updated: BootTime,
    /// Requests since the last report, and their mean.
    demand: u32,
    mean_demand: f64,
    last_demand: BootTime,
    refused_class: usize,
    refused_until: BootTime,
    retry_at: BootTime,
}

/// The state of the reports for one group.
#[derive(Clone, Copy, Debug, Default)]
struct Lending {
    grantor: Incarnation,
    grant_seen_us: u64,
    lent_until: BootTime,
}

/// The tokens and demands of one node.
#[derive(Debug)]
pub struct QuotaLedger {
    settings: QuotaSettings,
    accounts: HashMap<AccountId, Account>,
    lending: Vec<Lending>,
}

impl QuotaLedger {
    /// Creates a ledger without tokens.
    pub fn new(settings: QuotaSettings) -> Self {
        QuotaLedger {
            settings,
            accounts: HashMap::new(),
            lending: vec![Lending::default(); settings.groups as usize],
        }
    }

    /// Takes a token for a request, if there is one. `share` returns the share that the node owns
    /// now; it is called only if that may be used.
    pub fn request(
        &mut self,
        quota: &AccountQuota,
        class_rank: ClassRank,
        share: impl FnOnce() -> Option<OwnedShare>,
        now: BootTime,
    ) -> TokenRequest {
        let lent_until = self.lent_until(group_of(quota.account, self.settings.groups));
        let expires = now.plus(self.settings.token_lifetime);
        let account = account_of(&mut self.accounts, quota.account, now);
        account.demand += 1;
        account.last_demand = now;
        account.drop_expired(now);
        if let Some(expires) = account.take_granted() {
            return TokenRequest::Taken(QuotaToken { expires });
        }
        let share = if lent_until <= now { share() } else { None };
        if account.take_own(quota, share, lent_until, now) {
            return TokenRequest::Taken(QuotaToken { expires });
        }
        let class = class_of(class_rank);
        if now < account.refused_until && class >= account.refused_class {
            let retry_after = account.retry_at.saturating_since(now);
            return TokenRequest::Refused { retry_after };
        }
        TokenRequest::Ask
    }

    /// Takes a granted token for a request that waited.
    pub fn take_granted(&mut self, account: AccountId, now: BootTime) -> Option<QuotaToken> {
        let account = self.accounts.get_mut(&account)?;
        account.drop_expired(now);
        let expires = account.take_granted()?;
        Some(QuotaToken { expires })
    }

    /// Takes back the token of a request that has not run. Its lifetime goes on.
    pub fn give_back(&mut self, account: AccountId, token: QuotaToken, now: BootTime) {
        if token.expires <= now {
            return;
        }
        let account = account_of(&mut self.accounts, account, now);
        account.granted.push_front((token.expires, 1));
    }

    /// Returns until when the node's shares for a group are lent.
    fn lent_until(&self, group: AccountGroup) -> BootTime {
        if !self.settings.is_enabled(QuotaSafeguard::LentOnce) {
            return BootTime::default();
        }
        let lending = self.lending.get(group as usize);
        lending.map_or_else(BootTime::default, |lending| lending.lent_until)
    }

    /// Returns the report of a group to its grantor, with the requests of the group that wait, and
    /// lends the node's share with it.
    ///
    /// While the share is lent to another grantor, it is not lent again.
    pub fn report(
        &mut self,
        group: AccountGroup,
        grantor: Incarnation,
        share: Option<OwnedShare>,
        waiting: &[WaitingRequest],
        now: BootTime,
    ) -> QuotaReport {
        let demands = self.demands(group, waiting, now);
        let lease = self.settings.lease;
        let is_enabled = |safeguard| self.settings.is_enabled(safeguard);
        let lent_once = is_enabled(QuotaSafeguard::LentOnce);
        let Some(lending) = self.lending.get_mut(group as usize) else {
            return QuotaReport::default();
        };
        let is_lent_elsewhere = lending.grantor != grantor && lending.lent_until > now;
        if lending.grantor != grantor && !(lent_once && is_lent_elsewhere) {
            *lending = Lending {
                grantor,
                ..Lending::default()
            };
        }
        let mut report = QuotaReport {
            group,
            demands,
            ..QuotaReport::default()
        };
        let Some(share) = share.filter(|_| lending.grantor == grantor) else {
            return report;
        };
        let lease = lease.min(share.left);
        report.grant_seen_us = lending.grant_seen_us;
        report.lease_us = whole_micros(lease);
        report.share_divisor = share.divisor;
        lending.lent_until = lending.lent_until.max(now.plus(lease));
        if lent_once {
            self.drop_own(group);
        }
        report
    }

    /// Drops the tokens that the node's own share had accrued: the grantor uses it now.
    fn drop_own(&mut self, group: AccountGroup) {
        let groups = self.settings.groups;
        let of_group = |id: &AccountId| group_of(*id, groups) == group;
        let accounts = self.accounts.iter_mut().filter(|(id, _)| of_group(id));
        accounts.for_each(|(_, account)| account.own = Bucket::default());
    }

    fn demands(
        &mut self,
        group: AccountGroup,
        waiting: &[WaitingRequest],
        now: BootTime,
    ) -> Vec<QuotaDemand> {
        let groups = self.settings.groups;
        let returned_before = now.plus(self.settings.token_lifetime / 2);
        let waiting = by_account(waiting);
        self.accounts
            .retain(|_, account| now.saturating_since(account.last_demand) <= FORGET_AFTER);
        let accounts = self.accounts.iter_mut();
        let accounts = accounts.filter(|(id, _)| group_of(**id, groups) == group);
        let demands = accounts.map(|(id, account)| {
            let waiting = waiting.get(id).copied().unwrap_or_default();
            account.report(*id, &waiting, returned_before, now)
        });
        let is_needed = |demand: &QuotaDemand| {
            demand.expected > 0 || demand.returned > 0 || !demand.waiting.is_empty()
        };
        demands.filter(is_needed).collect()
    }

    /// Handles a grant; `asked_at` is when its report was sent. A token's lifetime begins then:
    /// the grantor has not counted it as spent any earlier.
    pub fn granted(
        &mut self,
        group: AccountGroup,
        grantor: Incarnation,
        grant: &QuotaGrant,
        asked_at: BootTime,
        now: BootTime,
    ) {
        let lending = self.lending.get_mut(group as usize);
        if let Some(lending) = lending.filter(|lending| lending.grantor == grantor) {
            lending.grant_seen_us = lending.grant_seen_us.max(grant.sent_at_us);
        }
        let expires = asked_at.plus(self.settings.token_lifetime);
        let refused_until = now.plus(self.settings.refusal_pause);
        for tokens in &grant.tokens {
            let account = account_of(&mut self.accounts, tokens.account, now);
            if tokens.granted > 0 {
                account.granted.push_back((expires, tokens.granted));
            }
            if tokens.retry_after_us > 0 {
                let wait = Duration::from_micros(tokens.retry_after_us);
                account.retry_at = now.plus(wait);
                account.refused_until = refused_until;
                account.refused_class = CLASSES;
            }
        }
    }

    /// Records that a request that waited got no token, and returns when there may be one. Each
    /// refused request gets a later time than the one before.
    pub fn refused(
        &mut self,
        quota: &AccountQuota,
        class_rank: ClassRank,
        now: BootTime,
    ) -> Duration {
        let account = account_of(&mut self.accounts, quota.account, now);
        account.refused_class = account.refused_class.min(class_of(class_rank));
        let retry_after = account.retry_at.saturating_since(now);
        let step = Duration::from_secs_f64((1.0 / quota.rate_per_s.max(0.1)).min(1.0));
        account.retry_at = account.retry_at.max(now).plus(step);
        retry_after
    }
}

impl Account {
    fn drop_expired(&mut self, now: BootTime) {
        self.granted.retain(|(expires, _)| *expires > now);
    }

    fn take_granted(&mut self) -> Option<BootTime> {
        let (expires, count) = self.granted.front_mut()?;
        let taken = *expires;
        *count -= 1;
        if *count == 0 {
            self.granted.pop_front();
        }
        Some(taken)
    }

    /// Takes a token of the node's own share, which has not been lent since `free_since`.
    fn take_own(
        &mut self,
        quota: &AccountQuota,
        share: Option<OwnedShare>,
        free_since: BootTime,
        now: BootTime,
    ) -> bool {
        let Some(share) = share else {
            self.own_updated = now;
            return false;
        };
        let part = 1.0 / f64::from(share.divisor);
        let since = self.own_updated.max(free_since);
        let passed = now.saturating_since(since).as_secs_f64();
        self.own_updated = now;
        let capacity = quota.burst_requests * part;
        self.own.fill(quota.rate_per_s * part * passed, capacity);
        self.own.take(1, 0.0) == 1
    }

    fn report(
        &mut self,
        id: AccountId,
        waiting: &WaitingByClass,
        returned_before: BootTime,
        now: BootTime,
    ) -> QuotaDemand {
        self.drop_expired(now);
        let mean = self.mean_demand;
        self.mean_demand = mean + DEMAND_WEIGHT * (f64::from(self.demand) - mean);
        self.demand = 0;
        let mut returned = 0;
        let mut kept = 0;
        self.granted.retain(|(expires, count)| {
            let is_kept = *expires > returned_before;
            match is_kept {
                true => kept += count,
                false => returned += count,
            }
            is_kept
        });
        let expected = match self.mean_demand >= MIN_EXPECTED_DEMAND {
            true => self.mean_demand.ceil() as u32,
            false => 0,
        };
        let last = waiting.iter().rposition(|count| *count > 0);
        QuotaDemand {
            account: id,
            waiting: waiting[..last.map_or(0, |last| last + 1)].to_vec(),
            expected: expected.saturating_sub(kept),
            returned,
        }
    }
}

fn by_account(waiting: &[WaitingRequest]) -> HashMap<AccountId, WaitingByClass> {
    let mut counts: HashMap<AccountId, WaitingByClass> = HashMap::new();
    for request in waiting {
        counts.entry(request.account).or_default()[class_of(request.class_rank)] += 1;
    }
    counts
}

/// Returns the entry of an account. In a new one the node's own share accrues from now on.
fn account_of(
    accounts: &mut HashMap<AccountId, Account>,
    id: AccountId,
    now: BootTime,
) -> &mut Account {
    accounts.entry(id).or_insert_with(|| Account {
        own_updated: now,
        ..Account::default()
    })
}

fn class_of(class_rank: ClassRank) -> usize {
    usize::from(class_rank).min(CLASSES - 1)
}
