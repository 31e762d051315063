//! State machine for the active configuration of a node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use hemlocktack_protocol::{ConfigurationDocument, Generation};
use rand::Rng;

use super::peer_pulls::Pull;
use super::platform_calls::PlatformCalls;
use super::settings::{ConfigurationSafeguard, ConfigurationSettings};

/// Action for the runtime to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationAction {
    /// Read the stored document from the platform; report the result with
    /// [`ConfigurationState::platform_answered`] or [`ConfigurationState::platform_failed`].
    ReadPlatform {
        /// Only a higher generation than this one is of interest.
        above: Generation,
        /// Whether the platform shall hold the call open until there is one (a watch).
        wait: bool,
    },
    /// Pull from a peer over a link; report the result with [`ConfigurationState::peer_answered`]
    /// or [`ConfigurationState::peer_failed`].
    Pull {
        /// Peer to pull from.
        node_id: String,
        /// Highest generation that this node has seen.
        above: Generation,
    },
    /// Make a document the active configuration and announce its generation to peers.
    Install {
        /// The document, as stored.
        document: ConfigurationDocument,
    },
    /// Report to the operators that this version cannot read a document.
    ReportUnreadable {
        /// Generation of the document.
        generation: Generation,
    },
    /// The configuration has caught up, so this node may take calls.
    CaughtUp,
}

/// Current information from membership.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Live nodes that have an active configuration.
    pub ready: Vec<String>,
    /// Whether this node shall watch the platform.
    pub is_watcher: bool,
}

/// State machine for the active configuration of one node: which document is active, whether it has
/// caught up since the start, and where to look for a newer one.
///
/// Nodes need no consensus here. The platform's conditional update already orders the generations,
/// so a node only moves to higher ones.
pub struct ConfigurationState {
    pub(super) settings: ConfigurationSettings,
    pub(super) current: Option<ConfigurationDocument>,
    /// Highest generation seen that this version cannot read; 0 for none.
    unreadable: Generation,
    pub(super) caught_up: bool,
    pub(super) newer_at_peers: BTreeMap<String, Generation>,
    pub(super) answered_peers: BTreeSet<String>,
    pub(super) pull: Option<Pull>,
    pub(super) next_pull: Instant,
    pub(super) platform: PlatformCalls,
    pub(super) was_watcher: bool,
    /// Whether a read has to precede the next watch. The revision of a node that has not watched may
    /// be minutes old.
    pub(super) must_read: bool,
    /// Watches that broke or were refused since the last one that was answered.
    pub(super) broken_watches: u32,
    /// Whether the outstanding call is a watch.
    pub(super) is_watch_outstanding: bool,
    pub(super) last_return: Option<Instant>,
}

impl ConfigurationState {
    /// Creates the state without an active configuration.
    pub fn new(settings: ConfigurationSettings, now: Instant) -> Self {
        Self {
            settings,
            current: None,
            unreadable: 0,
            caught_up: false,
            newer_at_peers: BTreeMap::new(),
            answered_peers: BTreeSet::new(),
            pull: None,
            next_pull: now,
            platform: PlatformCalls::new(now),
            was_watcher: false,
            must_read: false,
            broken_watches: 0,
            is_watch_outstanding: false,
            last_return: None,
        }
    }

    /// Returns the active generation; 0 for none.
    pub fn generation(&self) -> Generation {
        self.current
            .as_ref()
            .map_or(0, |document| document.generation)
    }

    /// Returns whether a newer document than the active one could not be read.
    pub(super) fn is_behind(&self) -> bool {
        self.unreadable > self.generation()
    }

    /// Returns the highest generation seen, readable or not, which is not pulled from peers again.
    pub(super) fn newest_seen(&self) -> Generation {
        self.generation().max(self.unreadable)
    }

    /// Returns the active document, for peers that pull it.
    pub fn current(&self) -> Option<&ConfigurationDocument> {
        self.current.as_ref()
    }

    /// Returns whether the configuration has caught up, so that calls may be taken.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Starts platform calls and pulls that are due; must be called several times per second.
    pub fn tick(
        &mut self,
        now: Instant,
        view: &PeerView,
        rng: &mut impl Rng,
    ) -> Vec<ConfigurationAction> {
        let mut actions = Vec::new();
        if self.platform.has_timed_out(now) {
            self.record_platform_failure(now, rng);
        }
        self.drop_timed_out_pull(now);
        self.read_platform(now, view, &mut actions, rng);
        self.check_caught_up(view, &mut actions);
        self.pull_from_peer(now, view, &mut actions, rng);
        actions
    }

    /// Handles a document that a command on this node has stored.
    pub fn stored_locally(&mut self, document: ConfigurationDocument) -> Vec<ConfigurationAction> {
        let mut actions = Vec::new();
        self.apply_if_newer(document, &mut actions);
        actions
    }

    /// Makes a document active if its generation is higher than the active one.
    ///
    /// Answers may arrive out of order: the answer of a slow peer or a retried read may arrive
    /// after a newer one. Applying it would revert a change that operators were told is active.
    pub(super) fn apply_if_newer(
        &mut self,
        document: ConfigurationDocument,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let is_higher = document.generation > self.generation();
        let only_higher = self.settings.is_enabled(ConfigurationSafeguard::HigherOnly);
        if document.generation == 0 || (only_higher && !is_higher) {
            return;
        }
        let generation = document.generation;
        self.newer_at_peers
            .retain(|_, announced| *announced > generation);
        if !(self.settings.can_read)(&document) {
            self.record_unreadable(generation, actions);
            return;
        }
        self.current = Some(document.clone());
        actions.push(ConfigurationAction::Install { document });
    }

    /// Records a document that this version cannot read, for example because it has a field of a
    /// newer version, and that is therefore not applied.
    ///
    /// If it counted as active, a starting node would report itself ready without a usable
    /// configuration and refuse every call.
    fn record_unreadable(
        &mut self,
        generation: Generation,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        if generation > self.unreadable {
            self.unreadable = generation;
            actions.push(ConfigurationAction::ReportUnreadable { generation });
        }
    }

    /// Checks whether a starting node has caught up without the platform: several ready peers have
    /// answered, and none is known to have a higher generation. A single peer is not sufficient, as
    /// it may itself have been cut off.
    fn check_caught_up(&mut self, view: &PeerView, actions: &mut Vec<ConfigurationAction>) {
        if !self.settings.is_enabled(ConfigurationSafeguard::CatchUp) {
            self.catch_up(actions);
            return;
        }
        let needed = self.settings.catch_up_peers.min(view.ready.len()).max(1);
        let is_confirmed = self.answered_peers.len() >= needed && self.newer_at_peers.is_empty();
        let has_newest = self.current.is_some() && !self.is_behind();
        if has_newest && self.platform.has_failed() && is_confirmed {
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
