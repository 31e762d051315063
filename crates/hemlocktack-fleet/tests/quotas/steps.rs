//! Single steps of the ledger, the grantor and the ownership of shares.

use hemlocktack_fleet::freshness::FreshnessProof;
use hemlocktack_fleet::quotas::{
    AccountQuota, OwnedShare, QuotaGrantor, QuotaLedger, QuotaSafeguard, QuotaSettings,
    ShareOwnership, TokenRequest,
};
use hemlocktack_protocol::{BootTime, QuotaDemand, QuotaGrant, QuotaReport, QuotaTokens};

fn at_ms(ms: u64) -> BootTime {
    BootTime::from_micros(1_000_000 + ms * 1_000)
}

fn quota(account: u64) -> AccountQuota {
    AccountQuota {
        account,
        rate_per_s: 100.0,
        burst_requests: 100.0,
    }
}

/// Guards against a share at two places: the grantor still uses what the earlier start has lent.
#[test]
fn a_restarted_node_owns_its_share_once_the_lease_of_its_earlier_start_is_over() {
    let settings = QuotaSettings::default();
    let proof = FreshnessProof {
        generation: 1,
        proven_at: at_ms(0),
        recorded_nodes: 12,
        is_recorded: true,
    };
    let mut ownership = ShareOwnership::default();
    ownership.took_over_record(&settings, at_ms(0));
    let owns = |ms: u64| {
        ownership
            .owned(Some(&proof), &settings, at_ms(ms))
            .is_some()
    };
    assert!(!owns(599));
    assert!(owns(600));
}

/// Guards against a share at two places: a report that arrives late lends no longer than its sender
/// lends.
#[test]
fn a_late_report_lends_only_for_the_rest_of_its_lease() {
    let tokens_after_a_late_report = |settings: QuotaSettings| {
        let mut grantor = QuotaGrantor::new(settings);
        let quota = |account| Some(quota(account));
        let report = QuotaReport {
            grant_seen_us: at_ms(0).as_micros(),
            lease_us: 600_000,
            share_divisor: 1,
            demands: vec![QuotaDemand {
                account: 1,
                waiting: vec![100],
                ..QuotaDemand::default()
            }],
            ..QuotaReport::default()
        };
        grantor.handle(7, &report, quota, at_ms(500));
        let later = QuotaReport {
            share_divisor: 0,
            ..report
        };
        let grant = grantor.handle(8, &later, quota, at_ms(1_050));
        grant.tokens[0].granted
    };
    assert_eq!(tokens_after_a_late_report(QuotaSettings::default()), 0);
    let undated = QuotaSettings {
        disabled_safeguard: Some(QuotaSafeguard::LeaseDatedByGrant),
        ..QuotaSettings::default()
    };
    assert!(tokens_after_a_late_report(undated) > 0);
}

/// Guards against a burst that nobody saved: a grant that comes after its account was forgotten.
#[test]
fn an_account_that_a_grant_brings_back_has_no_tokens_of_its_own() {
    let mut ledger = QuotaLedger::new(QuotaSettings::default());
    let grant = QuotaGrant {
        tokens: vec![QuotaTokens {
            account: 1,
            granted: 0,
            retry_after_us: 1,
        }],
        ..QuotaGrant::default()
    };
    ledger.granted(0, 7, &grant, at_ms(0), at_ms(0));
    let share = OwnedShare {
        divisor: 2,
        left: QuotaSettings::default().lease,
    };
    let request = ledger.request(&quota(1), 0, || Some(share), at_ms(10));
    assert!(!matches!(request, TokenRequest::Taken(_)), "{request:?}");
}
