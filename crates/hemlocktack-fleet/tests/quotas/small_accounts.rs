//! Small accounts whose requests enter anywhere in a large fleet.

use std::time::Duration;

use hemlocktack_fleet::quotas::{
    AccountQuota, OwnedShare, QuotaGrantor, QuotaLedger, QuotaSettings, TokenRequest,
    WaitingRequest, group_of,
};
use hemlocktack_protocol::{AccountId, BootTime, Incarnation};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ACCOUNT: AccountId = 7;
const NODES: usize = 88;
const GRANTOR: Incarnation = 1;
const STEP: Duration = Duration::from_millis(1);
const WARM_UP_S: f64 = 2.0;
const TRAFFIC_S: f64 = 30.0;

/// Nodes that lend all their shares to one grantor, over links without delay.
struct Fleet {
    settings: QuotaSettings,
    quota: AccountQuota,
    nodes: Vec<QuotaLedger>,
    grantor: QuotaGrantor,
    now: BootTime,
}

impl Fleet {
    fn new(rate_per_s: f64) -> Fleet {
        let settings = QuotaSettings::default();
        Fleet {
            settings,
            quota: AccountQuota {
                account: ACCOUNT,
                rate_per_s,
                burst_requests: rate_per_s,
            },
            nodes: (0..NODES).map(|_| QuotaLedger::new(settings)).collect(),
            grantor: QuotaGrantor::new(settings),
            now: BootTime::default(),
        }
    }

    fn share() -> Option<OwnedShare> {
        Some(OwnedShare {
            divisor: NODES as u32,
            left: Duration::from_secs(4),
        })
    }

    fn report(&mut self, node: usize, waiting: &[WaitingRequest]) {
        let group = group_of(ACCOUNT, self.settings.groups);
        let ledger = &mut self.nodes[node];
        let report = ledger.report(group, GRANTOR, Self::share(), waiting, self.now);
        let quota = self.quota;
        let from = node as Incarnation + GRANTOR;
        let grant = self
            .grantor
            .handle(from, &report, |_| Some(quota), self.now);
        ledger.granted(group, GRANTOR, &grant, self.now, self.now);
    }

    /// Returns whether a request at this node gets a token at once.
    fn request(&mut self, node: usize) -> bool {
        let request = self.nodes[node].request(&self.quota, 0, || None, self.now);
        match request {
            TokenRequest::Taken(_) => true,
            TokenRequest::Refused { .. } => false,
            TokenRequest::Ask => {
                let waiting = WaitingRequest {
                    account: ACCOUNT,
                    class_rank: 0,
                };
                self.report(node, &[waiting]);
                self.nodes[node].take_granted(ACCOUNT, self.now).is_some()
            }
        }
    }

    /// Reports of all nodes whose interval ends at this step.
    fn report_due(&mut self, step: usize) {
        let interval = self.settings.report_interval.as_millis() as usize;
        let due = (0..NODES).filter(|node| (step + node).is_multiple_of(interval));
        due.collect::<Vec<_>>()
            .into_iter()
            .for_each(|node| self.report(node, &[]));
    }

    /// Plays batches at random moments and nodes, and returns how many requests came and how many
    /// of them got no token at once.
    fn play(&mut self, mean_rate_per_s: f64, batch: usize, rng: &mut StdRng) -> (u32, u32) {
        let batches_per_step = mean_rate_per_s / batch as f64 * STEP.as_secs_f64();
        let steps = ((WARM_UP_S + TRAFFIC_S) / STEP.as_secs_f64()) as usize;
        let (mut requests, mut refused) = (0, 0);
        for step in 0..steps {
            self.now = self.now.plus(STEP);
            self.report_due(step);
            let has_traffic = step as f64 * STEP.as_secs_f64() >= WARM_UP_S;
            if !has_traffic || !rng.random_bool(batches_per_step) {
                continue;
            }
            for _ in 0..batch {
                let node = rng.random_range(0..NODES);
                requests += 1;
                refused += u32::from(!self.request(node));
            }
        }
        (requests, refused)
    }
}

/// Returns the refusals of one bucket that sees the same kind of traffic.
fn refused_by_one_bucket(quota: f64, mean: f64, batch: usize, rng: &mut StdRng) -> f64 {
    let batches_per_step = mean / batch as f64 * STEP.as_secs_f64();
    let steps = (TRAFFIC_S / STEP.as_secs_f64()) as usize;
    let mut tokens = quota;
    let (mut requests, mut refused) = (0_u32, 0_u32);
    for _ in 0..steps {
        tokens = (tokens + quota * STEP.as_secs_f64()).min(quota);
        if !rng.random_bool(batches_per_step) {
            continue;
        }
        for _ in 0..batch {
            requests += 1;
            match tokens >= 1.0 {
                true => tokens -= 1.0,
                false => refused += 1,
            }
        }
    }
    f64::from(refused) / f64::from(requests.max(1))
}

/// Guards against refusals of a small account within its quota: nodes that saw a request some
/// seconds ago held the few tokens of the account unused.
#[test]
fn idle_nodes_do_not_hold_the_tokens_of_a_small_account() {
    let (mut fleet_share, mut bucket_share) = (0.0, 0.0);
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        for batch in [1, 3] {
            let (requests, refused) = Fleet::new(5.0).play(3.0, batch, &mut rng);
            fleet_share += f64::from(refused) / f64::from(requests.max(1)) / 20.0;
            bucket_share += refused_by_one_bucket(5.0, 3.0, batch, &mut rng) / 20.0;
        }
    }
    println!("without a token at once: {fleet_share:.3}, with one bucket {bucket_share:.3}");
    assert!(
        fleet_share <= 1.2 * bucket_share,
        "{fleet_share:.3} {bucket_share:.3}"
    );
}

/// Guards against the same for a large account, whose nodes ask for tokens in advance.
#[test]
fn a_large_account_within_its_quota_gets_its_tokens() {
    let mut rng = StdRng::seed_from_u64(1);
    let (requests, refused) = Fleet::new(200.0).play(120.0, 1, &mut rng);
    let share = f64::from(refused) / f64::from(requests.max(1));
    println!("without a token at once: {share:.4} of {requests}");
    assert!(share <= 0.001, "{share:.4}");
}
