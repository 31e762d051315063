//! Reports of nodes to grantors, and what is granted.

use hemlocktack_fleet::quotas::{AccountGroup, WaitingRequest};
use hemlocktack_protocol::{QuotaGrant, QuotaReport};
use rand::RngExt;

use crate::support::{MS, Micros};
use crate::world::{Event, REPORT_TIMEOUT, SentReport, Trouble, World, quota};

impl World {
    pub(crate) fn report(&mut self, node: usize, group: AccountGroup) {
        if self.nodes[node].reporting.contains_key(&group) {
            return;
        }
        let now = self.local(node);
        let names: Vec<String> = (0..self.nodes.len()).map(World::name).collect();
        // Membership is known late: a node that is down is still chosen until it fails to answer.
        let ids = names.iter().map(String::as_str);
        let chosen = self.nodes[node].choice.choose(group, ids, now);
        let to = names.iter().position(|name| Some(name.as_str()) == chosen);
        let to = to.unwrap();
        self.last_serial += 1;
        let sent = SentReport {
            node,
            incarnation: self.nodes[node].incarnation,
            group,
            serial: self.last_serial,
            to,
            to_incarnation: self.nodes[to].incarnation,
            asked_at: now,
        };
        let settings = self.settings;
        let state = &mut self.nodes[node];
        let share = state.ownership.owned(state.proof.as_ref(), &settings, now);
        let waiting = state.waiting.remove(&group).unwrap_or_default();
        let requests: Vec<WaitingRequest> = waiting.iter().map(waiting_request).collect();
        let report = state
            .ledger
            .report(group, sent.to_incarnation, share, &requests, now);
        state.reporting.insert(group, sent.serial);
        state.reported.insert(group, waiting);
        // The node gives up after its timeout, also if an answer comes later.
        self.after(REPORT_TIMEOUT, Event::Lost { sent });
        if !self.is_cut(node, to) {
            let delay = self.report_delay(node, to);
            self.after(delay, Event::Reported { sent, report });
        }
    }

    pub(crate) fn reported(&mut self, sent: SentReport, report: &QuotaReport) {
        let SentReport { node, to, .. } = sent;
        if self.nodes[to].incarnation != sent.to_incarnation {
            return;
        }
        let now = self.local(to);
        let find = |id: u64| Some(quota(id as usize - 1));
        let grant = self.nodes[to]
            .grantor
            .handle(sent.incarnation, report, find, now);
        if !self.is_cut(node, to) {
            let delay = if to == node { 0 } else { self.delay() };
            self.after(delay, Event::Granted { sent, grant });
        }
    }

    /// Returns the requests that waited for a report, if it is the one that is on its way.
    fn take_reported(&mut self, sent: &SentReport) -> Option<Vec<usize>> {
        let state = &mut self.nodes[sent.node];
        if state.reporting.get(&sent.group) != Some(&sent.serial) {
            return None;
        }
        state.reporting.remove(&sent.group);
        Some(state.reported.remove(&sent.group).unwrap_or_default())
    }

    pub(crate) fn granted(&mut self, sent: SentReport, grant: &QuotaGrant) {
        let Some(waiting) = self.take_reported(&sent) else {
            return;
        };
        let now = self.local(sent.node);
        let ledger = &mut self.nodes[sent.node].ledger;
        ledger.granted(sent.group, sent.to_incarnation, grant, sent.asked_at, now);
        for account in waiting {
            let quota = quota(account);
            let ledger = &mut self.nodes[sent.node].ledger;
            match ledger.take_granted(quota.account, now) {
                Some(_) => self.runs(account),
                None => drop(ledger.refused(&quota, 0, now)),
            }
        }
        let has_waiting = self.nodes[sent.node].waiting.contains_key(&sent.group);
        if has_waiting {
            self.report(sent.node, sent.group);
        }
    }

    pub(crate) fn lost(&mut self, sent: SentReport) {
        let Some(waiting) = self.take_reported(&sent) else {
            return;
        };
        let now = self.local(sent.node);
        let pause = self.settings.grantor_pause;
        let state = &mut self.nodes[sent.node];
        state.choice.pass_over(&World::name(sent.to), pause, now);
        state.waiting.entry(sent.group).or_default().extend(waiting);
        self.report(sent.node, sent.group);
    }

    /// Returns the delay of a report.
    fn report_delay(&mut self, node: usize, to: usize) -> Micros {
        let is_fast = node == (to + 1) % self.nodes.len();
        let is_slow = self.trouble == Trouble::SlowLinks && !is_fast;
        match (node == to, is_slow) {
            (true, _) => 0,
            (_, true) => self.rng.random_range(400 * MS..590 * MS),
            _ => self.delay(),
        }
    }
}

fn waiting_request(account: &usize) -> WaitingRequest {
    WaitingRequest {
        account: quota(*account).account,
        class_rank: 0,
    }
}
