//! A chain in virtual time: requests enter at a service that makes calls in sequence to a deep
//! service, whose upstreams reject a share of them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use hemlocktack_decide::{EdgeRetryBudget, MAX_CLASSES, RetryPolicy, RetryPriority, ShedLevel};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Nodes that make the calls, each with a budget of its own.
pub(crate) const NODES: usize = 24;
pub(crate) const REQUESTS_PER_SEC: f64 = 288.0;
pub(crate) const UPSTREAMS: usize = 6;
pub(crate) const RETRY_SHARE_PER_MILLE: u32 = 200;
/// Time before the fault, longer than the window of the budgets.
pub(crate) const HEALTHY_SECS: u64 = 12;
const CLASS_COUNT: usize = 2;
const CALL: Duration = Duration::from_millis(31);
const REJECTION: Duration = Duration::from_millis(2);
/// Delay before the second and each later repetition of a call, as in `CallSends`.
const RESEND_DELAY_STEP: Duration = Duration::from_millis(4);
const SEEDS: u64 = 4;
/// Retries of one request.
const ALLOWANCE: u32 = 48;

/// Demand and fault of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Share of calls that a rejecting upstream rejects.
    pub(crate) rejected: f64,
    /// Calls that a request makes.
    pub(crate) calls: usize,
    /// Sequences that a request makes its calls in, at the same time.
    pub(crate) branches: usize,
    pub(crate) fault_secs: u64,
    /// Share of all requests that the entries admit during the fault, by a shed level.
    pub(crate) admitted: f64,
    /// Upstreams of the deep service, of [`UPSTREAMS`], that reject calls.
    pub(crate) rejecting_upstreams: usize,
}

impl Load {
    fn shed_level(&self) -> ShedLevel {
        let shed_classes = MAX_CLASSES as f64 - CLASS_COUNT as f64 * self.admitted;
        ShedLevel::unpack((shed_classes * f64::from(1 << 16)) as u32)
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestClass {
    pub(crate) rank: u8,
    /// Share of all requests.
    pub(crate) share: f64,
}

/// Order in which requests get retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// By class, then by a hash of the root request.
    WholeRequests,
    /// By class, then by the calls that are still to be answered, then by the hash.
    MostAdvanced,
}

/// Requests that began during the fault.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassOutcome {
    /// Requests that entered, refused ones included.
    pub(crate) begun: u32,
    pub(crate) whole: u32,
    pub(crate) bad: u32,
}

impl ClassOutcome {
    pub(crate) fn whole_share(&self) -> f64 {
        f64::from(self.whole) / f64::from(self.begun.max(1))
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) classes: [ClassOutcome; CLASS_COUNT],
    /// Retries during the fault.
    pub(crate) retries: u32,
}

impl Outcome {
    pub(crate) fn whole_share(&self) -> f64 {
        self.share_of(|class| class.whole)
    }

    pub(crate) fn bad_share(&self) -> f64 {
        self.share_of(|class| class.bad)
    }

    fn share_of(&self, count: impl Fn(&ClassOutcome) -> u32) -> f64 {
        let counted: u32 = self.classes.iter().map(count).sum();
        let begun: u32 = self.classes.iter().map(|class| class.begun).sum();
        f64::from(counted) / f64::from(begun)
    }
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
struct Request {
    class: usize,
    node: usize,
    calls_left: usize,
    retries_left: u32,
    branches_running: usize,
    has_failed: bool,
    began_in_fault: bool,
}

/// One send of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Send {
    root: u64,
    calls_left_in_branch: usize,
    /// Rejections of this call so far.
    rejections: u32,
    last_upstream: usize,
}

struct Simulation<'a> {
    load: &'a Load,
    order: Order,
    began: Instant,
    random: SmallRng,
    budgets: Vec<EdgeRetryBudget>,
    requests: HashMap<u64, Request>,
    due: BinaryHeap<Reverse<(Duration, Send)>>,
    outcome: Outcome,
}

/// Plays one fault with several seeds and returns the sum.
pub(crate) fn run_seeds(load: &Load, classes: &[RequestClass], order: Order) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 1..=SEEDS {
        let outcome = run(load, classes, order, seed);
        sum.retries += outcome.retries;
        for (sum, class) in sum.classes.iter_mut().zip(outcome.classes) {
            sum.begun += class.begun;
            sum.whole += class.whole;
            sum.bad += class.bad;
        }
    }
    sum
}

/// Plays one fault and returns what became of the requests that began during it.
pub(crate) fn run(load: &Load, classes: &[RequestClass], order: Order, seed: u64) -> Outcome {
    let began = Instant::now();
    let policy = RetryPolicy {
        share_per_mille: RETRY_SHARE_PER_MILLE,
        min_retries: 1,
    };
    let mut simulation = Simulation {
        load,
        order,
        began,
        random: SmallRng::seed_from_u64(seed),
        budgets: (0..NODES)
            .map(|_| EdgeRetryBudget::new(policy, began))
            .collect(),
        requests: HashMap::new(),
        due: BinaryHeap::new(),
        outcome: Outcome::default(),
    };
    simulation.begin_requests(classes);
    while let Some(Reverse((at, send))) = simulation.due.pop() {
        simulation.send(at, send);
    }
    simulation.outcome
}

