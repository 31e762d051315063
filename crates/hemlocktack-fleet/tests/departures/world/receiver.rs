//! The node beside the upstream: it starts calls and ends them.

use std::collections::BTreeSet;
use std::time::Duration;

use hemlocktack_fleet::calls::{Arrival, Resolution};
use hemlocktack_protocol::CallId;
use rand::RngExt;

use super::{
    ArrivedCall, CONFIRM_LIMIT_MS, Frame, Millis, OLD_CALL_AGE_MS, RETURN_LIMIT_MS,
    RETURN_RECHECK_MS, RUN_MS, SLOTS, Safeguard, Stage, World,
};

impl World {
    pub(super) fn step_receiver(&mut self) {
        // The newest link first: what was held up on an older one may be read later.
        for index in (0..self.links.len()).rev() {
            self.read_at_receiver(index);
        }
        self.end_unreturned();
        self.finish_runs();
        self.start_calls();
    }

    fn read_at_receiver(&mut self, index: usize) {
        if self.links[index].is_closed_at_receiver {
            return;
        }
        while let Some((at, frame)) = self.links[index].to_receiver.frames.front().copied() {
            if at > self.now {
                break;
            }
            self.links[index].to_receiver.frames.pop_front();
            self.handle_at_receiver(index, frame);
            if !self.has(Safeguard::ReadAllFirst) {
                self.start_calls();
            }
        }
        if self.links[index].to_receiver.has_ended(self.now) {
            self.close_at_receiver(index);
        }
    }

    fn handle_at_receiver(&mut self, link: usize, frame: Frame) {
        match frame {
            Frame::Call { id, queued_at } => self.arrive(link, id, queued_at),
            Frame::Cancel(id) => self.cancel_at_receiver(link, id),
            Frame::Resolve(id) => {
                let resolution = self.arrivals.resolve(&self.identity.clone(), id);
                let is_running = resolution == Resolution::Running;
                if let Some(call) = self.arrived.get_mut(&id) {
                    call.links.insert(link);
                    call.without_link_since = None;
                }
                self.reply(link, Frame::Resolution(id, is_running));
            }
            Frame::EchoReply(number) => {
                for call in self.arrived.values_mut() {
                    if matches!(call.stage, Stage::Asked { echo, .. } if echo <= number) {
                        call.stage = Stage::Waiting;
                    }
                }
            }
            _ => {}
        }
    }

    fn arrive(&mut self, link: usize, id: CallId, queued_at: Millis) {
        if self.arrivals.record_arrival(&self.identity.clone(), id) != Arrival::New {
            return;
        }
        let connection = &mut self.links[link];
        let read_at = Duration::from_millis(self.now - connection.opened);
        let age = connection
            .ages
            .age(Duration::from_millis(queued_at), read_at);
        let is_old = age >= Duration::from_millis(OLD_CALL_AGE_MS);
        let mut stage = Stage::Waiting;
        if is_old {
            self.echoes += 1;
            stage = Stage::Asked {
                echo: self.echoes,
                until: self.now + CONFIRM_LIMIT_MS,
            };
            self.reply(link, Frame::EchoRequest(self.echoes));
        }
        let call = ArrivedCall {
            stage,
            links: BTreeSet::from([link]),
            without_link_since: None,
        };
        self.arrived.insert(id, call);
    }

    fn cancel_at_receiver(&mut self, link: usize, id: CallId) {
        if self.arrived.contains_key(&id) {
            return self.end(id, Frame::NotRun(id));
        }
        self.arrivals.resolve(&self.identity.clone(), id);
        self.reply(link, Frame::Resolution(id, false));
    }

    fn close_at_receiver(&mut self, index: usize) {
        self.links[index].is_closed_at_receiver = true;
        let now = self.now;
        for call in self.arrived.values_mut() {
            call.links.remove(&index);
            if call.links.is_empty() {
                call.without_link_since.get_or_insert(now);
            }
        }
    }

    /// Ends a call and tells its sender over every link on which it waits.
    fn end(&mut self, id: CallId, answer: Frame) {
        let Some(call) = self.arrived.remove(&id) else {
            return;
        };
        self.arrivals.finish(&self.identity.clone(), id, None);
        for link in call.links {
            self.reply(link, answer);
        }
    }

    fn end_unreturned(&mut self) {
        let has_read = self.now >= self.receiver_stalled_until + RETURN_RECHECK_MS;
        if !self.has(Safeguard::EndUnreturned) || !has_read {
            return;
        }
        let is_unreturned = |call: &ArrivedCall| {
            call.without_link_since
                .is_some_and(|since| self.now >= since + RETURN_LIMIT_MS)
        };
        let unreturned = self.arrived.iter().filter(|(_, call)| is_unreturned(call));
        let unreturned: Vec<CallId> = unreturned.map(|(id, _)| *id).collect();
        for id in unreturned {
            self.count_if_waited_for(id);
            self.end(id, Frame::NotRun(id));
        }
    }

    /// Counts a call that is ended although its sender waits for it over an open link.
    fn count_if_waited_for(&mut self, id: CallId) {
        let is_waited_for = self
            .sent
            .get(&id)
            .is_some_and(|call| !self.links[call.link].is_closed_at_sender);
        let is_reachable = !self.is_excused(self.now.saturating_sub(RETURN_LIMIT_MS));
        if is_waited_for && is_reachable {
            self.outcome.lost_by_waiting_callers += 1;
        }
    }

    fn finish_runs(&mut self) {
        let now = self.now;
        let is_done =
            |call: &ArrivedCall| matches!(call.stage, Stage::Running { until } if until <= now);
        let done = self.arrived.iter().filter(|(_, call)| is_done(call));
        let done: Vec<CallId> = done.map(|(id, _)| *id).collect();
        for id in done {
            self.end(id, Frame::Answer(id));
        }
    }

    fn start_calls(&mut self) {
        let ids: Vec<CallId> = self.arrived.keys().copied().collect();
        for id in ids {
            let is_running = |call: &&ArrivedCall| matches!(call.stage, Stage::Running { .. });
            if self.arrived.values().filter(is_running).count() >= SLOTS {
                return;
            }
            match self.arrived[&id].stage {
                Stage::Asked { until, .. } if self.now >= until => {
                    self.end(id, Frame::NotRun(id));
                }
                Stage::Waiting => self.start_call(id),
                Stage::Asked { .. } | Stage::Running { .. } => {}
            }
        }
    }

    fn start_call(&mut self, id: CallId) {
        let is_away = self.arrived[&id].links.is_empty();
        if is_away && self.has(Safeguard::HeedEndOfLink) {
            return self.end(id, Frame::NotRun(id));
        }
        if self.is_late(id) {
            self.outcome.late_starts += 1;
        }
        let until = self.now + self.random.random_range(RUN_MS);
        if let Some(call) = self.arrived.get_mut(&id) {
            call.stage = Stage::Running { until };
        }
    }
}
