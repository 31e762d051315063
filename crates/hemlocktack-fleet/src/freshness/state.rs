//! Decides when to ask whom for a newer proof, and keeps the newest one.

use std::time::Duration;

use hemlocktack_protocol::BootTime;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use super::proof::FreshnessProof;
use super::settings::FreshnessSettings;

/// Question for the runtime to ask. It reports the end with [`FreshnessState::answered`] or
/// [`FreshnessState::failed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FreshnessAction {
    /// Ask the platform's store.
    AskStore,
    /// Ask another node.
    AskPeer {
        /// The node to ask.
        node_id: String,
    },
}

/// Whom this node may ask, from membership.
#[derive(Clone, Debug, Default)]
pub struct FreshnessSources {
    /// Whether this node is one of the sources of its data centre, which ask the store.
    pub is_source: bool,
    /// The other sources of its data centre.
    pub local_sources: Vec<String>,
    /// Other ready nodes, to be asked in place of sources that do not answer.
    pub others: Vec<String>,
}

/// The newest proof of one node, and the schedule of its questions.
#[derive(Debug)]
pub struct FreshnessState {
    settings: FreshnessSettings,
    proof: Option<FreshnessProof>,
    unanswered: usize,
    next_ask: BootTime,
    next_other_ask: BootTime,
    peer_failed: bool,
}

impl FreshnessState {
    /// Creates the state without a proof.
    pub fn new(settings: FreshnessSettings, now: BootTime) -> Self {
        FreshnessState {
            settings,
            proof: None,
            unanswered: 0,
            next_ask: now,
            next_other_ask: now,
            peer_failed: false,
        }
    }

    /// Returns the newest proof.
    pub fn proof(&self) -> Option<FreshnessProof> {
        self.proof
    }

    /// Returns the questions that are due; must be called several times per interval. `sources` is
    /// called only if there are any.
    pub fn tick(
        &mut self,
        now: BootTime,
        sources: impl FnOnce() -> FreshnessSources,
        rng: &mut impl Rng,
    ) -> Vec<FreshnessAction> {
        let mut actions = Vec::new();
        let is_overdue = self.is_overdue(now);
        let asks = now >= self.next_ask;
        let asks_another = is_overdue && now >= self.next_other_ask;
        let is_due = asks || asks_another;
        if !is_due || self.unanswered >= self.settings.max_unanswered {
            return actions;
        }
        let sources = sources();
        if asks {
            self.next_ask = now.plus(self.interval(sources.is_source, is_overdue));
            actions.extend(self.question(&sources, rng));
        }
        if asks_another {
            let pause = self.settings.other_ask_interval;
            self.next_other_ask = now.plus(pause.mul_f64(rng.random_range(0.5..1.5)));
            actions.extend(other_question(&sources, rng));
        }
        self.unanswered += actions.len();
        actions
    }

    fn is_overdue(&self, now: BootTime) -> bool {
        let age = self.proof.map(|proof| proof.age(now));
        age.is_none_or(|age| age >= self.settings.overdue_age)
    }

    fn interval(&self, is_source: bool, is_overdue: bool) -> Duration {
        match is_overdue && is_source {
            true => self.settings.overdue_interval,
            false => self.settings.ask_interval,
        }
    }

    /// Returns the regular question: of a source to the store, of any other node to a source, or to
    /// another node after a source has not answered.
    fn question(&self, sources: &FreshnessSources, rng: &mut impl Rng) -> Option<FreshnessAction> {
        if sources.is_source {
            return Some(FreshnessAction::AskStore);
        }
        let asks_others = self.peer_failed && !sources.others.is_empty();
        let candidates = match asks_others || sources.local_sources.is_empty() {
            true => &sources.others,
            false => &sources.local_sources,
        };
        let node_id = candidates.choose(rng)?.clone();
        Some(FreshnessAction::AskPeer { node_id })
    }

    /// Handles an answer; returns whether it is newer than the proof so far.
    pub fn answered(&mut self, proof: FreshnessProof) -> bool {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.peer_failed = false;
        let is_newer = self
            .proof
            .is_none_or(|known| proof.proven_at > known.proven_at);
        if is_newer {
            self.proof = Some(proof);
        }
        is_newer
    }

    /// Handles a question without an answer, or one whose answer proves nothing.
    pub fn failed(&mut self, action: &FreshnessAction) {
        self.unanswered = self.unanswered.saturating_sub(1);
        if matches!(action, FreshnessAction::AskPeer { .. }) {
            self.peer_failed = true;
        }
    }
}

/// Returns the question that a node asks besides its regular one while its proof is overdue: a
/// source that the store turns away asks other nodes, and a node whose sources are unreachable, or
/// no better off, asks the store.
fn other_question(sources: &FreshnessSources, rng: &mut impl Rng) -> Option<FreshnessAction> {
    if !sources.is_source {
        return Some(FreshnessAction::AskStore);
    }
    let node_id = sources.others.choose(rng)?.clone();
    Some(FreshnessAction::AskPeer { node_id })
}
