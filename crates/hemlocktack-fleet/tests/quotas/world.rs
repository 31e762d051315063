//! A fleet in virtual time: a store, nodes with clocks of their own, and the network between them.

use hemlocktack_fleet::freshness::FreshnessProof;
use hemlocktack_fleet::quotas::{
    AccountGroup, AccountQuota, GrantorChoice, QuotaGrantor, QuotaLedger, QuotaSettings,
    ShareOwnership, TokenRequest, group_of,
};
use hemlocktack_protocol::{BootTime, QuotaGrant, QuotaReport};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::support::{Agenda, MS, Micros, SECOND};
use std::collections::BTreeMap;

/// Traffic begins once the first nodes own their shares.
const TRAFFIC_FROM: Micros = 6 * SECOND;
const END: Micros = 18 * SECOND;
const WINDOW: Micros = 5 * SECOND;
const OVERSHOOT: f64 = 1.1;
const SLACK_REQUESTS: f64 = 20.0;
/// Requests beyond the rate of an account without a burst.
const ROUNDING_REQUESTS: f64 = 4.0;
const PROOF_INTERVAL: Micros = 250 * MS;
pub(crate) const REPORT_TIMEOUT: Micros = 250 * MS;
const ACCOUNTS: [(f64, f64); 4] = [(30.0, 30.0), (80.0, 10.0), (200.0, 200.0), (20.0, 0.0)];

/// Limit on the requests of an account in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bound {
    /// What operators are promised.
    Stated,
    /// What the design keeps to: no more than the full bucket, and the tokens that were granted just
    /// before the window.
    Design,
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    /// Accounts ask for three times their quotas; nothing fails.
    Overload,
    /// Two thirds of the nodes join while the others are cut off from the store.
    Growth,
    /// The reports of all nodes but one arrive at each grantor after their senders have given up.
    SlowLinks,
    All,
}

/// A report on its way to a grantor.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentReport {
    pub(crate) node: usize,
    pub(crate) incarnation: u64,
    pub(crate) group: AccountGroup,
    pub(crate) serial: u64,
    pub(crate) to: usize,
    pub(crate) to_incarnation: u64,
    pub(crate) asked_at: BootTime,
}

pub(crate) enum Event {
    AskStore {
        node: usize,
    },
    StoreAsked {
        node: usize,
        asked_at: BootTime,
    },
    StoreAnswered {
        node: usize,
        proof: FreshnessProof,
    },
    Publish {
        node: usize,
    },
    PublishAnswered {
        node: usize,
        takes_over: bool,
    },
    Report {
        node: usize,
        group: AccountGroup,
    },
    Reported {
        sent: SentReport,
        report: QuotaReport,
    },
    Granted {
        sent: SentReport,
        grant: QuotaGrant,
    },
    Lost {
        sent: SentReport,
    },
    Arrive,
    Grow {
        nodes: usize,
    },
    Disturb,
    Heal {
        node: usize,
    },
    Wake {
        node: usize,
    },
    Restart {
        node: usize,
    },
}

pub(crate) struct Node {
    pub(crate) incarnation: u64,
    pub(crate) is_up: bool,
    pub(crate) is_frozen: bool,
    pub(crate) held: Vec<Event>,
    /// Offset of the node's clock.
    pub(crate) clock: Micros,
    pub(crate) side: u8,
    pub(crate) reaches_store: bool,
    pub(crate) proof: Option<FreshnessProof>,
    pub(crate) ownership: ShareOwnership,
    pub(crate) ledger: QuotaLedger,
    pub(crate) grantor: QuotaGrantor,
    pub(crate) choice: GrantorChoice,
    /// Accounts of requests that wait, by group.
    pub(crate) waiting: BTreeMap<AccountGroup, Vec<usize>>,
    /// Serial number of the report that is on its way, by group.
    pub(crate) reporting: BTreeMap<AccountGroup, u64>,
    /// Accounts of requests whose report is on its way, by group.
    pub(crate) reported: BTreeMap<AccountGroup, Vec<usize>>,
}

