//! Randomly chosen faults and operator commands.

use std::time::Duration;

use hemlocktack_fleet::drain::Announcement;
use rand::RngExt;
use rand::seq::IteratorRandom;
use strum::{EnumIter, IntoEnumIterator};

use crate::network::Cut;
use crate::platform::PlatformCondition;
use crate::world::{Event, World};

/// A fault or operator command; `Quiet` lets time pass without one.
#[derive(Clone, Copy, Debug, EnumIter)]
enum Fault {
    Kill,
    Start,
    Restart,
    Freeze,
    CutNode,
    CutDataCentre,
    CutRegion,
    LoseDatagrams,
    PlatformOut,
    PlatformSlow,
    PlatformLosesAnswers,
    Apply,
    RacingApplies,
    DrainNode,
    DrainUpstream,
    UpstreamReturns,
    Quiet,
}

impl World {
    /// Injects one random fault or command and lets a random time pass.
    pub(crate) fn inject_fault(&mut self, step: u64) -> Result<(), String> {
        let Some(fault) = Fault::iter().choose(&mut self.rng) else {
            return Ok(());
        };
        let number = self.rng.random_range(0..self.slots.len());
        self.note(format!("step {step}: {fault:?} {number}"));
        self.apply_fault(fault, number, step);
        let pause = match fault {
            Fault::Quiet => Duration::from_millis(self.rng.random_range(5_000..60_000)),
            _ => Duration::from_millis(self.rng.random_range(50..4_000)),
        };
        self.run_until(self.now + pause)
    }

    fn apply_fault(&mut self, fault: Fault, number: usize, step: u64) {
        match fault {
            Fault::Kill => self.kill(number),
            Fault::Start if self.slots[number].process.is_none() => self.start(number),
            Fault::Start | Fault::Quiet => {}
            Fault::Restart => {
                self.kill(number);
                self.start(number);
            }
            Fault::Freeze => {
                let until = self.random_time_from_now(200, 30_000);
                let slot = &mut self.slots[number];
                slot.frozen_until = slot.frozen_until.max(until);
            }
            Fault::CutNode => self.cut(vec![number]),
            Fault::CutDataCentre => {
                let wanted = self.slots[number].data_centre.clone();
                self.cut(self.slots_where(|slot| slot.data_centre == wanted));
            }
            Fault::CutRegion => {
                let wanted = self.slots[number].region.clone();
                self.cut(self.slots_where(|slot| slot.region == wanted));
            }
            Fault::LoseDatagrams => {
                self.network.loss = self.rng.random_range(0.0..0.3);
                self.network.loss_ends = self.random_time_from_now(1_000, 20_000);
            }
            Fault::PlatformOut => self.set_platform_condition(PlatformCondition::Unavailable),
            Fault::PlatformSlow => self.set_platform_condition(PlatformCondition::Slow),
            Fault::PlatformLosesAnswers => {
                self.set_platform_condition(PlatformCondition::LosesAnswers)
            }
            Fault::Apply => self.issue_command(number, step, 0),
            Fault::RacingApplies => self.issue_racing_commands(number, step),
            Fault::DrainNode => self.drain_node(number),
            Fault::DrainUpstream => self.drain_upstream(number),
            Fault::UpstreamReturns => self.return_upstream(number),
        }
    }

    fn random_time_from_now(&mut self, least_ms: u64, most_ms: u64) -> Duration {
        self.now + Duration::from_millis(self.rng.random_range(least_ms..most_ms))
    }

    fn slots_where(&self, is_wanted: impl Fn(&crate::node::Slot) -> bool) -> Vec<usize> {
        let wanted = |number: &usize| is_wanted(&self.slots[*number]);
        (0..self.slots.len()).filter(wanted).collect()
    }

    fn kill(&mut self, number: usize) {
        self.slots[number].process = None;
        self.slots[number].left = None;
        self.slots[number].disturbed_at = self.now;
    }

    fn cut(&mut self, side: Vec<usize>) {
        let other: Vec<usize> = (0..self.slots.len())
            .filter(|number| !side.contains(number))
            .collect();
        let ends = self.random_time_from_now(500, 60_000);
        self.network.cuts.push(Cut { side, other, ends });
    }

    fn set_platform_condition(&mut self, condition: PlatformCondition) {
        self.platform.condition = condition;
        self.platform.condition_ends = self.random_time_from_now(1_000, 60_000);
    }

    fn issue_racing_commands(&mut self, number: usize, step: u64) {
        let other = self.rng.random_range(0..self.slots.len());
        self.issue_command(number, step, 0);
        self.issue_command(other, step, 1);
    }

    /// Issues an operator's command, based on the generation that the node has in force.
    fn issue_command(&mut self, number: usize, step: u64, operator: u64) {
        let Some(process) = &self.slots[number].process else {
            return;
        };
        let expected = process.configuration.generation();
        let change_id = format!("change-{step}-{operator}");
        let delay = Duration::from_millis(self.rng.random_range(1..200));
        self.schedule(
            number,
            delay,
            Event::Write {
                expected,
                change_id,
            },
        );
    }

    fn drain_node(&mut self, number: usize) {
        const LONGEST_CALL_TICKS: usize = 80;
        let in_flight = self.rng.random_range(0..LONGEST_CALL_TICKS);
        self.with_lifecycle(number, |process, instant| {
            process.in_flight = process.in_flight.max(in_flight);
            process.lifecycle.drain(instant)
        });
    }

    fn drain_upstream(&mut self, number: usize) {
        let now = self.now;
        self.with_lifecycle(number, |process, _| {
            let actions = process.lifecycle.drain_upstream();
            process.upstream_drained.get_or_insert(now);
            actions
        });
    }

    fn return_upstream(&mut self, number: usize) {
        const SLOTS: u32 = 45;
        self.with_lifecycle(number, |process, instant| {
            let announcement = Announcement {
                address: process.upstream_address,
                slots: SLOTS,
                is_cold: true,
                is_other_start: false,
            };
            process.upstream_drained = None;
            process.lifecycle.announce(instant, announcement)
        });
    }

    /// Ends all faults and checks that the fleet converges.
    pub(crate) fn heal(&mut self) -> Result<(), String> {
        const CONVERGENCE_LIMIT: Duration = Duration::from_secs(150);
        self.network.cuts.clear();
        self.network.loss = 0.0;
        self.platform.condition = PlatformCondition::Healthy;
        self.note("all faults ended".to_owned());
        self.run_until(self.now + CONVERGENCE_LIMIT)?;
        self.check_converged()
    }
}
