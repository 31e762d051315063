//! Generations announced by peers, and pulls of documents from peers.

use std::time::{Duration, Instant};

use hemlocktack_protocol::{ConfigurationDocument, Generation};
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};

use super::settings::ConfigurationSafeguard;
use super::state::{ConfigurationAction, ConfigurationState, PeerView};

/// Maximum number of peers with a higher generation that are remembered.
const NEWER_PEERS_LIMIT: usize = 8;

pub(super) struct Pull {
    node_id: String,
    sent: Instant,
}

impl ConfigurationState {
    /// Handles the announcement of a peer's active generation.
    pub fn peer_announced(&mut self, node_id: &str, generation: Generation) {
        if generation <= self.newest_seen() {
            return;
        }
        self.newer_at_peers.insert(node_id.to_owned(), generation);
        if self.newer_at_peers.len() > NEWER_PEERS_LIMIT {
            let lowest = self
                .newer_at_peers
                .iter()
                .min_by_key(|(_, announced)| **announced);
            let lowest = lowest.map(|(node_id, _)| node_id.clone());
            self.newer_at_peers
                .retain(|node_id, _| Some(node_id) != lowest.as_ref());
        }
    }

    /// Handles a peer's answer to a pull. `document` is `None` if the peer has nothing newer than
    /// the requested generation, or nothing at all (`peer_generation` 0).
    pub fn peer_answered(
        &mut self,
        now: Instant,
        node_id: &str,
        peer_generation: Generation,
        document: Option<ConfigurationDocument>,
    ) -> Vec<ConfigurationAction> {
        let mut actions = Vec::new();
        self.end_pull(node_id, now);
        self.newer_at_peers.remove(node_id);
        if peer_generation > 0 {
            self.answered_peers.insert(node_id.to_owned());
        }
        if let Some(document) = document {
            self.apply_if_newer(document, &mut actions);
        }
        actions
    }

    /// Handles a pull that the peer did not answer.
    pub fn peer_failed(&mut self, now: Instant, node_id: &str, rng: &mut impl Rng) {
        const MAX_DELAY: Duration = Duration::from_millis(200);
        self.newer_at_peers.remove(node_id);
        let delay = MAX_DELAY.mul_f64(rng.random_range(0.0..1.0));
        self.end_pull(node_id, now + delay);
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

    pub(super) fn drop_timed_out_pull(&mut self, now: Instant) {
        let Some(pull) = &self.pull else {
            return;
        };
        if now.saturating_duration_since(pull.sent) >= self.settings.pull_timeout {
            self.newer_at_peers.remove(&pull.node_id);
            self.pull = None;
        }
    }

    pub(super) fn pull_from_peer(
        &mut self,
        now: Instant,
        view: &PeerView,
        actions: &mut Vec<ConfigurationAction>,
        rng: &mut impl Rng,
    ) {
        let may_pull = self.settings.is_enabled(ConfigurationSafeguard::PeerPull);
        if !may_pull || self.pull.is_some() || now < self.next_pull {
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

    /// Returns a random peer with a higher generation. While this node starts without the platform,
    /// it returns any ready peer that has not answered yet.
    fn next_peer(&self, view: &PeerView, rng: &mut impl Rng) -> Option<String> {
        let newer_peer = self.newer_at_peers.keys().choose(rng);
        if newer_peer.is_some() || self.caught_up || !self.platform.has_failed() {
            return newer_peer.cloned();
        }
        let has_not_answered = |node_id: &&String| !self.answered_peers.contains(*node_id);
        view.ready
            .iter()
            .filter(has_not_answered)
            .choose(rng)
            .cloned()
    }
}
