//! Concurrent calls and queries on two links of one sender.

#![allow(clippy::unwrap_used)]

use std::sync::Barrier;

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::calls::Resolution;
use hemlocktack_protocol::{Answer, Call};
use tokio::net::{TcpListener, TcpStream};

use super::connection::Connection;
use super::last_received::LastReceived;
use super::senders::Senders;

const ROUNDS: u64 = 100_000;

/// Returns an open connection and its peer's stream, which keeps it open.
async fn connection() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (far, _) = listener.accept().await.unwrap();
    let (_, writer) = near.unwrap().into_split();
    (
        Connection::start(1, writer, LastReceived::new(), false),
        far,
    )
}

/// Guards against an answer that is sent over a lost link only. This happens when a query over the
/// next link arrives at the same moment as its call or its answer, and the sender is told that the
/// call runs.
#[tokio::test]
async fn a_sender_that_is_told_its_call_is_running_gets_the_answer() {
    let (lost, _far) = connection().await;
    let (next, _far) = connection().await;
    lost.close();
    let senders = Senders::default();
    let sender = senders.connected(&NodeIncarnation::new("sender", 1));
    let start = Barrier::new(2);
    let answered = Barrier::new(2);
    std::thread::scope(|scope| {
        let asking = scope.spawn(|| {
            let mut told_running = Vec::new();
            for call_id in 1..=ROUNDS {
                start.wait();
                let resolution = senders.resolve(&sender, call_id, &next);
                told_running.push(resolution == Resolution::Running);
                answered.wait();
            }
            told_running
        });
        let mut came_through = Vec::new();
        for call_id in 1..=ROUNDS {
            start.wait();
            let call = Call {
                call_id,
                ..Call::default()
            };
            let taken = senders.begin_call(&sender, &call, &lost);
            if call_id % 2 == 0 {
                answered.wait();
            }
            let answer = Answer {
                call_id,
                ..Answer::default()
            };
            let reply_to = senders.finish(&sender, &answer);
            came_through.push(reply_to.iter().any(|reply_to| !reply_to.is_closed()));
            if call_id % 2 == 1 {
                answered.wait();
            }
            drop(taken);
        }
        let told_running = asking.join().unwrap();
        let lost_count = told_running
            .iter()
            .zip(&came_through)
            .filter(|(told_running, came_through)| **told_running && !**came_through)
            .count();
        assert_eq!(lost_count, 0, "of {ROUNDS}");
    });
}
