//! Calls to the platform, and configuration pulls between nodes.

use std::time::Duration;

use hemlocktack_protocol::Generation;
use rand::RngExt;

use crate::node::Process;
use crate::platform::{PlatformCondition, Watch};
use crate::world::{Event, World};

impl World {
    pub(crate) fn read_platform(&mut self, number: usize, above: Generation, wait: bool) {
        const WATCH_LIMIT: Duration = Duration::from_secs(30);
        self.platform.calls += 1;
        let condition = self.platform.condition;
        let delay = match condition {
            PlatformCondition::Slow => Duration::from_millis(self.rng.random_range(500..4_000)),
            _ => Duration::from_millis(self.rng.random_range(1..10)),
        };
        let answer = match condition {
            PlatformCondition::Unavailable => Event::PlatformFailed,
            _ => Event::PlatformAnswer(self.platform.read(above)),
        };
        let is_empty = matches!(answer, Event::PlatformAnswer(None));
        if !(wait && is_empty) {
            self.push_to_outbox(number, delay, answer);
            return;
        }
        let ends = self.now + WATCH_LIMIT;
        self.platform.watches.push(Watch {
            number,
            above,
            ends,
        });
    }

    /// Answers the watches that have a newer document or whose time limit has passed.
    pub(crate) fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.platform.watches) {
            let document = self.platform.read(watch.above);
            let is_out = self.platform.condition == PlatformCondition::Unavailable;
            let event = match (is_out, document) {
                (true, _) => Event::PlatformFailed,
                (false, None) if self.now < watch.ends => {
                    self.platform.watches.push(watch);
                    continue;
                }
                (false, document) => Event::PlatformAnswer(document),
            };
            self.schedule(watch.number, Duration::from_millis(2), event);
        }
    }

    pub(crate) fn pull(&mut self, number: usize, node_id: String, above: Generation) {
        const FAILURE_DELAY: Duration = Duration::from_millis(2);
        let target = self.slots.iter().position(|slot| slot.node_id == node_id);
        let Some(target) = target else {
            return;
        };
        if self.network.is_cut(number, target) {
            return;
        }
        if self.slots[target].process.is_none() {
            self.push_to_outbox(number, FAILURE_DELAY, Event::PullFailed { from: node_id });
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(300..5_000));
        let request = Event::PullRequest {
            from: number,
            above,
        };
        self.push_to_outbox(target, delay, request);
    }

    pub(crate) fn answer_pull(
        &mut self,
        number: usize,
        process: &Process,
        from: usize,
        above: Generation,
    ) {
        if self.network.is_cut(number, from) {
            return;
        }
        let current = process.configuration.current();
        let document = current.filter(|document| document.generation > above);
        let answer = Event::PullAnswer {
            from: self.slots[number].node_id.clone(),
            in_force: process.configuration.generation(),
            document: document.cloned(),
        };
        let delay = Duration::from_micros(self.rng.random_range(300..600_000));
        self.push_to_outbox(from, delay, answer);
    }

    /// Carries out an operator's command at a node: a conditional update of the platform.
    pub(crate) fn write(&mut self, number: usize, expected: Generation, change_id: String) {
        let condition = self.platform.condition;
        if condition == PlatformCondition::Unavailable {
            return;
        }
        let Some(document) = self.platform.write(self.now, expected, change_id) else {
            return;
        };
        self.note(format!(
            "node {number} stores generation {}",
            document.generation
        ));
        let delay = Duration::from_millis(match condition {
            PlatformCondition::Slow => self.rng.random_range(500..4_000),
            _ => self.rng.random_range(1..10),
        });
        if condition != PlatformCondition::LosesAnswers {
            self.push_to_outbox(number, delay, Event::Stored(document));
        }
    }
}
