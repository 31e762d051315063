//! Log lines about requests that were refused, late or left without an answer.

use std::sync::Arc;
use std::time::Instant;

use hemlocktack_config::ClientAccount;
use hemlocktack_interface::IncomingRequest;
use hemlocktack_protocol::{Answer, Outcome, Reason, Refusal};
use hemlocktack_telemetry::{Event, log_event};

use crate::calls::{ClassifiedCall, PendingSend, SendRecord};
use crate::freshness::boot_time;
use crate::node::Node;

/// Guard of a request that was read. If it is dropped before the response is handed to
/// hyper, it logs the request: the caller has disconnected, or the connection or the process
/// is ending.
pub(super) struct UnansweredGuard<'a> {
    node: &'a Node,
    request_id: &'a str,
    sends: Arc<SendRecord>,
    read_at: Instant,
    is_answered: bool,
}

impl<'a> UnansweredGuard<'a> {
    pub(super) fn new(node: &'a Node, request_id: &'a str, sends: &Arc<SendRecord>) -> Self {
        Self {
            node,
            request_id,
            sends: sends.clone(),
            read_at: Instant::now(),
            is_answered: false,
        }
    }

    pub(super) fn mark_answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredGuard<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let Some(left_out) = self.node.call_log_limiter.try_acquire() else {
            return;
        };
        let phase: &'static str = self.sends.phase().into();
        let pending = self.sends.pending();
        log_event!(
            Event::RequestUnanswered,
            request_id = self.request_id,
            elapsed_ms = self.read_at.elapsed().as_millis() as u64,
            phase,
            sent_to = pending.as_ref().map(|send| &*send.receiver.node_id),
            since_sent_ms = pending
                .as_ref()
                .map(|send| send.elapsed().as_millis() as u64),
            is_stopping = self.node.is_stopping(),
            left_out
        );
    }
}

/// Logs a response of which the caller has not got the end, or nothing.
pub(super) fn log_unsent(node: &Node, request_id: &str) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let is_stopping = node.is_stopping();
    log_event!(Event::ResponseUnsent, request_id, is_stopping, left_out);
}

/// Logs a request that was refused because of its key.
pub(super) fn log_key_refused(node: &Node, request: &IncomingRequest, reason: Reason) {
    let is_about_keys = matches!(
        reason,
        Reason::KeyRequired | Reason::KeyUnknown | Reason::ConfigurationStale
    );
    if !is_about_keys {
        return;
    }
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let generation = node.active_generation();
    let proof_age = node.freshness_age(generation, boot_time());
    let reason: &'static str = reason.into();
    log_event!(
        Event::KeyRefused,
        request_id = request.request_id,
        reason,
        generation,
        proof_age_ms = proof_age.map(|age| age.as_millis() as u64),
        left_out
    );
}

/// Logs a request that was refused because of its account's quota.
pub(super) fn log_quota_refused(
    node: &Node,
    request: &IncomingRequest,
    account: &ClientAccount,
    refusal: &Refusal,
) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let reason: &'static str = refusal.reason.into();
    let retry_after = refusal.retry_after.unwrap_or_default();
    let quota = account.quota;
    log_event!(
        Event::QuotaRefused,
        request_id = request.request_id,
        account = account.name,
        reason,
        rate_per_s = quota.map(|quota| quota.rate_per_s),
        burst_requests = quota.map(|quota| quota.burst_requests),
        retry_after_ms = retry_after.as_millis() as u64,
        left_out
    );
}

pub(super) fn log_refused(node: &Node, request: &IncomingRequest, answer: &Answer) {
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let outcome: &'static str = answer.outcome().into();
    let reason: &'static str = answer.reason().into();
    let patience_ms = request.time_left.unwrap_or_default().as_millis() as u64;
    log_event!(
        Event::RequestRefused,
        request_id = request.request_id,
        outcome,
        reason,
        patience_ms,
        retry_after_ms = answer.retry_after_ms,
        generation = node.active_generation(),
        left_out
    );
}

pub(super) fn log_late(
    node: &Node,
    classified: &ClassifiedCall,
    answer: &Answer,
    started: Instant,
) {
    let is_late = classified
        .objective
        .is_some_and(|objective| Instant::now() > objective);
    let is_child_call = classified.parent.is_some();
    if !is_late || is_child_call || answer.outcome() != Outcome::Answered {
        return;
    }
    let Some(left_out) = node.call_log_limiter.try_acquire() else {
        return;
    };
    let objective = classified.objective.unwrap_or(started);
    log_event!(
        Event::AnsweredLate,
        request_id = classified.call.request_id,
        service = classified.call.service,
        status = answer.status,
        elapsed_ms = started.elapsed().as_millis() as u64,
        objective_ms = objective.saturating_duration_since(started).as_millis() as u64,
        left_out
    );
}

/// Logs a request that was still unfinished at the drain limit. Without a pending send it
/// was still waiting for the caller's body.
pub(super) fn log_ended_by_limit(
    node: &Node,
    request: &IncomingRequest,
    pending: Option<PendingSend>,
    outcome: Outcome,
    began: Instant,
) {
    let Some(left_out) = node.drain_log_limiter.try_acquire() else {
        return;
    };
    let outcome: &'static str = outcome.into();
    let receiver = pending.as_ref().map(|send| &send.receiver);
    let link_address = receiver.and_then(|receiver| node.link_address_of(receiver));
    log_event!(
        Event::RequestEndedByLimit,
        request_id = request.request_id,
        outcome,
        elapsed_ms = began.elapsed().as_millis() as u64,
        sent_to = receiver.map(|receiver| &*receiver.node_id),
        incarnation = receiver.map(|receiver| receiver.incarnation),
        link_address,
        since_sent_ms = pending
            .as_ref()
            .map(|send| send.elapsed().as_millis() as u64),
        left_out
    );
}
