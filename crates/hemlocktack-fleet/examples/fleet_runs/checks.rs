//! Guarantees that must hold while a fleet runs and after its faults have ended.

use std::collections::VecDeque;
use std::time::Duration;

use hemlocktack_protocol::{Generation, Incarnation, NodeState};

use crate::node::{Process, Slot};
use crate::world::World;

const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time within which an accepted generation must be in force on every undisturbed node.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Time within which no undisturbed node may send calls to a leaving node or upstream.
pub(crate) const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// The same where no node could announce the departure, so that probes have to detect it.
const UNANNOUNCED_LIMIT: Duration = Duration::from_secs(20);
/// Time within which nodes that consider each other dead reconnect after a partition; the other
/// limits count from then.
const RECONNECT_LIMIT: Duration = Duration::from_secs(5);
/// Two nodes that were undisturbed for this time must not consider each other dead.
const DEAD_CHECK_AFTER: Duration = Duration::from_secs(40);
/// A suspicion of a node that was undisturbed for this time counts as false.
const SUSPECT_CHECK_AFTER: Duration = Duration::from_secs(15);
/// Time after which every node has called a recovered platform: slightly more than the longest
/// backoff.
const PLATFORM_RECOVERY_LIMIT: Duration = Duration::from_secs(36);
/// Share of lost datagrams up to which the limits above are guaranteed.
const TOLERATED_LOSS: f64 = 0.05;

type CheckResult = Result<(), String>;

/// Generations in force at one time, by slot; `None` for disturbed nodes.
struct GenerationSample {
    at: Duration,
    generations: Vec<Option<(Incarnation, Generation)>>,
}

/// State of the checks.
#[derive(Default)]
pub(crate) struct Checks {
    next: Duration,
    samples: VecDeque<GenerationSample>,
    /// When the share of lost datagrams last exceeded `TOLERATED_LOSS`.
    last_lossy: Duration,
    /// How often the view that one node has of another, undisturbed one was examined.
    pub(crate) observations: u64,
    /// Those of the observations that found the node suspected.
    pub(crate) false_suspicions: u64,
    /// Lowest generation that an undisturbed node has in force.
    pub(crate) common_generation: Generation,
}

impl Checks {
    /// Checks that the generation in force never decreases.
    pub(crate) fn check_installed(
        &mut self,
        number: usize,
        process: &mut Process,
        generation: Generation,
    ) -> CheckResult {
        if generation <= process.installed {
            let before = process.installed;
            return Err(format!(
                "node {number} installs generation {generation} after {before}"
            ));
        }
        process.installed = generation;
        Ok(())
    }

    /// Checks that a process accepts no calls before it has the generation that was in force on all
    /// other nodes when it started.
    pub(crate) fn check_caught_up(
        &self,
        number: usize,
        process: &Process,
        slot: &Slot,
    ) -> CheckResult {
        let is_undisturbed = slot.disturbed_at <= process.started;
        let min_generation = if is_undisturbed {
            process.min_generation
        } else {
            1
        };
        if process.installed < min_generation {
            let installed = process.installed;
            return Err(format!(
                "node {number} accepts calls with generation {installed}, below {min_generation}"
            ));
        }
        Ok(())
    }
}

impl World {
    pub(crate) fn check_if_due(&mut self) -> CheckResult {
        if self.now < self.checks.next {
            return Ok(());
        }
        self.checks.next = self.now + CHECK_PERIOD;
        self.answer_watches();
        self.record_disturbances();
        self.check_generations()?;
        self.check_leaving()?;
        self.check_deaths()?;
        self.count_false_suspicions();
        self.check_fail_static()
    }

    /// Counts how often a running, undisturbed node is suspected. This violates no guarantee, but
    /// leaves one node less to send calls to.
    fn count_false_suspicions(&mut self) {
        for number in 0..self.slots.len() {
            let quiet = self.now.saturating_sub(self.slots[number].disturbed_at);
            if quiet < SUSPECT_CHECK_AFTER || self.slots[number].process.is_none() {
                continue;
            }
            for viewer in (0..self.slots.len()).filter(|&viewer| viewer != number) {
                let is_cut = self.network.is_cut(viewer, number);
                let Some(state) = self.state_in_view(viewer, number).filter(|_| !is_cut) else {
                    continue;
                };
                self.checks.observations += 1;
                self.checks.false_suspicions += u64::from(state == NodeState::Suspect);
            }
        }
    }

