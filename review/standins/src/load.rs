//! Clients that book all the time, and what became of their bookings.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::Duration;

use crate::client::{send, Request};
use crate::record::Record;

const PAUSE: Duration = Duration::from_millis(40);

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub struct Load {
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    answered: Arc<Mutex<Vec<(String, u16)>>>,
}

impl Load {
    /// Starts clients that book at this node, each one booking after the other.
    pub fn start(outbound: SocketAddr, clients: usize, record: &Record) -> Load {
        let is_over = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(Mutex::new(Vec::new()));
        let clients = (1..=clients)
            .map(|client| {
                let (is_over, answered, record) =
                    (is_over.clone(), answered.clone(), record.clone());
                std::thread::spawn(move || {
                    for number in 1.. {
                        if is_over.load(Ordering::SeqCst) {
                            return;
                        }
                        let id = format!("booking-{client}-{number}");
                        let path = format!("/book/slot-{client}-{number}");
                        let request = Request {
                            id: &id,
                            method: "POST",
                            path: &path,
                            key: None,
                            deadline_ms: 4_000,
                        };
                        let (status, _) = send(outbound, &request, &record);
                        answered.lock().unwrap().push((id, status));
                        sleep(PAUSE);
                    }
                })
            })
            .collect();
        Load {
            is_over,
            clients,
            answered,
        }
    }

    /// Ends the clients and returns which rules the nodes broke, if any.
    pub fn end(self, record: &Record) -> Option<String> {
        self.is_over.store(true, Ordering::SeqCst);
        for client in self.clients {
            let _ = client.join();
        }
        sleep(Duration::from_secs(1));
        let answered = self.answered.lock().unwrap();
        let mut broken = Vec::new();
        for (id, status) in answered.iter() {
            let runs = record.runs_of(id);
            if runs.len() > 1 {
                broken.push(format!("TWICE: {id} ran at {}", runs.join(" and ")));
            }
            if PROMISES.contains(status) && !runs.is_empty() {
                broken.push(format!(
                    "REFUSED: {id} was answered {status} and ran at {}",
                    runs.join(" and ")
                ));
            }
        }
        let served = answered.iter().filter(|(_, status)| *status == 200).count();
        record.line(&format!(
            "bookings {} answered, {served} with success",
            answered.len()
        ));
        if served * 2 < answered.len() || served < 100 {
            panic!("too few bookings were served");
        }
        let count = broken.len();
        broken.truncate(3);
        (count > 0).then(|| format!("{count} times; {}", broken.join("; ")))
    }
}
