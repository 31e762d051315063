//! The grantor of groups of accounts: hands out tokens from the shares that are lent to it.

use std::collections::HashMap;
use std::time::Duration;

use hemlocktack_protocol::{
    AccountId, BootTime, Incarnation, QuotaDemand, QuotaGrant, QuotaReport, QuotaTokens,
    whole_micros,
};

use super::bucket::Bucket;
use super::settings::{QuotaSafeguard, QuotaSettings};
use super::{AccountGroup, AccountQuota};

/// Part of a second's rate that is kept for each more important class. Within an account, requests
/// of a class get tokens only while more are left than that.
const RESERVE_PER_CLASS_S: f64 = 0.1;
/// Part of a second's rate that is kept for waiting requests before tokens are given out for
/// expected ones.
const RESERVE_FOR_WAITING_S: f64 = 0.1;
/// The reserves take at most this part of what the bucket holds.
const MAX_RESERVED_PART: f64 = 0.5;
/// Capacity of a bucket without a burst, in seconds of its rate: tokens that accrue between two
/// reports must have room.
const MIN_CAPACITY_S: f64 = 0.1;

/// A share that a node has lent.
#[derive(Clone, Copy, Debug)]
struct LentShare {
    part: f64,
    until: BootTime,
}

/// What is lent for one group, and the tokens of its accounts.
#[derive(Debug, Default)]
struct Group {
    lent: HashMap<Incarnation, LentShare>,
    /// Lent parts times seconds since the group was first lent anything.
    part_seconds: f64,
    updated: BootTime,
    accounts: HashMap<AccountId, AccountTokens>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountTokens {
    bucket: Bucket,
    /// The group's part seconds that the bucket has been filled for.
    part_seconds: f64,
    /// Moments before this one have been promised to refused callers.
    promised_until: BootTime,
}

impl Group {
    /// Adds up what has been lent so far, and drops the shares whose lease is over.
    fn advance(&mut self, now: BootTime, lapses: bool) {
        let since = self.updated;
        for share in self.lent.values() {
            let until = if lapses { share.until.min(now) } else { now };
            self.part_seconds += share.part * until.saturating_since(since).as_secs_f64();
        }
        if lapses {
            self.lent.retain(|_, share| share.until > now);
        }
        self.updated = self.updated.max(now);
    }

    /// Returns the part of every quota that is lent now.
    fn part(&self) -> f64 {
        self.lent.values().map(|share| share.part).sum()
    }
}

/// Grants tokens to the nodes that report to it.
#[derive(Debug)]
pub struct QuotaGrantor {
    settings: QuotaSettings,
    groups: HashMap<AccountGroup, Group>,
}

impl QuotaGrantor {
    /// Creates a grantor to which nothing is lent.
    pub fn new(settings: QuotaSettings) -> Self {
        QuotaGrantor {
            settings,
            groups: HashMap::new(),
        }
    }

