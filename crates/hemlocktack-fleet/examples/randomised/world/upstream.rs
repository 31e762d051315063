//! Simulated upstreams: runs, their outcomes, and the child calls that they make.

use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_fleet::tickets::{ChildCalls, ChildHome, Ticket};
use hemlocktack_protocol::{Answer, Call, CallId, CallPurpose, Outcome, Reason, ServiceName};
use rand::RngExt;

use crate::world::callers::FIRST_CHILD_REQUEST;
use crate::world::events::NodeEvent;
use crate::world::ledger::RunStart;
use crate::world::network::{failure_answer, failure_answer_with_reason};
use crate::world::process::{EntryCall, Process, Run, RunEnd, RunFor};
use crate::world::safeguards::Safeguard;
use crate::world::{
    KnownStart, RequestId, RunId, SendId, World, is_child, name_of, service_name, service_slots,
};

const CHILD_KEYS_PER_REQUEST: u64 = 8;

/// A request on its way to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) request: RequestId,
    pub(crate) send: SendId,
    pub(crate) ticket: Option<Ticket>,
}

impl Work {
    pub(crate) fn to_call(&self, call_id: CallId, purpose: CallPurpose) -> Call {
        let mut body = BytesMut::new();
        body.put_u64(self.request);
        body.put_u64(self.send);
        Call {
            call_id,
            purpose: purpose.into(),
            service: service_name(is_child(self.request)).to_owned(),
            ticket: self.ticket.as_ref().map(Ticket::encode).unwrap_or_default(),
            body: body.freeze(),
            ..Call::default()
        }
    }

    pub(crate) fn from_call(keys: &FleetKeys, call: &Call) -> Option<Work> {
        let mut body = call.body.clone();
        let request = body.try_get_u64().ok()?;
        let send = body.try_get_u64().ok()?;
        let ticket = match call.ticket.as_str() {
            "" => None,
            text => Some(Ticket::decode(keys, &call.service, text).ok()?),
        };
        Some(Work {
            request,
            send,
            ticket,
        })
    }
}

impl World {
    pub(super) fn begin_run(&mut self, process: &mut Process, run_for: RunFor, work: &Work) {
        let end = match self.random_between(0, 99) {
            0..8 => RunEnd::Shed,
            8..15 => RunEnd::Failed,
            _ => RunEnd::Answer,
        };
        let id = self.new_id();
        // A request that the upstream sheds does not count as started.
        if end != RunEnd::Shed {
            let start = RunStart {
                send: work.send,
                token: id,
            };
            self.ledger
                .start(work.request, work.ticket.is_some(), start);
            self.report_start_while_stopping(process);
        }
        let children = match &work.ticket {
            Some(ticket) => ChildCalls::for_ticketed_parent(ticket.nonce),
            None => ChildCalls::for_idempotent_parent(),
        };
        let run = Run {
            run_for,
            request: work.request,
            end,
            token: id,
            children,
        };
        process.runs.insert(id, run);
        let duration_ms = match self.random_chance(8) {
            true => self.random_between(100, 900),
            false => self.random_between(3, 60),
        };
        self.schedule_node_event(duration_ms, process.at, NodeEvent::RunDone(id));
        if !is_child(work.request) && end != RunEnd::Shed {
            self.plan_children(process, id, work.request);
        }
    }

    fn report_start_while_stopping(&mut self, process: &Process) {
        if let Some(stop) = &process.stop {
            let since_ms = self.now_ms - stop.since_ms;
            self.ledger.check_start_while_stopping(process.at, since_ms);
        }
    }

    fn plan_children(&mut self, process: &Process, run: RunId, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_none_or(|request| request.child_count == 0)
        {
            return;
        }
        let send_count = self.random_between(1, 3);
        for _ in 0..send_count {
            let delay_ms = self.random_between(1, 120);
            self.schedule_node_event(delay_ms, process.at, NodeEvent::ChildSend { run, key: 1 });
        }
    }

    pub(super) fn run_done(&mut self, process: &mut Process, id: RunId) {
        let Some(run) = process.runs.remove(&id) else {
            return;
        };
        let answer = match run.end {
            RunEnd::Answer => success_answer(run.request, run.token),
            RunEnd::Failed => failure_answer_with_reason(Outcome::Unknown, Reason::UpstreamFailed),
            RunEnd::Shed => failure_answer(Outcome::NotRun),
        };
        match run.run_for {
            RunFor::Peer { from, call_id } => self.reply_peer(process, from, call_id, answer),
            RunFor::Local(send) => self.entry_answer(process, send, &answer),
            RunFor::Home(nonce) => self.home_run_done(process, nonce, run.end, answer),
        }
    }

    /// Sends a child call of the upstream, or sends it again.
    pub(super) fn child_send(&mut self, process: &mut Process, run: RunId, key: u8) {
        let Some(running) = process.runs.get(&run) else {
            return;
        };
        let parent = running.request;
        let Some(ticket) = self.child_ticket(process, run, parent, key) else {
            return;
        };
        self.ledger.counts.children += 1;
        let request = FIRST_CHILD_REQUEST + parent * CHILD_KEYS_PER_REQUEST + u64::from(key);
        let send = self.new_id();
        self.entry_begin(process, send, EntryCall::new(request, Some(ticket)));
    }

    fn child_ticket(
        &mut self,
        process: &mut Process,
        run: RunId,
        parent: RequestId,
        key: u8,
    ) -> Option<Ticket> {
        let slots = service_slots(true);
        let slot = self.random_between(slots.start as u64, slots.end as u64 - 1) as usize;
        let KnownStart { at, epoch } = self.known_start(slot)?;
        let home = ChildHome {
            home: name_of(at),
            epoch,
        };
        let forwarded_ticket = self
            .requests
            .get(&parent)
            .and_then(|request| request.forwarded_ticket.clone());
        let key = match &forwarded_ticket {
            Some(ticket) => ticket.encode().into_bytes(),
            None => vec![key],
        };
        let service = ServiceName::from(service_name(true));
        let unrecorded_calls = ChildCalls::for_ticketed_parent(self.rng.random());
        let running = process.runs.get_mut(&run)?;
        let is_idempotent = self
            .requests
            .get(&parent)
            .is_some_and(|request| !request.is_ticketed);
        let mut unrecorded_calls = Some(unrecorded_calls).filter(|_| match is_idempotent {
            true => !self.safeguards.has(Safeguard::IdempotentParent),
            false => !self.safeguards.has(Safeguard::ChildTicketKept),
        });
        let children = unrecorded_calls.as_mut().unwrap_or(&mut running.children);
        children
            .ticket_for(&self.keys, &service, Some(&key), || Some(home))
            .ok()
    }
}

pub(crate) fn success_answer(request: RequestId, token: u64) -> Answer {
    let mut body = BytesMut::new();
    body.put_u64(request);
    body.put_u64(token);
    Answer {
        body: body.freeze(),
        status: 200,
        ..failure_answer(Outcome::Answered)
    }
}

/// Reads the request id and token from the body of an answer.
pub(crate) fn read_answer(body: &Bytes) -> Option<(RequestId, u64)> {
    let mut body = body.clone();
    Some((body.try_get_u64().ok()?, body.try_get_u64().ok()?))
}

pub(crate) fn to_shared_answer(answer: &Answer) -> Arc<Answer> {
    Arc::new(answer.clone())
}
