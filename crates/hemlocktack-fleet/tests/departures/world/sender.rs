//! The node that callers call: it sends their requests on, and cancels them.

use hemlocktack_protocol::CallId;

use super::{
    CALL_TIMEOUT_MS, Connection, Frame, LATENCY_MS, Millis, REDIAL_PAUSE_MS, RESOLVE_LIMIT_MS,
    SILENCE_MS, Safeguard, SentCall, World,
};

impl World {
    pub(super) fn step_sender(&mut self) {
        self.send_new_calls();
        self.read_at_sender();
        self.notice_silence();
        self.notice_departures();
        self.resolve_calls();
        self.send_kept_cancellations();
    }

    fn open_link(&self) -> Option<usize> {
        let last = self.links.len().checked_sub(1)?;
        (!self.links[last].is_closed_at_sender).then_some(last)
    }

    /// Returns the open link, or a new one if the receiver can be reached.
    fn connect(&mut self) -> Option<usize> {
        if let Some(link) = self.open_link() {
            return Some(link);
        }
        let is_reachable = !self.is_cut() && self.now >= self.receiver_stalled_until;
        if !is_reachable || self.now < self.next_dial {
            return None;
        }
        self.next_dial = self.now + REDIAL_PAUSE_MS;
        self.last_heard = self.now;
        self.links.push(Connection {
            opened: self.now,
            ..Connection::default()
        });
        let link = self.links.len() - 1;
        self.send_cancellations_over(link);
        Some(link)
    }

    fn send_cancellations_over(&mut self, link: usize) {
        self.has_unsent_cancellations = false;
        if !self.has(Safeguard::KeepCancellations) {
            return;
        }
        for (id, _) in self.cancellations.to_send(1, self.instant(self.now)) {
            self.send(link, Frame::Cancel(id));
        }
    }

    fn send(&mut self, link: usize, frame: Frame) {
        let at = self.arrival_time();
        let link = &mut self.links[link];
        if link.to_receiver.ended_at.is_none() {
            link.to_receiver.frames.push_back((at, frame));
        }
    }

    pub(super) fn reply(&mut self, link: usize, frame: Frame) {
        let at = self.arrival_time();
        let link = &mut self.links[link];
        if link.to_sender.ended_at.is_none() {
            link.to_sender.frames.push_back((at, frame));
        }
    }

    /// A cut holds frames back until it ends.
    pub(super) fn arrival_time(&self) -> Millis {
        self.now.max(self.cut_until) + LATENCY_MS
    }

    fn send_new_calls(&mut self) {
        while let Some(id) = self.unsent.front().copied() {
            if self.has(Safeguard::LookBeforeSending) && self.has_left(id) {
                self.unsent.pop_front();
                self.outcome.departed += 1;
                self.settle(id);
                continue;
            }
            let Some(link) = self.connect() else {
                return;
            };
            self.unsent.pop_front();
            let queued_at = self.now - self.links[link].opened;
            self.send(link, Frame::Call { id, queued_at });
            let call = SentCall {
                link,
                sent_at: self.now,
                deadline: self.now + CALL_TIMEOUT_MS,
                in_doubt_since: None,
            };
            self.sent.insert(id, call);
        }
    }

    fn read_at_sender(&mut self) {
        for index in 0..self.links.len() {
            while let Some((at, frame)) = self.links[index].to_sender.frames.front().copied() {
                if at > self.now || self.links[index].is_closed_at_sender {
                    break;
                }
                self.links[index].to_sender.frames.pop_front();
                self.last_heard = self.now;
                self.handle_at_sender(index, frame);
            }
            if self.links[index].to_sender.has_ended(self.now) {
                self.close_at_sender(index);
            }
        }
    }

    fn handle_at_sender(&mut self, link: usize, frame: Frame) {
        match frame {
            Frame::Answer(id) => {
                self.cancellations.confirm(id);
                if self.sent.contains_key(&id) {
                    self.outcome.answered += 1;
                    self.settle(id);
                }
            }
            Frame::NotRun(id) => {
                self.cancellations.confirm(id);
                self.settle(id);
            }
            Frame::Resolution(id, is_running) => {
                self.cancellations.confirm(id);
                if !is_running {
                    self.settle(id);
                }
            }
            Frame::EchoRequest(number) => self.send(link, Frame::EchoReply(number)),
            _ => {}
        }
    }

    fn close_at_sender(&mut self, index: usize) {
        if self.links[index].is_closed_at_sender {
            return;
        }
        let arrives_at = self.arrival_time();
        let link = &mut self.links[index];
        link.is_closed_at_sender = true;
        link.to_receiver.ended_at.get_or_insert(arrives_at);
        for call in self.sent.values_mut().filter(|call| call.link == index) {
            call.in_doubt_since.get_or_insert(self.now);
        }
        self.has_unsent_cancellations = true;
    }

    fn notice_silence(&mut self) {
        let Some(link) = self.open_link() else {
            return;
        };
        if self.receiver_can_answer() {
            self.last_heard = self.now;
        } else if self.now > self.last_heard + SILENCE_MS && !self.sent.is_empty() {
            self.close_at_sender(link);
        }
    }

    /// Echo requests of the sender are answered by a receiver that runs.
    fn receiver_can_answer(&self) -> bool {
        !self.is_cut() && self.now >= self.receiver_stalled_until
    }

    fn notice_departures(&mut self) {
        // The runtime tells of a close after it has run the code that sends the request.
        let sent = self.sent.iter().filter(|(_, call)| call.sent_at < self.now);
        let sent = sent.map(|(id, _)| *id);
        let left: Vec<CallId> = sent.filter(|id| self.has_left(*id)).collect();
        for id in left {
            self.outcome.departed += 1;
            self.cancel(id);
        }
    }

    fn cancel(&mut self, id: CallId) {
        let Some(call) = self.sent.get(&id) else {
            return;
        };
        let (link, deadline) = (call.link, call.deadline);
        let (now, deadline) = (self.instant(self.now), self.instant(deadline));
        self.cancellations.add(id, 1, now, deadline);
        match self.links[link].is_closed_at_sender {
            true => self.has_unsent_cancellations = true,
            false => self.send(link, Frame::Cancel(id)),
        }
        self.settle(id);
    }

    /// Asks for calls whose link was lost; gives them up after a while.
    fn resolve_calls(&mut self) {
        let in_doubt: Vec<(CallId, Millis)> = self
            .sent
            .iter()
            .filter_map(|(id, call)| Some((*id, call.in_doubt_since?)))
            .collect();
        for (id, since) in in_doubt {
            if self.now > since + RESOLVE_LIMIT_MS {
                self.cancel(id);
                continue;
            }
            let Some(link) = self.connect() else {
                continue;
            };
            self.send(link, Frame::Resolve(id));
            if let Some(call) = self.sent.get_mut(&id) {
                call.link = link;
                call.in_doubt_since = None;
            }
        }
        let now = self.now;
        let timed_out = self.sent.iter().filter(|(_, call)| call.deadline <= now);
        let timed_out: Vec<CallId> = timed_out.map(|(id, _)| *id).collect();
        for id in timed_out {
            self.cancel(id);
        }
    }

    fn send_kept_cancellations(&mut self) {
        let is_wanted = self.has(Safeguard::KeepCancellations) && self.has_unsent_cancellations;
        if !is_wanted || self.cancellations.is_empty(self.instant(self.now)) {
            return;
        }
        if let Some(link) = self.connect()
            && self.has_unsent_cancellations
        {
            self.send_cancellations_over(link);
        }
    }
}
