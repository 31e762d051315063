//! The configuration that one node has in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use hemlocktack_protocol::{ConfigurationDocument, Generation};
use rand::Rng;

use super::peer_pulls::Pull;
use super::platform_calls::PlatformCalls;
use super::settings::{ConfigurationSafeguard, ConfigurationSettings};

/// What the runtime has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationAction {
    /// Read the stored document from the platform; answer with
    /// [`ConfigurationState::platform_answered`] or [`ConfigurationState::platform_failed`].
    ReadPlatform {
        /// Only a generation above this one is news.
        above: Generation,
        /// Let the platform hold the call until there is one (a watch).
        wait: bool,
    },
    /// Ask a peer over a link; answer with [`ConfigurationState::peer_answered`] or
    /// [`ConfigurationState::peer_failed`].
    Pull {
        /// Peer to ask.
        node_id: String,
        /// Generation in force here.
        above: Generation,
    },
    /// Bring a document into force and tell peers its generation.
    Install {
        /// The document, as stored.
        document: ConfigurationDocument,
    },
    /// Tell the operators that this version cannot read a document.
    ReportUnreadable {
        /// Its generation.
        generation: Generation,
    },
    /// This node may take calls now.
    CaughtUp,
}

/// What membership says at this moment.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Live nodes that have a configuration in force.
    pub ready: Vec<String>,
    /// Whether this node is to watch the platform.
    pub is_watcher: bool,
}

/// The configuration in force on one node: which one, whether it has caught up
/// since the start, and whom to ask next.
///
/// Nothing here waits for agreement. The platform's conditional update has
/// ordered the generations already; a node only has to move up.
pub struct ConfigurationState {
    pub(super) settings: ConfigurationSettings,
    pub(super) current: Option<ConfigurationDocument>,
    /// Highest generation seen that this version cannot read.
    unreadable: Generation,
    pub(super) caught_up: bool,
    pub(super) heard: BTreeMap<String, Generation>,
    pub(super) answered: BTreeSet<String>,
    pub(super) pull: Option<Pull>,
    pub(super) next_pull: Instant,
    pub(super) platform: PlatformCalls,
    pub(super) was_watcher: bool,
    /// The store no longer knows the revision that was watched from.
    pub(super) is_revision_gone: bool,
}

impl ConfigurationState {
    /// Starts with nothing in force.
    pub fn new(settings: ConfigurationSettings, now: Instant) -> Self {
        Self {
            settings,
            current: None,
            unreadable: 0,
            caught_up: false,
            heard: BTreeMap::new(),
            answered: BTreeSet::new(),
            pull: None,
            next_pull: now,
            platform: PlatformCalls::new(now),
            was_watcher: false,
            is_revision_gone: false,
        }
    }

    /// Generation in force; 0 for none.
    pub fn generation(&self) -> Generation {
        self.current
            .as_ref()
            .map_or(0, |document| document.generation)
    }

    /// Whether a newer document than the one in force could not be read.
    pub(super) fn is_behind(&self) -> bool {
        self.unreadable > self.generation()
    }

    /// Highest generation seen, readable or not: peers are not asked for it again.
    pub(super) fn newest_seen(&self) -> Generation {
        self.generation().max(self.unreadable)
    }

    /// Document in force, for peers that pull it.
    pub fn current(&self) -> Option<&ConfigurationDocument> {
        self.current.as_ref()
    }

    /// Whether calls may be taken.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// To be called several times a second.
    pub fn tick(
        &mut self,
        now: Instant,
        view: &PeerView,
        rng: &mut impl Rng,
    ) -> Vec<ConfigurationAction> {
        let mut actions = Vec::new();
        if self.platform.is_overdue(now) {
            self.platform.fail(now, &self.settings, rng);
        }
        self.drop_overdue_pull(now);
        self.ask_platform(now, view, &mut actions);
        self.check_caught_up(view, &mut actions);
        self.ask_peer(now, view, &mut actions, rng);
        actions
    }

    /// A command on this very node has stored a document.
    pub fn stored_locally(&mut self, document: ConfigurationDocument) -> Vec<ConfigurationAction> {
        let mut actions = Vec::new();
        self.take(document, &mut actions);
        actions
    }

    /// Takes a document into force if its generation is higher.
    ///
    /// Answers overtake each other: a slow peer's or a retried read's may come
    /// after a newer one. Taking it would revert a change that operators were
    /// told is in force.
    pub(super) fn take(
        &mut self,
        document: ConfigurationDocument,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let is_higher = document.generation > self.generation();
        let keeps = self.settings.keeps(ConfigurationSafeguard::HigherOnly);
        if document.generation == 0 || (keeps && !is_higher) {
            return;
        }
        let generation = document.generation;
        self.heard.retain(|_, heard| *heard > generation);
        if !(self.settings.can_read)(&document) {
            self.leave_aside(generation, actions);
            return;
        }
        self.current = Some(document.clone());
        actions.push(ConfigurationAction::Install { document });
    }

    /// A document with a field of a newer version is not in force here, whatever
    /// its generation. Were it counted so, a starting node would call itself
    /// ready with nothing to decide by, and refuse every call sent to it.
    fn leave_aside(&mut self, generation: Generation, actions: &mut Vec<ConfigurationAction>) {
        if generation > self.unreadable {
            self.unreadable = generation;
            actions.push(ConfigurationAction::ReportUnreadable { generation });
        }
    }

    /// Without the platform a starting node has caught up when several ready
    /// peers have answered and none is known to have more. One peer alone may
    /// have been cut off itself.
    fn check_caught_up(&mut self, view: &PeerView, actions: &mut Vec<ConfigurationAction>) {
        if !self.settings.keeps(ConfigurationSafeguard::CatchUp) {
            self.catch_up(actions);
            return;
        }
        let needed = self.settings.catch_up_peers.min(view.ready.len()).max(1);
        let is_enough = self.answered.len() >= needed && self.heard.is_empty();
        let has_newest = self.current.is_some() && !self.is_behind();
        if has_newest && self.platform.has_failed() && is_enough {
            self.catch_up(actions);
        }
    }

    pub(super) fn catch_up(&mut self, actions: &mut Vec<ConfigurationAction>) {
        if !self.caught_up {
            self.caught_up = true;
            actions.push(ConfigurationAction::CaughtUp);
        }
    }
}