    /// Records which nodes are disturbed. A partition disturbs its smaller side, or both sides where
    /// neither is small.
    fn record_disturbances(&mut self) {
        const SMALL_SHARE: usize = 3;
        let now = self.now;
        if self.network.loss > TOLERATED_LOSS {
            self.checks.last_lossy = now;
        }
        for cut in &self.network.cuts {
            let is_small = cut.side.len() * SMALL_SHARE <= self.slots.len();
            let other = if is_small { &[][..] } else { &cut.other[..] };
            for &number in cut.side.iter().chain(other) {
                self.slots[number].disturbed_at = now + RECONNECT_LIMIT;
            }
        }
        for slot in &mut self.slots {
            if slot.is_frozen(now) || slot.process.is_none() {
                slot.disturbed_at = slot.disturbed_at.max(now);
            }
        }
    }

    /// Returns the slots of running nodes that were undisturbed for `period`; none if too many
    /// datagrams were lost in that time.
    fn undisturbed_slots(&self, period: Duration) -> Vec<usize> {
        let since = |time: Duration| self.now.saturating_sub(time);
        if since(self.checks.last_lossy) < period {
            return Vec::new();
        }
        let is_calm = |slot: &Slot| slot.process.is_some() && since(slot.disturbed_at) >= period;
        let numbered = self.slots.iter().enumerate();
        numbered
            .filter(|(_, slot)| is_calm(slot))
            .map(|(number, _)| number)
            .collect()
    }

    fn check_generations(&mut self) -> CheckResult {
        let undisturbed_slots = self.undisturbed_slots(IN_FORCE_LIMIT);
        let required = self.required_generation(&undisturbed_slots);
        for &number in &undisturbed_slots {
            let Some(process) = &self.slots[number].process else {
                continue;
            };
            let generation = process.configuration.generation();
            let is_serving = process.configuration.is_caught_up();
            if is_serving && generation < required {
                return Err(format!(
                    "node {number} still has generation {generation}, must have {required}"
                ));
            }
        }
        let generations: Vec<_> = (0..self.slots.len())
            .map(|number| self.sample_generation(number, &undisturbed_slots))
            .collect();
        self.checks.common_generation = generations
            .iter()
            .flatten()
            .map(|(_, generation)| *generation)
            .min()
            .unwrap_or(0);
        let at = self.now;
        self.checks
            .samples
            .push_back(GenerationSample { at, generations });
        Ok(())
    }

    fn sample_generation(
        &self,
        number: usize,
        undisturbed_slots: &[usize],
    ) -> Option<(Incarnation, Generation)> {
        let process = self.slots[number].process.as_ref()?;
        let sample = (process.incarnation, process.configuration.generation());
        undisturbed_slots.contains(&number).then_some(sample)
    }

    /// Returns the highest generation that an undisturbed node had in force `IN_FORCE_LIMIT` ago, or
    /// that the undisturbed platform had stored by then.
    fn required_generation(&mut self, undisturbed_slots: &[usize]) -> Generation {
        let since = self.now.saturating_sub(IN_FORCE_LIMIT);
        let samples = &mut self.checks.samples;
        while samples.get(1).is_some_and(|sample| sample.at <= since) {
            samples.pop_front();
        }
        let platform_calm =
            self.now.saturating_sub(self.platform.disturbed_at) >= PLATFORM_RECOVERY_LIMIT;
        let stored = match platform_calm && self.platform.written <= since {
            true => self.platform.generation(),
            false => 0,
        };
        let Some(sample) = samples.front().filter(|sample| sample.at <= since) else {
            return stored;
        };
        let held = undisturbed_slots
            .iter()
            .filter_map(|&number| sample.generations[number]);
        held.map(|(_, generation)| generation)
            .max()
            .unwrap_or(0)
            .max(stored)
    }

    fn check_leaving(&self) -> CheckResult {
        let undisturbed_slots = self.undisturbed_slots(LEAVING_LIMIT);
        let undisturbed_longer = self.undisturbed_slots(UNANNOUNCED_LIMIT);
        for (number, slot) in self.slots.iter().enumerate() {
            let Some(incarnation) = self.leaving_incarnation(slot) else {
                continue;
            };
            let takes = |viewer: &usize| self.accepts_new_calls(*viewer, number, incarnation);
            let is_announced = undisturbed_slots
                .iter()
                .any(|viewer| takes(viewer) == Some(false));
            let is_bound = |viewer: &&usize| is_announced || undisturbed_longer.contains(viewer);
            let wrong = undisturbed_slots
                .iter()
                .filter(is_bound)
                .find(|viewer| takes(viewer) == Some(true));
            if let Some(viewer) = wrong {
                return Err(format!(
                    "node {viewer} still sends calls to the leaving node {number}"
                ));
            }
        }
        Ok(())
    }

