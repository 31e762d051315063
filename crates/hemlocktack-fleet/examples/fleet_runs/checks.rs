//! What must hold while a fleet runs, and after its faults have ended.

use std::collections::VecDeque;
use std::time::Duration;

use hemlocktack_protocol::{Generation, Incarnation, NodeState};

use crate::node::{Process, Slot};
use crate::world::World;

const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// An accepted generation is in force everywhere within this time.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// A leaving upstream is out of every view within this time.
pub(crate) const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// The same where nobody was there who could tell: by probing.
const UNTOLD_LIMIT: Duration = Duration::from_secs(20);
/// After a cut, nodes that hold each other for dead find each other again
/// within this time; the other limits count from then.
const RECONNECT_LIMIT: Duration = Duration::from_secs(5);
/// Two nodes undisturbed for so long never hold each other for dead.
const DEATH_CALM: Duration = Duration::from_secs(40);
/// A node undisturbed for so long is suspected wrongly.
const SUSPICION_CALM: Duration = Duration::from_secs(15);
/// Longest backoff towards the platform, and a little.
const PLATFORM_CALM: Duration = Duration::from_secs(36);
/// Datagram loss up to which the limits above are promised.
const CALM_LOSS: f64 = 0.05;

type Verdict = Result<(), String>;

/// Generations in force at one time, by slot; none where a node was disturbed.
struct Sample {
    at: Duration,
    generations: Vec<Option<(Incarnation, Generation)>>,
}

/// State of the checks.
#[derive(Default)]
pub(crate) struct Checks {
    next: Duration,
    samples: VecDeque<Sample>,
    /// When datagrams were last lost at more than the calm rate.
    lossy: Duration,
    /// Looks of one node at an undisturbed other one, and how many of them
    /// found it suspected.
    pub(crate) views: u64,
    pub(crate) false_suspicions: u64,
    /// Generation that every undisturbed node has in force.
    pub(crate) settled: Generation,
}

impl Checks {
    /// The generation in force never goes down.
    pub(crate) fn installed(
        &mut self,
        number: usize,
        process: &mut Process,
        generation: Generation,
    ) -> Verdict {
        if generation <= process.installed {
            let before = process.installed;
            return Err(format!(
                "{number} goes from generation {before} to {generation}"
            ));
        }
        process.installed = generation;
        Ok(())
    }

    /// A start takes no calls before it has what was in force everywhere else
    /// when it started.
    pub(crate) fn caught_up(&self, number: usize, process: &Process, slot: &Slot) -> Verdict {
        let is_undisturbed = slot.disturbed <= process.started;
        let floor = if is_undisturbed { process.floor } else { 1 };
        if process.installed < floor {
            let installed = process.installed;
            return Err(format!(
                "{number} takes calls with generation {installed} below {floor}"
            ));
        }
        Ok(())
    }
}

impl World {
    pub(crate) fn check_if_due(&mut self) -> Verdict {
        if self.now < self.checks.next {
            return Ok(());
        }
        self.checks.next = self.now + CHECK_PERIOD;
        self.answer_watches();
        self.mark_disturbed();
        self.check_generations()?;
        self.check_leaving()?;
        self.check_deaths()?;
        self.count_false_suspicions();
        self.check_fail_static()
    }

    /// Counts how often a node that is up and undisturbed is suspected: no
    /// broken promise, but one choice less for calls.
    fn count_false_suspicions(&mut self) {
        for number in 0..self.slots.len() {
            let quiet = self.now.saturating_sub(self.slots[number].disturbed);
            if quiet < SUSPICION_CALM || self.slots[number].process.is_none() {
                continue;
            }
            for viewer in (0..self.slots.len()).filter(|&viewer| viewer != number) {
                let is_cut = self.network.is_cut(viewer, number);
                let Some(state) = self.state_in_view(viewer, number).filter(|_| !is_cut) else {
                    continue;
                };
                self.checks.views += 1;
                self.checks.false_suspicions += u64::from(state == NodeState::Suspect);
            }
        }
    }

    /// Marks the smaller side of each cut, or both of two like sides.
    fn mark_disturbed(&mut self) {
        const SMALL_SHARE: usize = 3;
        let now = self.now;
        if self.network.loss > CALM_LOSS {
            self.checks.lossy = now;
        }
        for cut in &self.network.cuts {
            let is_small = cut.side.len() * SMALL_SHARE <= self.slots.len();
            let other = if is_small { &[][..] } else { &cut.other[..] };
            for &number in cut.side.iter().chain(other) {
                self.slots[number].disturbed = now + RECONNECT_LIMIT;
            }
        }
        for slot in &mut self.slots {
            if slot.is_frozen(now) || slot.process.is_none() {
                slot.disturbed = slot.disturbed.max(now);
            }
        }
    }

    /// Slots whose node, and whose network, was undisturbed for so long.
    fn calm(&self, period: Duration) -> Vec<usize> {
        let since = |time: Duration| self.now.saturating_sub(time);
        if since(self.checks.lossy) < period {
            return Vec::new();
        }
        let is_calm = |slot: &Slot| slot.process.is_some() && since(slot.disturbed) >= period;
        let numbered = self.slots.iter().enumerate();
        numbered
            .filter(|(_, slot)| is_calm(slot))
            .map(|(number, _)| number)
            .collect()
    }

