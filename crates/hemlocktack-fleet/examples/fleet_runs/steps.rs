//! Delivery of events to the state machines of a process.

use std::time::Instant;

use hemlocktack_fleet::drain::Announcement;
use rand::seq::IteratorRandom;

use crate::node::Process;
use crate::platform::PlatformCondition;
use crate::world::{Event, SEED_COUNT, TICK_PERIOD, World};

const RESEED_TICKS: u64 = 300;
const ANNOUNCE_TICKS: u64 = 10;

impl World {
    /// Delivers one event to a process; returns whether the process has left the fleet.
    pub(crate) fn step(
        &mut self,
        number: usize,
        process: &mut Process,
        event: Event,
        instant: Instant,
    ) -> Result<bool, String> {
        match event {
            Event::Tick(count) => return self.tick(number, process, count, instant),
            Event::Datagram { from, gossip } => {
                let actions = process
                    .membership
                    .receive(instant, from, *gossip, &mut self.rng);
                self.apply_membership_actions(number, process, actions);
            }
            Event::PullRequest { from, above } => self.answer_pull(number, process, from, above),
            Event::PullAnswer {
                from,
                in_force,
                document,
            } => {
                let actions = process
                    .configuration
                    .peer_answered(instant, &from, in_force, document);
                self.apply_configuration_actions(number, process, actions)?;
            }
            Event::PullFailed { from } => {
                process
                    .configuration
                    .peer_failed(instant, &from, &mut self.rng);
            }
            Event::PlatformAnswer(document) => {
                let view = process.peer_view(self.settings.configuration.watchers_per_data_centre);
                let rng = &mut self.rng;
                let actions = process
                    .configuration
                    .platform_answered(instant, document, &view, rng);
                self.apply_configuration_actions(number, process, actions)?;
            }
            Event::PlatformFailed => process
                .configuration
                .platform_failed(instant, &mut self.rng),
            Event::Stored(document) => {
                let actions = process.configuration.stored_locally(document);
                self.apply_configuration_actions(number, process, actions)?;
            }
            Event::Write {
                expected,
                change_id,
            } => self.write(number, expected, change_id),
        }
        Ok(false)
    }

    fn tick(
        &mut self,
        number: usize,
        process: &mut Process,
        count: u64,
        instant: Instant,
    ) -> Result<bool, String> {
        let next = Event::Tick(count + 1);
        self.push_to_outbox(number, TICK_PERIOD, next);
        if count % RESEED_TICKS == RESEED_TICKS - 1
            && self.platform.condition == PlatformCondition::Healthy
        {
            let others = self.slots.iter().map(|slot| slot.address);
            process
                .membership
                .set_seeds(others.sample(&mut self.rng, SEED_COUNT));
        }
        let actions = process.membership.tick(instant, &mut self.rng);
        self.apply_membership_actions(number, process, actions);
        let view = process.peer_view(self.settings.configuration.watchers_per_data_centre);
        let actions = process.configuration.tick(instant, &view, &mut self.rng);
        self.apply_configuration_actions(number, process, actions)?;
        if count.is_multiple_of(ANNOUNCE_TICKS) {
            let announcement = Announcement {
                address: process.upstream_address,
                slots: 45,
                is_cold: false,
                is_other_start: false,
            };
            let actions = process.lifecycle.announce(instant, announcement);
            self.apply_lifecycle_actions(number, process, &actions);
        }
        process.in_flight = process.in_flight.saturating_sub(1);
        let mut actions = process.lifecycle.check_upstream(instant);
        actions.append(&mut process.lifecycle.check_stop(instant, process.in_flight));
        Ok(self.apply_lifecycle_actions(number, process, &actions))
    }
}
