//! Faults and commands, drawn at random.

use std::time::Duration;

use hemlocktack_fleet::drain::Announcement;
use rand::RngExt;
use rand::seq::IteratorRandom;
use strum::{EnumIter, IntoEnumIterator};

use crate::network::Cut;
use crate::platform::Weather;
use crate::world::{Event, World};

/// One thing that may happen to a fleet.
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
    /// Lets one fault or command happen and some time pass.
    pub(crate) fn disturb(&mut self, step: u64) -> Result<(), String> {
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
                let until = self.later(200, 30_000);
                let slot = &mut self.slots[number];
                slot.frozen_until = slot.frozen_until.max(until);
            }
            Fault::CutNode => self.cut(vec![number]),
            Fault::CutDataCentre => {
                let wanted = self.slots[number].data_centre.clone();
                self.cut(self.numbers(|slot| slot.data_centre == wanted));
            }
            Fault::CutRegion => {
                let wanted = self.slots[number].region.clone();
                self.cut(self.numbers(|slot| slot.region == wanted));
            }
            Fault::LoseDatagrams => {
                self.network.loss = self.rng.random_range(0.0..0.3);
                self.network.loss_ends = self.later(1_000, 20_000);
            }
            Fault::PlatformOut => self.change_weather(Weather::Out),
            Fault::PlatformSlow => self.change_weather(Weather::Slow),
            Fault::PlatformLosesAnswers => self.change_weather(Weather::LosesAnswers),
            Fault::Apply => self.command(number, step, 0),
            Fault::RacingApplies => self.race(number, step),
            Fault::DrainNode => self.drain_node(number),
            Fault::DrainUpstream => self.drain_upstream(number),
            Fault::UpstreamReturns => self.return_upstream(number),
        }
    }

    fn later(&mut self, least_ms: u64, most_ms: u64) -> Duration {
        self.now + Duration::from_millis(self.rng.random_range(least_ms..most_ms))
    }

    fn numbers(&self, is_wanted: impl Fn(&crate::node::Slot) -> bool) -> Vec<usize> {
        let wanted = |number: &usize| is_wanted(&self.slots[*number]);
        (0..self.slots.len()).filter(wanted).collect()
    }

    fn kill(&mut self, number: usize) {
        self.slots[number].process = None;
        self.slots[number].left = None;
        self.slots[number].disturbed = self.now;
    }

    fn cut(&mut self, side: Vec<usize>) {
        let other: Vec<usize> = (0..self.slots.len())
            .filter(|number| !side.contains(number))
            .collect();
        let ends = self.later(500, 60_000);
        self.network.cuts.push(Cut { side, other, ends });
    }

    fn change_weather(&mut self, weather: Weather) {
        self.platform.weather = weather;
        self.platform.weather_ends = self.later(1_000, 60_000);
    }

    fn race(&mut self, number: usize, step: u64) {
        let other = self.rng.random_range(0..self.slots.len());
        self.command(number, step, 0);
        self.command(other, step, 1);
    }

    /// An operator's command, based on the generation that the node shows.
    fn command(&mut self, number: usize, step: u64, operator: u64) {
        let Some(process) = &self.slots[number].process else {
            return;
        };
        let expected = process.in_force.generation();
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
        self.with_life(number, |process, instant| {
            process.in_flight = process.in_flight.max(in_flight);
            process.life.drain(instant)
        });
    }

    fn drain_upstream(&mut self, number: usize) {
        let now = self.now;
        self.with_life(number, |process, _| {
            let actions = process.life.drain_upstream();
            process.upstream_drained.get_or_insert(now);
            actions
        });
    }

    fn return_upstream(&mut self, number: usize) {
        const SLOTS: u32 = 45;
        self.with_life(number, |process, instant| {
            let announcement = Announcement {
                address: process.upstream_address,
                slots: SLOTS,
                is_cold: true,
                is_other_start: false,
            };
            process.upstream_drained = None;
            process.life.announce(instant, announcement)
        });
    }

    /// Ends all faults and lets the fleet settle.
    pub(crate) fn heal(&mut self) -> Result<(), String> {
        const SETTLING: Duration = Duration::from_secs(150);
        self.network.cuts.clear();
        self.network.loss = 0.0;
        self.platform.weather = Weather::Fine;
        self.note("all faults end".to_owned());
        self.run_until(self.now + SETTLING)?;
        self.check_converged()
    }
}