impl Simulation<'_> {
    fn begin_requests(&mut self, classes: &[RequestClass]) {
        let end = (HEALTHY_SECS + self.load.fault_secs) as f64;
        let mut at = 0.0;
        loop {
            at += -self.random.random::<f64>().ln() / REQUESTS_PER_SEC;
            if at >= end {
                return;
            }
            let class = usize::from(self.random.random::<f64>() >= classes[0].share);
            let began_in_fault = at >= HEALTHY_SECS as f64;
            let request = Request {
                class: usize::from(classes[class].rank),
                node: self.random.random_range(0..NODES),
                calls_left: self.load.calls,
                retries_left: ALLOWANCE,
                branches_running: self.load.branches,
                has_failed: false,
                began_in_fault,
            };
            self.outcome.classes[request.class].begun += u32::from(began_in_fault);
            let root = self.random.random();
            let is_admitted = self.load.shed_level().admits(classes[class].rank, root);
            if began_in_fault && !is_admitted {
                continue;
            }
            self.requests.insert(root, request);
            let first = Send {
                root,
                calls_left_in_branch: self.load.calls / self.load.branches,
                rejections: 0,
                last_upstream: UPSTREAMS,
            };
            for _ in 0..self.load.branches {
                self.due.push(Reverse((Duration::from_secs_f64(at), first)));
            }
        }
    }

    fn send(&mut self, at: Duration, send: Send) {
        let now = self.began + at;
        if send.rejections == 0 {
            let node = self.requests[&send.root].node;
            self.budgets[node].record_first_attempt(now);
        }
        let upstream = self.pick_upstream(&send);
        if !self.is_rejected(at, upstream) {
            return self.answered(at + CALL, send);
        }
        self.rejected(at + REJECTION, upstream, send);
    }

    fn pick_upstream(&mut self, send: &Send) -> usize {
        loop {
            let upstream = self.random.random_range(0..UPSTREAMS);
            if upstream != send.last_upstream {
                return upstream;
            }
        }
    }

    fn is_rejected(&mut self, at: Duration, upstream: usize) -> bool {
        let fault = HEALTHY_SECS..HEALTHY_SECS + self.load.fault_secs;
        fault.contains(&at.as_secs())
            && upstream < self.load.rejecting_upstreams
            && self.random.random::<f64>() < self.load.rejected
    }

    fn answered(&mut self, at: Duration, send: Send) {
        let request = self.requests.get_mut(&send.root).unwrap();
        request.calls_left -= 1;
        let calls_left_in_branch = send.calls_left_in_branch - 1;
        if calls_left_in_branch == 0 || request.has_failed {
            return self.end_branch(send.root);
        }
        let next = Send {
            calls_left_in_branch,
            rejections: 0,
            last_upstream: UPSTREAMS,
            ..send
        };
        self.due.push(Reverse((at, next)));
    }

    fn rejected(&mut self, at: Duration, upstream: usize, send: Send) {
        let now = self.began + at;
        let priority = self.priority(&send);
        let request = self.requests.get_mut(&send.root).unwrap();
        if request.retries_left == 0 || !self.budgets[request.node].try_take(priority, now) {
            request.has_failed = true;
            return self.end_branch(send.root);
        }
        request.retries_left -= 1;
        self.outcome.retries += 1;
        let again = Send {
            rejections: send.rejections + 1,
            last_upstream: upstream,
            ..send
        };
        let delay = RESEND_DELAY_STEP * send.rejections;
        self.due.push(Reverse((at + delay, again)));
    }

    fn end_branch(&mut self, root: u64) {
        let request = self.requests.get_mut(&root).unwrap();
        request.branches_running -= 1;
        if request.branches_running > 0 {
            return;
        }
        let class = &mut self.outcome.classes[request.class];
        let counted = u32::from(request.began_in_fault);
        match request.has_failed {
            true => class.bad += counted,
            false => class.whole += counted,
        }
        self.requests.remove(&root);
    }

    fn priority(&self, send: &Send) -> RetryPriority {
        let request = &self.requests[&send.root];
        let rank = request.class as u8;
        match self.order {
            Order::WholeRequests => RetryPriority::new(rank, CLASS_COUNT, send.root, false),
            Order::MostAdvanced if request.has_failed => RetryPriority::LOWEST,
            Order::MostAdvanced => {
                let calls_left = request.calls_left;
                RetryPriority::by_calls_left(rank, CLASS_COUNT, send.root, calls_left)
            }
        }
    }
}