    fn check_generations(&mut self) -> Verdict {
        let calm = self.calm(IN_FORCE_LIMIT);
        let required = self.required_generation(&calm);
        for &number in &calm {
            let Some(process) = &self.slots[number].process else {
                continue;
            };
            let generation = process.in_force.generation();
            let is_serving = process.in_force.is_caught_up();
            if is_serving && generation < required {
                return Err(format!(
                    "{number} still has generation {generation} of {required}"
                ));
            }
        }
        let generations: Vec<_> = (0..self.slots.len())
            .map(|number| self.sampled(number, &calm))
            .collect();
        self.checks.settled = generations
            .iter()
            .flatten()
            .map(|(_, generation)| *generation)
            .min()
            .unwrap_or(0);
        let at = self.now;
        self.checks.samples.push_back(Sample { at, generations });
        Ok(())
    }

    fn sampled(&self, number: usize, calm: &[usize]) -> Option<(Incarnation, Generation)> {
        let process = self.slots[number].process.as_ref()?;
        let sample = (process.incarnation, process.in_force.generation());
        calm.contains(&number).then_some(sample)
    }

    /// Highest generation that an undisturbed node had a limit ago, or that
    /// the undisturbed platform stored then.
    fn required_generation(&mut self, calm: &[usize]) -> Generation {
        let since = self.now.saturating_sub(IN_FORCE_LIMIT);
        let samples = &mut self.checks.samples;
        while samples.get(1).is_some_and(|sample| sample.at <= since) {
            samples.pop_front();
        }
        let platform_calm = self.now.saturating_sub(self.platform.disturbed) >= PLATFORM_CALM;
        let stored = match platform_calm && self.platform.written <= since {
            true => self.platform.generation(),
            false => 0,
        };
        let Some(sample) = samples.front().filter(|sample| sample.at <= since) else {
            return stored;
        };
        let held = calm.iter().filter_map(|&number| sample.generations[number]);
        held.map(|(_, generation)| generation)
            .max()
            .unwrap_or(0)
            .max(stored)
    }

    fn check_leaving(&self) -> Verdict {
        let calm = self.calm(LEAVING_LIMIT);
        let long_calm = self.calm(UNTOLD_LIMIT);
        for (number, slot) in self.slots.iter().enumerate() {
            let Some(incarnation) = self.gone_or_going(slot) else {
                continue;
            };
            let takes = |viewer: &usize| self.accepts_new_calls(*viewer, number, incarnation);
            let somebody_knows = calm.iter().any(|viewer| takes(viewer) == Some(false));
            let is_bound = |viewer: &&usize| somebody_knows || long_calm.contains(viewer);
            let wrong = calm
                .iter()
                .filter(is_bound)
                .find(|viewer| takes(viewer) == Some(true));
            if let Some(viewer) = wrong {
                return Err(format!("{viewer} still places calls on leaving {number}"));
            }
        }
        Ok(())
    }

    /// Whether a viewer would place calls on that start of a node; `None` if
    /// it does not know it.
    fn accepts_new_calls(&self, viewer: usize, number: usize, of: Incarnation) -> Option<bool> {
        let process = self.slots[viewer].process.as_ref()?;
        let peer = process.membership.peer(&self.slots[number].node_id)?;
        (peer.member.incarnation == of).then(|| peer.accepts_new_calls())
    }

    /// Incarnation of a node that has been leaving for longer than the limit,
    /// undisturbed so that it could say so.
    fn gone_or_going(&self, slot: &Slot) -> Option<Incarnation> {
        let is_long_ago = |time: Duration| self.now.saturating_sub(time) >= LEAVING_LIMIT;
        let Some(process) = &slot.process else {
            return slot.left.map(|(incarnation, _)| incarnation);
        };
        let leaving = [process.leaving_since, process.upstream_drained];
        let is_leaving = leaving.into_iter().flatten().any(is_long_ago);
        (is_leaving && is_long_ago(slot.disturbed)).then_some(process.incarnation)
    }

    fn check_deaths(&self) -> Verdict {
        let calm = self.calm(DEATH_CALM);
        for &viewer in &calm {
            for &number in &calm {
                if self.state_in_view(viewer, number) == Some(NodeState::Dead) {
                    return Err(format!("{viewer} holds the healthy {number} for dead"));
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

    fn check_fail_static(&self) -> Verdict {
        for (number, slot) in self.slots.iter().enumerate() {
            let Some(process) = &slot.process else {
                continue;
            };
            let is_serving = process.life.state() == NodeState::Ready;
            if is_serving && !process.in_force.is_caught_up() {
                return Err(format!("{number} gives up what it has in force"));
            }
        }
        Ok(())
    }

    /// After the faults have ended: all views are the same and right.
    pub(crate) fn check_converged(&self) -> Verdict {
        for viewer in 0..self.slots.len() {
            let Some(process) = &self.slots[viewer].process else {
                continue;
            };
            let generation = process.in_force.generation();
            if generation != self.platform.generation() {
                return Err(format!("{viewer} ends with generation {generation}"));
            }
            for number in (0..self.slots.len()).filter(|&number| number != viewer) {
                self.check_view(viewer, number)?;
            }
        }
        Ok(())
    }

    fn check_view(&self, viewer: usize, number: usize) -> Verdict {
        let slot = &self.slots[number];
        let Some(process) = self.slots[viewer].process.as_ref() else {
            return Ok(());
        };
        let peer = process.membership.peer(&slot.node_id);
        let is_live = |state| !matches!(state, NodeState::Dead | NodeState::Left);
        let Some(running) = &slot.process else {
            return match peer.is_some_and(|peer| is_live(peer.state)) {
                true => Err(format!("{viewer} holds the stopped {number} for live")),
                false => Ok(()),
            };
        };
        let own = running.membership.own();
        match peer {
            Some(peer) if peer.member == *own && peer.state == own.state() => Ok(()),
            Some(peer) => Err(format!("{viewer} sees {number} as {:?}", peer.state)),
            None => Err(format!("{viewer} does not know {number}")),
        }
    }
}
