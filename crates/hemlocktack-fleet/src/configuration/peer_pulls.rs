//! What a node hears from its peers, and whom it asks next.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{ConfigurationDocument, Generation};
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};

use super::settings::ConfigurationSafeguard;
use super::state::{ConfigurationAction, ConfigurationState, PeerView};

/// Peers with a higher generation that are remembered.
const HEARD_LIMIT: usize = 8;

pub(super) struct Pull {
    node_id: String,
    sent: Instant,
}

impl ConfigurationState {
    /// A peer says that it has a higher generation in force.
    pub fn peer_announced(&mut self, node_id: &str, generation: Generation) {
        if generation <= self.newest_seen() {
            return;
        }
        self.heard.insert(node_id.to_owned(), generation);
        if self.heard.len() > HEARD_LIMIT {
            let lowest = self.heard.iter().min_by_key(|(_, heard)| **heard);
            let lowest = lowest.map(|(node_id, _)| node_id.clone());
            self.heard
                .retain(|node_id, _| Some(node_id) != lowest.as_ref());
        }
    }

    /// A peer answered a pull; `None` where it has nothing above what is in
    /// force here, or nothing at all (`in_force` 0).
    pub fn peer_answered(
        &mut self,
        now: Instant,
        node_id: &str,
        in_force: Generation,
        document: Option<ConfigurationDocument>,
    ) -> Vec<ConfigurationAction> {
        let mut actions = Vec::new();
        self.end_pull(node_id, now);
        self.heard.remove(node_id);
        if in_force > 0 {
            self.answered.insert(node_id.to_owned());
        }
        if let Some(document) = document {
            self.take(document, &mut actions);
        }
        actions
    }

    /// A peer did not answer a pull.
    pub fn peer_failed(&mut self, now: Instant, node_id: &str, rng: &mut impl Rng) {
        const LONGEST_PAUSE: Duration = Duration::from_millis(200);
        self.heard.remove(node_id);
        let pause = LONGEST_PAUSE.mul_f64(rng.random_range(0.0..1.0));
        self.end_pull(node_id, now + pause);
    }

    fn end_pull(&mut self, node_id: &str, next: Instant) {
        if self
            .pull
            .as_ref()
            .is_some_and(|pull| pull.node_id == node_id)
        {
            self.pull = None;
            self.next_pull = next;
        }
    }

    pub(super) fn drop_overdue_pull(&mut self, now: Instant) {
        let Some(pull) = &self.pull else {
            return;
        };
        if now.saturating_duration_since(pull.sent) >= self.settings.pull_timeout {
            self.heard.remove(&pull.node_id);
            self.pull = None;
        }
    }

    pub(super) fn ask_peer(
        &mut self,
        now: Instant,
        view: &PeerView,
        actions: &mut Vec<ConfigurationAction>,
        rng: &mut impl Rng,
    ) {
        let keeps = self.settings.keeps(ConfigurationSafeguard::PeerPull);
        if !keeps || self.pull.is_some() || now < self.next_pull {
            return;
        }
        let Some(node_id) = self.next_peer(view, rng) else {
            return;
        };
        self.pull = Some(Pull {
            node_id: node_id.clone(),
            sent: now,
        });
        let above = self.newest_seen();
        actions.push(ConfigurationAction::Pull { node_id, above });
    }

    /// Any peer with a higher generation; while starting without the platform,
    /// any ready peer that has not answered yet.
    fn next_peer(&self, view: &PeerView, rng: &mut impl Rng) -> Option<String> {
        let heard = self.heard.keys().choose(rng);
        if heard.is_some() || self.caught_up || !self.platform.has_failed() {
            return heard.cloned();
        }
        let unasked = |node_id: &&String| !self.answered.contains(*node_id);
        view.ready.iter().filter(unasked).choose(rng).cloned()
    }
}