    /// Returns whether `viewer` would send calls to that incarnation of a node; `None` if it does not
    /// know it.
    fn accepts_new_calls(&self, viewer: usize, number: usize, of: Incarnation) -> Option<bool> {
        let process = self.slots[viewer].process.as_ref()?;
        let peer = process.membership.peer(&self.slots[number].node_id)?;
        (peer.member.incarnation == of).then(|| peer.accepts_new_calls())
    }

    /// Returns the incarnation of a node that has been leaving for longer than `LEAVING_LIMIT`, and
    /// was undisturbed so that it could announce it.
    fn leaving_incarnation(&self, slot: &Slot) -> Option<Incarnation> {
        let is_long_ago = |time: Duration| self.now.saturating_sub(time) >= LEAVING_LIMIT;
        let Some(process) = &slot.process else {
            return slot.left.map(|(incarnation, _)| incarnation);
        };
        let leaving = [process.leaving_since, process.upstream_drained];
        let is_leaving = leaving.into_iter().flatten().any(is_long_ago);
        (is_leaving && is_long_ago(slot.disturbed_at)).then_some(process.incarnation)
    }

    fn check_deaths(&self) -> CheckResult {
        let undisturbed_slots = self.undisturbed_slots(DEAD_CHECK_AFTER);
        for &viewer in &undisturbed_slots {
            for &number in &undisturbed_slots {
                if self.state_in_view(viewer, number) == Some(NodeState::Dead) {
                    return Err(format!(
                        "node {viewer} considers the healthy node {number} dead"
                    ));
                }
            }
        }
        Ok(())
    }

    fn state_in_view(&self, viewer: usize, number: usize) -> Option<NodeState> {
        let viewed = self.slots[number].process.as_ref()?;
        let viewer = self.slots[viewer].process.as_ref()?;
        let peer = viewer.membership.peer(&self.slots[number].node_id)?;
        (peer.member.incarnation == viewed.incarnation).then_some(peer.state)
    }

    fn check_fail_static(&self) -> CheckResult {
        for (number, slot) in self.slots.iter().enumerate() {
            let Some(process) = &slot.process else {
                continue;
            };
            let is_serving = process.lifecycle.state() == NodeState::Ready;
            if is_serving && !process.configuration.is_caught_up() {
                return Err(format!(
                    "node {number} is ready without a caught-up configuration"
                ));
            }
        }
        Ok(())
    }

    /// Checks that all views are equal and correct after the faults have ended.
    pub(crate) fn check_converged(&self) -> CheckResult {
        for viewer in 0..self.slots.len() {
            let Some(process) = &self.slots[viewer].process else {
                continue;
            };
            let generation = process.configuration.generation();
            if generation != self.platform.generation() {
                return Err(format!("node {viewer} ends with generation {generation}"));
            }
            for number in (0..self.slots.len()).filter(|&number| number != viewer) {
                self.check_view(viewer, number)?;
            }
        }
        Ok(())
    }

    fn check_view(&self, viewer: usize, number: usize) -> CheckResult {
        let slot = &self.slots[number];
        let Some(process) = self.slots[viewer].process.as_ref() else {
            return Ok(());
        };
        let peer = process.membership.peer(&slot.node_id);
        let is_live = |state| !matches!(state, NodeState::Dead | NodeState::Left);
        let Some(running) = &slot.process else {
            return match peer.is_some_and(|peer| is_live(peer.state)) {
                true => Err(format!(
                    "node {viewer} considers the stopped node {number} alive"
                )),
                false => Ok(()),
            };
        };
        let own = running.membership.own();
        match peer {
            Some(peer) if peer.member == *own && peer.state == own.state() => Ok(()),
            Some(peer) => Err(format!(
                "node {viewer} sees node {number} as {:?}",
                peer.state
            )),
            None => Err(format!("node {viewer} does not know node {number}")),
        }
    }
}
