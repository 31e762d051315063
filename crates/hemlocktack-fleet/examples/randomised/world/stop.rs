//! Planned stops: drain, handover, exit.

use hemlocktack_fleet::handover::{HandoverProgress, OutgoingHandover};
use hemlocktack_protocol::frame::Body;
use hemlocktack_protocol::{Handover, HandoverAccepted, TicketProgress};

use crate::world::events::NodeEvent;
use crate::world::home::{fenced_answer, fenced_by_freeze};
use crate::world::network::Reach;
use crate::world::process::{Process, Stop};
use crate::world::safeguards::Safeguard;
use crate::world::{At, TimeMs, World, name_of, service_slots};

const STOP_STEP_MS: TimeMs = 100;
const DRAIN_LIMIT_MS: TimeMs = 6000;
const OFFER_LIMIT: u32 = 12;

impl World {
    pub(super) fn plan_stop(&mut self, process: &mut Process) {
        if process.stop.is_some() {
            return;
        }
        self.ledger.counts.stops += 1;
        process.table.stop_accepting();
        // Far too short now and then, so that tables go over with calls in flight.
        let limit_ms = match self.chance(30) {
            true => self.between(50, 800),
            false => DRAIN_LIMIT_MS,
        };
        process.stop = Some(Stop {
            since_ms: self.now_ms,
            limit_ms,
            leaving: None,
            first_leaving: None,
            offered_to: None,
            offers_left: OFFER_LIMIT,
        });
        self.after_at(STOP_STEP_MS, process.at, NodeEvent::StopStep);
    }

    pub(super) fn stop_step(&mut self, process: &mut Process) {
        let Some(mut stop) = process.stop.take() else {
            return;
        };
        let limit_reached = self.now_ms - stop.since_ms > stop.limit_ms;
        let may_begin =
            process.is_idle() || limit_reached || !self.safeguards.has(Safeguard::StopWaits);
        if stop.leaving.is_none() && may_begin {
            let leaving = OutgoingHandover::begin(&mut process.table);
            stop.first_leaving = Some(leaving.clone());
            stop.leaving = Some(leaving);
            for nonce in fenced_by_freeze(process) {
                self.end(process, nonce, &fenced_answer());
            }
        }
        if stop.leaving.is_some() {
            self.offer(process, &mut stop);
        }
        process.stop = Some(stop);
        if !process.has_left {
            self.after_at(STOP_STEP_MS, process.at, NodeEvent::StopStep);
        }
    }

    fn offer(&mut self, process: &mut Process, stop: &mut Stop) {
        let Some(leaving) = &mut stop.leaving else {
            return;
        };
        if stop.offers_left == 0 {
            self.leave(process);
            return;
        }
        stop.offers_left -= 1;
        let successor = leaving.successor().map(|_| ()).and(stop.offered_to);
        let to = match successor {
            Some(to) if self.safeguards.has(Safeguard::CommitOnce) => to,
            _ => {
                if !leaving.abandon() && !self.safeguards.has(Safeguard::CommitOnce) {
                    stop.leaving.clone_from(&stop.first_leaving);
                }
                let Some(to) = self.choose_successor(process) else {
                    return;
                };
                to
            }
        };
        stop.offered_to = Some(to);
        match self.reach(process, to) {
            Reach::Linked => {}
            Reach::NotYet => {
                self.after_at(1, process.at, NodeEvent::Dial(to));
                return;
            }
            // Committed to a start that has gone: nobody is home any more.
            Reach::OtherStart => return,
        }
        let frames = stop
            .leaving
            .as_mut()
            .map(|leaving| leaving.offer(&name_of(to)));
        for frame in frames.unwrap_or_default() {
            self.send(process, to, Body::Handover(frame));
        }
    }

    fn choose_successor(&mut self, process: &Process) -> Option<At> {
        let is_child_service = service_slots(true).contains(&process.at.slot);
        let slots = service_slots(is_child_service);
        let others: Vec<_> = slots.filter(|slot| *slot != process.at.slot).collect();
        let slot = self.pick(&others)?;
        self.known_start(slot).map(|known| known.at)
    }

    pub(super) fn on_handover(&mut self, process: &mut Process, from: At, mut frame: Handover) {
        if !self.safeguards.has(Safeguard::RunningHandedOver) {
            frame
                .entries
                .retain(|entry| entry.progress() != TicketProgress::Started);
        }
        let home_count = process.table.homes().count();
        let mut at_once = Handover {
            committed: true,
            ..frame.clone()
        };
        at_once.entries.clear();
        let name = name_of(from);
        let accepted = process
            .receiving
            .handle_frame(&mut process.table, &name, frame);
        let Ok(accepted) = accepted else {
            return;
        };
        if accepted.complete && !self.safeguards.has(Safeguard::Commit) {
            let _ = process
                .receiving
                .handle_frame(&mut process.table, &name, at_once);
        }
        if accepted.committed || process.table.homes().count() != home_count {
            self.publish_successions(process);
        }
        self.send(process, from, Body::HandoverAccepted(accepted));
    }

    fn publish_successions(&mut self, process: &Process) {
        let adopted: Vec<_> = process.table.homes().skip(1).cloned().collect();
        for home in adopted {
            let succession = (home.clone(), process.name.clone());
            if self.successions.contains(&succession) {
                continue;
            }
            self.ledger.counts.handovers += 1;
            self.successions.push(succession);
            let hearers: Vec<_> = self
                .processes
                .iter()
                .flatten()
                .map(|other| other.at)
                .collect();
            for hearer in hearers {
                let delay_ms = self.between(1, 300);
                let (home, successor) = (home.clone(), process.name.clone());
                self.after_at(delay_ms, hearer, NodeEvent::Succession { home, successor });
            }
        }
    }

    pub(super) fn on_handover_accepted(
        &mut self,
        process: &mut Process,
        from: At,
        accepted: &HandoverAccepted,
    ) {
        let Some(leaving) = process.stop.as_mut().and_then(|stop| stop.leaving.as_mut()) else {
            return;
        };
        match leaving.handle_accepted(&name_of(from), accepted) {
            HandoverProgress::Waiting | HandoverProgress::Refused => {}
            HandoverProgress::Commit(frames) => {
                for frame in frames {
                    self.send(process, from, Body::Handover(frame));
                }
            }
            HandoverProgress::Finished => self.leave(process),
        }
    }

    fn leave(&mut self, process: &mut Process) {
        let within_limit = process
            .stop
            .as_ref()
            .is_some_and(|stop| self.now_ms - stop.since_ms < stop.limit_ms);
        if !process.is_idle() && within_limit {
            let cut = process.entries.len() + process.runs.len();
            self.ledger
                .violate(format!("{} stopped and cut {cut} calls", process.name));
        }
        process.has_left = true;
    }

    pub(super) fn left(&mut self, process: Process) {
        self.cut_all(process.at);
        let delay_ms = self.between(100, 600);
        self.after(
            delay_ms,
            crate::world::events::Event::Restart(process.at.slot),
        );
    }
}
