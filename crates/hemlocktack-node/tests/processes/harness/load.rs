//! Callers that send page requests and bookings without pauses.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use super::{Booking, Caller, wait_until};

const BROWSED: &str = "diaries/slots";
const BOOKED: &str = "diaries/appointments";

/// Callers that run until they are stopped.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    workers: Vec<tokio::task::JoinHandle<Vec<Booking>>>,
}

impl Load {
    /// Starts these numbers of workers that browse and that book, spread over the callers.
    pub(crate) fn start(browsers: usize, bookers: usize, callers: &[Caller]) -> Load {
        let mut load = Load {
            stop: Arc::new(AtomicBool::new(false)),
            answered: Arc::new(AtomicU64::new(0)),
            workers: Vec::new(),
        };
        for worker in 0..browsers + bookers {
            let caller = callers[worker % callers.len()].clone();
            load.start_worker(worker, worker < browsers, caller);
        }
        load
    }

    fn start_worker(&mut self, worker: usize, browses: bool, caller: Caller) {
        let stop = self.stop.clone();
        let answered = self.answered.clone();
        self.workers.push(tokio::spawn(async move {
            let mut requests: Vec<Booking> = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let marker = format!("worker {worker}, request {}", requests.len());
                let next = match browses {
                    true => browse(&caller, &marker).await,
                    false => book(&caller, BOOKED, &marker).await,
                };
                let is_answered = next.last().is_answered();
                answered.fetch_add(is_answered.into(), Ordering::Relaxed);
                requests.push(next);
            }
            requests
        }));
    }

    /// Waits until `count` more requests have been answered.
    pub(crate) async fn wait_for_more(&self, count: u64) {
        let from = self.answered.load(Ordering::Relaxed);
        wait_until("more requests are answered", || async {
            self.answered.load(Ordering::Relaxed) >= from + count
        })
        .await;
    }

    /// Stops the workers and returns all requests; page requests have no ticket.
    pub(crate) async fn end(self) -> Vec<Booking> {
        self.stop.store(true, Ordering::Relaxed);
        let mut requests = Vec::new();
        for worker in self.workers {
            requests.extend(worker.await.unwrap());
        }
        requests
    }
}

/// Gets a ticket and books with it.
pub(crate) async fn book(caller: &Caller, path: &str, marker: &str) -> Booking {
    let ticket = caller.ticket(path, marker).await;
    let reply = caller.post_with(path, marker, &ticket).await;
    Booking {
        marker: marker.to_owned(),
        ticket,
        replies: vec![reply],
    }
}

async fn browse(caller: &Caller, marker: &str) -> Booking {
    Booking {
        marker: marker.to_owned(),
        ticket: String::new(),
        replies: vec![caller.get(BROWSED, marker).await],
    }
}