impl Node {
    fn new(incarnation: u64, clock: Micros, settings: QuotaSettings) -> Node {
        Node {
            incarnation,
            is_up: true,
            is_frozen: false,
            held: Vec::new(),
            clock,
            side: 0,
            reaches_store: true,
            proof: None,
            ownership: ShareOwnership::default(),
            ledger: QuotaLedger::new(settings),
            grantor: QuotaGrantor::new(settings),
            choice: GrantorChoice::default(),
            waiting: BTreeMap::new(),
            reporting: BTreeMap::new(),
            reported: BTreeMap::new(),
        }
    }
}

/// The fleet and what its requests came to.
pub(crate) struct World {
    pub(crate) rng: StdRng,
    pub(crate) settings: QuotaSettings,
    pub(crate) trouble: Trouble,
    pub(crate) agenda: Agenda<Event>,
    pub(crate) last_serial: u64,
    pub(crate) nodes: Vec<Node>,
    /// Recorded incarnations, by node.
    pub(crate) store: BTreeMap<usize, u64>,
    /// Times of requests that ran, by account.
    pub(crate) ran: Vec<Vec<Micros>>,
    pub(crate) within_quota: u64,
    pub(crate) served_within_quota: u64,
}

pub(crate) fn quota(account: usize) -> AccountQuota {
    AccountQuota {
        account: account as u64 + 1,
        rate_per_s: ACCOUNTS[account].0,
        burst_requests: ACCOUNTS[account].1,
    }
}

/// Returns whether an account has room for requests that come together.
fn is_within_quota(account: usize) -> bool {
    quota(account).burst_requests > 0.0
}