    /// Handles a report: takes the lent share and returns tokens. `quota` returns the quota of an
    /// account; accounts without one get nothing.
    pub fn handle(
        &mut self,
        from: Incarnation,
        report: &QuotaReport,
        quota: impl Fn(AccountId) -> Option<AccountQuota>,
        now: BootTime,
    ) -> QuotaGrant {
        let lapses = self.settings.is_enabled(QuotaSafeguard::LeaseLapses);
        let group = self.groups.entry(report.group).or_default();
        group.advance(now, lapses);
        record_lent_share(&self.settings, group, from, report, now);
        let part = group.part();
        let mut tokens = Vec::with_capacity(report.demands.len());
        for demand in &report.demands {
            let Some(quota) = quota(demand.account) else {
                continue;
            };
            tokens.push(grant(group, demand, &quota, part, now));
        }
        QuotaGrant {
            query_id: report.query_id,
            sent_at_us: now.as_micros(),
            tokens,
        }
    }
}

/// Takes a lent share. The lease runs from the last grant that the lender had seen when it sent the
/// report: that grant is older than the report, and its time is on this node's clock.
fn record_lent_share(
    settings: &QuotaSettings,
    group: &mut Group,
    from: Incarnation,
    report: &QuotaReport,
    now: BootTime,
) {
    let is_dated = settings.is_enabled(QuotaSafeguard::LeaseDatedByGrant);
    let since = match is_dated {
        true => BootTime::from_micros(report.grant_seen_us),
        false => now,
    };
    let lease = Duration::from_micros(report.lease_us).min(settings.lease);
    let until = since.plus(lease);
    if report.share_divisor == 0 || until <= now {
        return;
    }
    let known_until = group.lent.get(&from).map(|share| share.until);
    group.lent.insert(
        from,
        LentShare {
            part: 1.0 / f64::from(report.share_divisor),
            until: known_until.map_or(until, |known| known.max(until)),
        },
    );
}

fn grant(
    group: &mut Group,
    demand: &QuotaDemand,
    quota: &AccountQuota,
    part: f64,
    now: BootTime,
) -> QuotaTokens {
    let total_part_seconds = group.part_seconds;
    // An account that nobody has asked for yet has saved all that was lent for it so far.
    let account = group.accounts.entry(demand.account).or_default();
    let capacity = capacity(quota, part);
    let accrued = (total_part_seconds - account.part_seconds) * quota.rate_per_s;
    account.part_seconds = total_part_seconds;
    account
        .bucket
        .fill(accrued + f64::from(demand.returned), capacity);
    let reserve_step = quota.rate_per_s * part * RESERVE_PER_CLASS_S;
    let most_reserved = capacity * MAX_RESERVED_PART;
    let mut granted = 0;
    let mut refused = 0;
    for (class, waiting) in demand.waiting.iter().enumerate() {
        let reserve = (reserve_step * class as f64).min(most_reserved);
        let taken = account.bucket.take(*waiting, reserve);
        granted += taken;
        refused += waiting - taken;
    }
    if refused == 0 {
        let classes = demand.waiting.len() as f64;
        let reserve = quota.rate_per_s * part * RESERVE_FOR_WAITING_S + reserve_step * classes;
        granted += account
            .bucket
            .take(demand.expected, reserve.min(most_reserved));
    }
    let retry_after = match refused {
        0 => Duration::ZERO,
        refused => promise(account, refused, quota.rate_per_s * part, now),
    };
    QuotaTokens {
        account: demand.account,
        granted,
        retry_after_us: whole_micros(retry_after),
    }
}

/// Tokens that a bucket holds for the lent part of a quota.
fn capacity(quota: &AccountQuota, part: f64) -> f64 {
    let least = (quota.rate_per_s * MIN_CAPACITY_S).max(1.0);
    quota.burst_requests.max(least) * part
}

/// Longest time that a refused caller is told to wait.
const LONGEST_PROMISE: Duration = Duration::from_secs(10);

/// Returns the time until there will be a token for the first of the refused requests, and promises
/// as many tokens: the next refused ones get later times.
fn promise(account: &mut AccountTokens, refused: u32, rate_per_s: f64, now: BootTime) -> Duration {
    if rate_per_s <= 0.0 {
        return LONGEST_PROMISE;
    }
    let from = account.promised_until.max(now);
    let first = from.plus(time_for(1, rate_per_s));
    let latest = now.plus(LONGEST_PROMISE);
    account.promised_until = from.plus(time_for(refused, rate_per_s)).min(latest);
    first.min(latest).saturating_since(now)
}

/// Returns the time in which so many tokens accrue, at most [`LONGEST_PROMISE`].
fn time_for(tokens: u32, rate_per_s: f64) -> Duration {
    let seconds = f64::from(tokens) / rate_per_s;
    match seconds < LONGEST_PROMISE.as_secs_f64() {
        true => Duration::from_secs_f64(seconds),
        false => LONGEST_PROMISE,
    }
}
