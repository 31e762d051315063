//! Injects faults, and ends them all.

use crate::world::events::Event;
use crate::world::process::RunEnd;
use crate::world::{At, SLOT_COUNT, TimeMs, World};

type Fault = fn(&mut World, usize);

/// Relative rates of the faults, drawn for each seed.
///
/// With every fault at its usual rate, two of the same kind rarely follow each other; in a run
/// without cuts and with many kills they do.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultRates {
    kill: u32,
    freeze: u32,
    cut: u32,
    partition: u32,
    stop: u32,
    crash_upstream: u32,
    interval_ms: TimeMs,
    pub(crate) slow_frame_percent: u32,
    pub(crate) queued_frame_percent: u32,
}

impl FaultRates {
    pub(super) fn draw(world: &mut World) -> FaultRates {
        FaultRates {
            kill: world.pick(&[0, 8, 8, 40, 100]).unwrap_or_default(),
            freeze: world.pick(&[0, 14, 14, 40]).unwrap_or_default(),
            cut: world.pick(&[0, 33, 33, 100]).unwrap_or_default(),
            partition: world.pick(&[0, 10, 10, 30]).unwrap_or_default(),
            stop: world.pick(&[0, 13, 13, 40]).unwrap_or_default(),
            crash_upstream: world.pick(&[0, 10, 10]).unwrap_or_default(),
            interval_ms: world.pick(&[60, 160, 160, 400]).unwrap_or(160),
            slow_frame_percent: world.pick(&[0, 6, 6, 30, 60]).unwrap_or_default(),
            queued_frame_percent: world.pick(&[0, 15, 50]).unwrap_or_default(),
        }
    }

    fn sum(&self) -> u32 {
        self.kill + self.freeze + self.cut + self.partition + self.stop + self.crash_upstream
    }
}

impl World {
    pub(super) fn inject_fault(&mut self) {
        if self.faults_ended {
            return;
        }
        let slot = self.random_between(0, SLOT_COUNT as u64 - 1) as usize;
        let rates = self.fault_rates;
        let mut drawn = self.random_between(0, u64::from(rates.sum())) as u32;
        let faults: [(u32, Fault); 6] = [
            (rates.kill, World::kill),
            (rates.freeze, World::freeze),
            (rates.cut, |world, _| world.cut_random_link()),
            (rates.partition, World::partition),
            (rates.stop, World::stop),
            (rates.crash_upstream, World::crash_upstream),
        ];
        for (rate, fault) in faults {
            if drawn < rate {
                fault(self, slot);
                break;
            }
            drawn -= rate;
        }
        let delay_ms = self.random_between(5, rates.interval_ms);
        self.schedule_event(delay_ms, Event::Fault);
    }

    fn kill(&mut self, slot: usize) {
        let Some(process) = self.processes[slot].take() else {
            return;
        };
        self.ledger.counts.kills += 1;
        self.trace_line(|| format!("kill {}", process.name));
        self.cut_all(process.at);
        // In half of the cases early enough that frames to the previous process are still in flight.
        let delay_ms = match self.random_chance(50) {
            true => self.random_between(1, 30),
            false => self.random_between(30, 600),
        };
        self.schedule_event(delay_ms, Event::Restart(slot));
    }

    fn freeze(&mut self, slot: usize) {
        let Some(process) = self.processes[slot]
            .as_mut()
            .filter(|process| !process.frozen)
        else {
            return;
        };
        process.frozen = true;
        let at = process.at;
        self.ledger.counts.freezes += 1;
        // Sometimes longer than every timeout.
        let delay_ms = self.random_between(20, 3000);
        self.schedule_event(delay_ms, Event::Wake(at));
    }

    pub(super) fn wake(&mut self, at: At) {
        let process = self.processes[at.slot]
            .as_mut()
            .filter(|process| process.at == at);
        let Some(process) = process else {
            return;
        };
        process.frozen = false;
        let deferred = std::mem::take(&mut process.deferred);
        for event in deferred {
            self.schedule_event(0, event);
        }
    }

    fn cut_random_link(&mut self) {
        let pairs: Vec<_> = self.open_sessions.keys().copied().collect();
        if let Some((one, other)) = self.pick(&pairs) {
            self.ledger.counts.cuts += 1;
            self.cut(one, other);
        }
    }

    fn partition(&mut self, slot: usize) {
        let other = self.random_between(0, SLOT_COUNT as u64 - 1) as usize;
        let until_ms = self.now_ms + self.random_between(50, 2500);
        self.partitioned_until
            .insert((slot.min(other), slot.max(other)), until_ms);
        let pairs: Vec<_> = self.open_sessions.keys().copied().collect();
        let is_between = |(one, two): &(At, At)| {
            (one.slot, two.slot) == (slot, other) || (one.slot, two.slot) == (other, slot)
        };
        for (one, two) in pairs.into_iter().filter(is_between) {
            self.cut(one, two);
        }
    }

    fn stop(&mut self, slot: usize) {
        let is_frozen = self.processes[slot]
            .as_ref()
            .is_some_and(|process| process.frozen);
        if is_frozen {
            return;
        }
        let Some(mut process) = self.processes[slot].take() else {
            return;
        };
        self.trace_line(|| format!("planned stop of {}", process.name));
        self.plan_stop(&mut process);
        self.return_process(process);
    }

    fn crash_upstream(&mut self, slot: usize) {
        let Some(process) = &mut self.processes[slot] else {
            return;
        };
        for run in process
            .runs
            .values_mut()
            .filter(|run| run.end == RunEnd::Answer)
        {
            run.end = RunEnd::Failed;
        }
    }

    /// Stops new requests and faults, resumes frozen processes and ends all partitions.
    pub(super) fn end_faults(&mut self) {
        self.faults_ended = true;
        self.partitioned_until.clear();
        let frozen: Vec<_> = self
            .processes
            .iter()
            .flatten()
            .map(|process| process.at)
            .collect();
        for at in frozen {
            self.schedule_event(0, Event::Wake(at));
        }
    }
}
