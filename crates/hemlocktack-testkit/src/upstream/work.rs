//! Runs one call: waits for a slot, takes the service time, makes the child calls and answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use crate::http::Reply;
use crate::upstream::child_calls::make_child_calls;
use crate::upstream::{Crash, Fault, Shared};

const COLD_FACTOR: u32 = 4;
const CRASH_EXIT_CODE: i32 = 70;
/// Bytes that an answer with a body fault still sends.
const SENT_BYTES_OF_FAULTY_BODY: usize = 12;
const ECHO_LIMIT_BYTES: usize = 256;

/// A received call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) marker: String,
    pub(crate) context: Option<String>,
    pub(crate) traceparent: Option<String>,
    pub(crate) deadline: Option<Instant>,
    /// Fault that the request selects itself.
    pub(crate) fault: Option<Fault>,
    /// Bytes of padding added to the answer.
    pub(crate) padding_bytes: usize,
    pub(crate) body: Vec<u8>,
}

impl Call {
    pub(crate) fn time_left(&self) -> Option<Duration> {
        let deadline = self.deadline?;
        Some(deadline.saturating_duration_since(Instant::now()))
    }

    fn is_too_late(&self) -> bool {
        self.time_left().is_some_and(|left| left.is_zero())
    }
}

/// Decrements the count of calls in flight when the call ends in any way.
struct InFlight<'a>(&'a AtomicU64);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    pub(crate) async fn answer(self: &Arc<Shared>, call: Call) -> Reply {
        let in_flight_before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight = InFlight(&self.in_flight);
        let fault = self.fault_of(&call);
        let shed_above = self.switches.borrow().shed_above;
        if fault == Some(Fault::Shed) || shed_above.is_some_and(|limit| in_flight_before >= limit) {
            self.counters.shed.fetch_add(1, Ordering::Relaxed);
            return not_run();
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return not_run();
        };
        if call.is_too_late() {
            self.counters.too_late.fetch_add(1, Ordering::Relaxed);
            return not_run();
        }
        self.counters.start(&call.marker);
        if fault == Some(Fault::Crash) {
            return self.crash();
        }
        tokio::time::sleep(self.service_time()).await;
        let reply = self.finish(&call).await;
        match fault {
            Some(Fault::NoAnswer) => reply.lost(),
            Some(Fault::ShortBody) => reply.cut_after(SENT_BYTES_OF_FAULTY_BODY),
            Some(Fault::StalledBody) => reply.stall_after(SENT_BYTES_OF_FAULTY_BODY),
            Some(Fault::ShedAfterRun) => not_run(),
            Some(Fault::Error) => Reply::error(500, "failed", "the fault was asked for")
                .with_header("retry-after", "7"),
            _ => reply,
        }
    }

    async fn finish(&self, call: &Call) -> Reply {
        let child_answers = make_child_calls(self, call).await;
        let succeeded = child_answers.iter().all(|answer| answer.succeeded());
        self.counters.finished.fetch_add(1, Ordering::Relaxed);
        let echo_bytes = call.body.len().min(ECHO_LIMIT_BYTES);
        let body = json!({
            "service": self.settings.service,
            "method": call.method,
            "path": call.path,
            "marker": call.marker,
            "body_bytes": call.body.len(),
            "echo": String::from_utf8_lossy(&call.body[..echo_bytes]),
            "deeper": child_answers,
            "padding": "x".repeat(call.padding_bytes),
        });
        Reply::json(if succeeded { 200 } else { 502 }, &body)
    }

    fn fault_of(&self, call: &Call) -> Option<Fault> {
        let switches = self.switches.borrow();
        let is_affected =
            switches.fault_markers.is_empty() || switches.fault_markers.contains(&call.marker);
        call.fault.or(switches.fault.filter(|_| is_affected))
    }

    fn service_time(&self) -> Duration {
        let service_time = Duration::from_millis(self.switches.borrow().service_time_ms);
        if self.is_cold() {
            return service_time * COLD_FACTOR;
        }
        service_time
    }

    fn crash(&self) -> Reply {
        if self.settings.crash == Crash::Exit {
            std::process::exit(CRASH_EXIT_CODE);
        }
        self.crashed.store(true, Ordering::Relaxed);
        if let Some(front) = &self.front {
            front.cut();
        }
        Reply::json(500, &json!({})).lost()
    }
}

fn not_run() -> Reply {
    Reply::error(503, "shed", "not started").with_header("hemlocktack-outcome", "not-run")
}
