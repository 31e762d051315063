//! The configuration that one node has in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{ConfigurationDocument, Generation};
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};

use super::platform_calls::PlatformCalls;
use super::settings::{ConfigurationSafeguard, ConfigurationSettings};

/// Peers with a higher generation that are remembered.
const HEARD_LIMIT: usize = 8;

/// Longest pause before a watch that follows a refused one: a change is still
/// in force within seconds.
const REWATCH_PAUSE: Duration = Duration::from_secs(2);

/// What the runtime has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationAction {
    /// Read the stored document from the platform; answer with
    /// [`InForce::platform_answered`] or [`InForce::platform_failed`].
    AskPlatform {
        /// Only a generation above this one is news.
        above: Generation,
        /// Let the platform hold the call until there is one (a watch).
        wait: bool,
    },
    /// Ask a peer over a link; answer with [`InForce::peer_answered`] or
    /// [`InForce::peer_failed`].
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
pub struct PeersView {
    /// Live nodes that have a configuration in force.
    pub ready: Vec<String>,
    /// Whether this node is to watch the platform.
    pub is_watcher: bool,
}

struct Pull {
    node_id: String,
    sent: Instant,
}

/// The configuration in force on one node: which one, whether it has caught up
/// since the start, and whom to ask next.
///
/// Nothing here waits for agreement. The platform's conditional update has
/// ordered the generations already; a node only has to move up.
pub struct InForce {
    settings: ConfigurationSettings,
    current: Option<ConfigurationDocument>,
    /// Highest generation seen that this version cannot read.
    unreadable: Generation,
    caught_up: bool,
    heard: BTreeMap<String, Generation>,
    answered: BTreeSet<String>,
    pull: Option<Pull>,
    next_pull: Instant,
    platform: PlatformCalls,
    was_watcher: bool,
    /// The store no longer knows the revision that was watched from.
    is_revision_gone: bool,
}

impl InForce {
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
    fn is_behind(&self) -> bool {
        self.unreadable > self.generation()
    }

    /// Highest generation seen, readable or not: peers are not asked for it again.
    fn newest_seen(&self) -> Generation {
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
        view: &PeersView,
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

    /// A peer says that it has a higher generation in force.
    pub fn hear(&mut self, node_id: &str, generation: Generation) {
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

    /// A command on this very node has stored a document.
    pub fn stored_here(&mut self, document: ConfigurationDocument) -> Vec<ConfigurationAction> {
        let mut actions = Vec::new();
        self.take(document, &mut actions);
        actions
    }

    /// The platform answered: with a document, or with nothing above what is
    /// in force.
    pub fn platform_answered(
        &mut self,
        now: Instant,
        document: Option<ConfigurationDocument>,
        view: &PeersView,
        rng: &mut impl Rng,
    ) -> Vec<ConfigurationAction> {
        let mut actions = Vec::new();
        if let Some(document) = document {
            self.take(document, &mut actions);
        }
        let pause = self.pause_after_answer(view, rng);
        self.platform.succeed(now, pause);
        self.is_revision_gone = false;
        if self.current.is_some() && !self.is_behind() {
            self.catch_up(&mut actions);
        }
        actions
    }

    /// The platform no longer knows the revision that was watched from: a read
    /// follows at once, and a pause before the next watch.
    pub fn revision_gone(&mut self, now: Instant) {
        self.platform.succeed(now, Duration::ZERO);
        self.is_revision_gone = true;
    }

    /// The platform refused, was out, or its answer was lost.
    pub fn platform_failed(&mut self, now: Instant, rng: &mut impl Rng) {
        self.platform.fail(now, &self.settings, rng);
        let keeps = self.settings.keeps(ConfigurationSafeguard::FailStatic);
        if !keeps {
            self.caught_up = false;
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

    fn drop_overdue_pull(&mut self, now: Instant) {
        let Some(pull) = &self.pull else {
            return;
        };
        if now.saturating_duration_since(pull.sent) >= self.settings.pull_timeout {
            self.heard.remove(&pull.node_id);
            self.pull = None;
        }
    }

    /// Takes a document into force if its generation is higher.
    ///
    /// Answers overtake each other: a slow peer's or a retried read's may come
    /// after a newer one. Taking it would revert a change that operators were
    /// told is in force.
    fn take(&mut self, document: ConfigurationDocument, actions: &mut Vec<ConfigurationAction>) {
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

    fn ask_platform(
        &mut self,
        now: Instant,
        view: &PeersView,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let watches = self.watches(view);
        if watches && !self.was_watcher {
            self.platform.hurry(now);
        }
        self.was_watcher = watches;
        if !self.platform.is_due(now) {
            return;
        }
        let wait = watches && self.caught_up && !self.is_revision_gone;
        let timeout = match wait {
            true => self.settings.watch_timeout,
            false => self.settings.read_timeout,
        };
        self.platform.begin(now, timeout);
        let above = self.generation();
        actions.push(ConfigurationAction::AskPlatform { above, wait });
    }

    fn watches(&self, view: &PeersView) -> bool {
        view.is_watcher && self.settings.keeps(ConfigurationSafeguard::Watchers)
    }

    /// A watcher asks again at once; a starting fleet without any document
    /// asks soon; all others seldom, at times drawn apart. A node that cannot
    /// read the document hears of a newer one from peers as well, and a whole
    /// fleet of an older version must not use up the platform's rates.
    fn pause_after_answer(&self, view: &PeersView, rng: &mut impl Rng) -> Duration {
        if self.is_revision_gone {
            // Where the store forgets faster than a watch follows, reads and
            // refused watches without a pause would use up the node's budget.
            return REWATCH_PAUSE.mul_f64(rng.random_range(0.5..1.0));
        }
        if self.watches(view) && self.caught_up {
            return Duration::ZERO;
        }
        if !self.caught_up && self.is_behind() {
            return self
                .settings
                .backoff_limit
                .mul_f64(rng.random_range(0.5..1.0));
        }
        if !self.caught_up {
            return self.settings.backoff_base;
        }
        let backstop = self.settings.backstop_period;
        backstop.mul_f64(rng.random_range(0.5..1.5))
    }

    fn ask_peer(
        &mut self,
        now: Instant,
        view: &PeersView,
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
    fn next_peer(&self, view: &PeersView, rng: &mut impl Rng) -> Option<String> {
        let heard = self.heard.keys().choose(rng);
        if heard.is_some() || self.caught_up || !self.platform.has_failed() {
            return heard.cloned();
        }
        let unasked = |node_id: &&String| !self.answered.contains(*node_id);
        view.ready.iter().filter(unasked).choose(rng).cloned()
    }

    /// Without the platform a starting node has caught up when several ready
    /// peers have answered and none is known to have more. One peer alone may
    /// have been cut off itself.
    fn check_caught_up(&mut self, view: &PeersView, actions: &mut Vec<ConfigurationAction>) {
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

    fn catch_up(&mut self, actions: &mut Vec<ConfigurationAction>) {
        if !self.caught_up {
            self.caught_up = true;
            actions.push(ConfigurationAction::CaughtUp);
        }
    }
}