impl World {
    pub(crate) fn new(seed: u64, nodes: usize, settings: QuotaSettings, trouble: Trouble) -> World {
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            settings,
            trouble,
            agenda: Agenda::new(),
            last_serial: 0,
            nodes: Vec::new(),
            store: BTreeMap::new(),
            ran: vec![Vec::new(); ACCOUNTS.len()],
            within_quota: 0,
            served_within_quota: 0,
        };
        let first = if trouble == Trouble::Growth {
            nodes / 3
        } else {
            nodes
        };
        for _ in 0..first {
            world.join();
        }
        world.agenda.at(TRAFFIC_FROM, Event::Arrive);
        match trouble {
            Trouble::All => world.agenda.at(TRAFFIC_FROM, Event::Disturb),
            Trouble::Growth => world.agenda.at(TRAFFIC_FROM, Event::Grow { nodes }),
            _ => {}
        }
        world
    }

    pub(crate) fn run(&mut self) {
        while let Some(event) = self.agenda.next(END) {
            self.handle(event);
        }
    }

    /// Returns the account and the end of the first window with more requests than allowed, and
    /// their number.
    pub(crate) fn first_excess(&self, bound: Bound) -> Option<(usize, Micros, usize)> {
        for (account, ran) in self.ran.iter().enumerate() {
            let most = self.most_requests(account, bound);
            let mut first = 0;
            for (last, time) in ran.iter().enumerate() {
                while ran[first] + WINDOW < *time {
                    first += 1;
                }
                let count = last + 1 - first;
                if count as f64 > most {
                    return Some((account, *time, count));
                }
            }
        }
        None
    }

    fn most_requests(&self, account: usize, bound: Bound) -> f64 {
        let quota = quota(account);
        let seconds = WINDOW as f64 / SECOND as f64;
        match bound {
            Bound::Stated => {
                (quota.rate_per_s * seconds + quota.burst_requests) * OVERSHOOT + SLACK_REQUESTS
            }
            Bound::Design => {
                let seconds = seconds + self.settings.token_lifetime.as_secs_f64();
                quota.rate_per_s * seconds + quota.burst_requests.max(ROUNDING_REQUESTS)
            }
        }
    }

    /// Returns the part of its rate that each account used in the second half of the run.
    pub(crate) fn used_parts(&self) -> Vec<f64> {
        let from = (TRAFFIC_FROM + END) / 2;
        let seconds = (END - from) as f64 / SECOND as f64;
        let accounts = self.ran.iter().enumerate();
        let used = accounts.map(|(account, ran)| {
            let count = ran.iter().filter(|time| **time >= from).count();
            count as f64 / (quota(account).rate_per_s * seconds)
        });
        used.collect()
    }

    pub(crate) fn within_quota_count(&self) -> u64 {
        self.within_quota
    }

    pub(crate) fn served_within_quota_count(&self) -> u64 {
        self.served_within_quota
    }

    pub(crate) fn after(&mut self, delay: Micros, event: Event) {
        self.agenda.after(delay, event);
    }

    /// Returns a network delay; in trouble some are long.
    pub(crate) fn delay(&mut self) -> Micros {
        let is_long = self.trouble == Trouble::All && self.rng.random_bool(0.05);
        let longest = if is_long { 700 * MS } else { 4 * MS };
        self.rng.random_range(200..longest)
    }

    pub(crate) fn local(&self, node: usize) -> BootTime {
        BootTime::from_micros(self.agenda.now() + self.nodes[node].clock)
    }

    pub(crate) fn join(&mut self) {
        let clock = self.rng.random_range(0..1_000 * SECOND);
        let incarnation = self.rng.next_u64();
        self.nodes
            .push(Node::new(incarnation, clock, self.settings));
        let node = self.nodes.len() - 1;
        self.begin(node);
    }

    fn begin(&mut self, node: usize) {
        self.after(0, Event::Publish { node });
        self.after(MS, Event::AskStore { node });
        for group in 0..self.settings.groups {
            let delay = self.rng.random_range(0..200 * MS);
            self.after(delay, Event::Report { node, group });
        }
    }

    fn restart(&mut self, node: usize) {
        let incarnation = self.rng.next_u64();
        let before = &self.nodes[node];
        let started = Node {
            side: before.side,
            reaches_store: before.reaches_store,
            ..Node::new(incarnation, before.clock, self.settings)
        };
        self.nodes[node] = started;
        self.begin(node);
    }

    /// Returns the node that an event happens at.
    fn place_of(event: &Event) -> Option<usize> {
        match event {
            Event::AskStore { node }
            | Event::StoreAnswered { node, .. }
            | Event::Publish { node }
            | Event::PublishAnswered { node, .. }
            | Event::Report { node, .. } => Some(*node),
            Event::Granted { sent, .. } | Event::Lost { sent } => Some(sent.node),
            Event::Reported { sent, .. } => Some(sent.to),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(place) = World::place_of(&event) {
            let node = &mut self.nodes[place];
            if !node.is_up {
                return;
            }
            if node.is_frozen {
                node.held.push(event);
                return;
            }
        }
        match event {
            Event::AskStore { node } => self.ask_store(node),
            Event::StoreAsked { node, asked_at } => self.store_asked(node, asked_at),
            Event::StoreAnswered { node, proof } => self.nodes[node].proof = Some(proof),
            Event::Publish { node } => self.publish(node),
            Event::PublishAnswered { node, takes_over } => self.published(node, takes_over),
            Event::Report { node, group } => {
                self.report(node, group);
                self.after(200 * MS, Event::Report { node, group });
            }
            Event::Reported { sent, report } => self.reported(sent, &report),
            Event::Granted { sent, grant } => self.granted(sent, &grant),
            Event::Lost { sent } => self.lost(sent),
            Event::Arrive => self.arrive(),
            Event::Grow { nodes } => self.grow(nodes),
            Event::Disturb => self.disturb(),
            Event::Heal { node } => {
                self.nodes[node].side = 0;
                self.nodes[node].reaches_store = true;
            }
            Event::Wake { node } => self.wake(node),
            Event::Restart { node } => self.restart(node),
        }
    }

    fn ask_store(&mut self, node: usize) {
        self.after(PROOF_INTERVAL, Event::AskStore { node });
        let asked_at = self.local(node);
        if self.nodes[node].reaches_store {
            let delay = self.delay();
            self.after(delay, Event::StoreAsked { node, asked_at });
        }
    }

    fn store_asked(&mut self, node: usize, asked_at: BootTime) {
        let proof = FreshnessProof {
            generation: 1,
            proven_at: asked_at,
            recorded_nodes: self.store.len() as u32,
            is_recorded: self.store.get(&node) == Some(&self.nodes[node].incarnation),
        };
        let delay = self.delay();
        if self.nodes[node].reaches_store {
            self.after(delay, Event::StoreAnswered { node, proof });
        }
    }

    fn publish(&mut self, node: usize) {
        if !self.nodes[node].reaches_store {
            return self.after(500 * MS, Event::Publish { node });
        }
        let before = self.store.insert(node, self.nodes[node].incarnation);
        let delay = self.delay();
        let takes_over = before.is_some();
        self.after(delay, Event::PublishAnswered { node, takes_over });
    }

    fn published(&mut self, node: usize, takes_over: bool) {
        let now = self.local(node);
        let settings = self.settings;
        let ownership = &mut self.nodes[node].ownership;
        match takes_over {
            true => ownership.took_over_record(&settings, now),
            false => ownership.created_record(&settings, now),
        }
    }

    pub(crate) fn name(node: usize) -> String {
        format!("node-{node:03}")
    }

    pub(crate) fn is_cut(&mut self, a: usize, b: usize) -> bool {
        let is_lost = self.trouble == Trouble::All && self.rng.random_bool(0.01);
        a != b && (self.nodes[a].side != self.nodes[b].side || is_lost)
    }

    pub(crate) fn runs(&mut self, account: usize) {
        self.ran[account].push(self.agenda.now());
        self.served_within_quota += u64::from(is_within_quota(account));
    }

    /// A request enters; in trouble, one account asks for many times its quota.
    fn arrive(&mut self) {
        let total: f64 = ACCOUNTS.iter().map(|account| account.0).sum();
        let factor = match self.trouble {
            Trouble::None => 0.6,
            _ => 3.0,
        };
        let gap = SECOND as f64 / (total * factor);
        let gap = (gap * self.rng.random_range(0.0..2.0)) as Micros;
        self.after(gap, Event::Arrive);
        let mut place = self.rng.random_range(0.0..total);
        let mut account = 0;
        while place > ACCOUNTS[account].0 {
            place -= ACCOUNTS[account].0;
            account += 1;
        }
        let count = self.nodes.len();
        let node = match self.trouble {
            Trouble::SlowLinks => self.rng.random_range(0..count),
            // The clients of an account sit at a third of the nodes.
            _ => (self.rng.random_range(0..count / 3) * 3 + account) % count,
        };
        if !self.nodes[node].is_up || self.nodes[node].is_frozen {
            return;
        }
        self.within_quota += u64::from(is_within_quota(account));
        let now = self.local(node);
        let settings = self.settings;
        let state = &mut self.nodes[node];
        let share = state.ownership.owned(state.proof.as_ref(), &settings, now);
        // Requests with keys need a proof, as at the entry of a node.
        let is_proven = state
            .proof
            .is_some_and(|proof| proof.age(now) <= settings.proof_lifetime);
        if !is_proven {
            return;
        }
        match state.ledger.request(&quota(account), 0, || share, now) {
            TokenRequest::Taken(_) => self.runs(account),
            TokenRequest::Refused { .. } => {}
            TokenRequest::Ask => {
                let group = group_of(quota(account).account, settings.groups);
                state.waiting.entry(group).or_default().push(account);
                self.report(node, group);
            }
        }
    }
}
