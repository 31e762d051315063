//! Planned stops: drain, handover and exit.

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
        // Sometimes far too short, so that tables are handed over with calls in flight.
        let limit_ms = match self.random_chance(30) {
            true => self.random_between(50, 800),
            false => DRAIN_LIMIT_MS,
        };
        process.stop = Some(Stop {
            since_ms: self.now_ms,
            limit_ms,
            outgoing_handover: None,
            initial_handover: None,
            offered_to: None,
            offers_left: OFFER_LIMIT,
        });
        self.schedule_node_event(STOP_STEP_MS, process.at, NodeEvent::StopStep);
    }

    pub(super) fn stop_step(&mut self, process: &mut Process) {
        let Some(mut stop) = process.stop.take() else {
            return;
        };
        let drain_limit_reached = self.now_ms - stop.since_ms > stop.limit_ms;
        let may_begin =
            process.is_idle() || drain_limit_reached || !self.safeguards.has(Safeguard::StopWaits);
        if stop.outgoing_handover.is_none() && may_begin {
            let outgoing_handover = OutgoingHandover::begin(&mut process.table);
            stop.initial_handover = Some(outgoing_handover.clone());
            stop.outgoing_handover = Some(outgoing_handover);
            for nonce in fenced_by_freeze(process) {
                self.end_ticket(process, nonce, &fenced_answer());
            }
        }
        if stop.outgoing_handover.is_some() {
            self.offer(process, &mut stop);
        }
        process.stop = Some(stop);
        if !process.has_left {
            self.schedule_node_event(STOP_STEP_MS, process.at, NodeEvent::StopStep);
        }
    }

    fn offer(&mut self, process: &mut Process, stop: &mut Stop) {
        let Some(outgoing_handover) = &mut stop.outgoing_handover else {
            return;
        };
        if stop.offers_left == 0 {
            self.leave(process);
            return;
        }
        stop.offers_left -= 1;
        let successor = outgoing_handover
            .successor()
            .map(|_| ())
            .and(stop.offered_to);
        let to = match successor {
            Some(to) if self.safeguards.has(Safeguard::CommitOnce) => to,
            _ => {
                if !outgoing_handover.abandon() && !self.safeguards.has(Safeguard::CommitOnce) {
                    stop.outgoing_handover.clone_from(&stop.initial_handover);
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
                self.schedule_node_event(1, process.at, NodeEvent::Dial(to));
                return;
            }
            // The successor that the table was committed to has ended: no home is left.
            Reach::OtherStart => return,
        }
        let frames = stop
            .outgoing_handover
            .as_mut()
            .map(|outgoing_handover| outgoing_handover.offer(&name_of(to)));
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
        let mut commit_frame = Handover {
            committed: true,
            ..frame.clone()
        };
        commit_frame.entries.clear();
        let name = name_of(from);
        let accepted = process
            .incoming_handovers
            .handle_frame(&mut process.table, &name, frame);
        let Ok(accepted) = accepted else {
            return;
        };
        if accepted.complete && !self.safeguards.has(Safeguard::Commit) {
            let _ =
                process
                    .incoming_handovers
                    .handle_frame(&mut process.table, &name, commit_frame);
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
            let recipients: Vec<_> = self
                .processes
                .iter()
                .flatten()
                .map(|other| other.at)
                .collect();
            for recipient in recipients {
                let delay_ms = self.random_between(1, 300);
                let (home, successor) = (home.clone(), process.name.clone());
                self.schedule_node_event(
                    delay_ms,
                    recipient,
                    NodeEvent::Succession { home, successor },
                );
            }
        }
    }

    pub(super) fn on_handover_accepted(
        &mut self,
        process: &mut Process,
        from: At,
        accepted: &HandoverAccepted,
    ) {
        let Some(outgoing_handover) = process
            .stop
            .as_mut()
            .and_then(|stop| stop.outgoing_handover.as_mut())
        else {
            return;
        };
        match outgoing_handover.handle_accepted(&name_of(from), accepted) {
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
            let interrupted = process.entries.len() + process.runs.len();
            self.ledger.record_violation(format!(
                "{} stopped and interrupted {interrupted} calls",
                process.name
            ));
        }
        process.has_left = true;
    }

    pub(super) fn remove_process(&mut self, process: Process) {
        self.cut_all(process.at);
        let delay_ms = self.random_between(100, 600);
        self.schedule_event(
            delay_ms,
            crate::world::events::Event::Restart(process.at.slot),
        );
    }
}
