//! Policies that depend on the settings, and events for the task that follows the configuration.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use super::policies::drain_limit;
use super::{CONFIGURATION_EVENT_CAPACITY, Node};
use crate::configuration::{CallEnd, Event};
use crate::run::new_node;
use crate::settings::for_tests;

/// Guards against ending requests too early: with a short grace period, the time reserved
/// for the exit would be a large part of it.
#[test]
fn a_drain_waits_until_the_last_sixth_of_the_grace_period() {
    for grace_ms in (500..30_000).step_by(100) {
        let grace = Duration::from_millis(grace_ms);
        let loaded = for_tests::with_flags(&[("--stop-grace", &format!("{grace_ms}ms"))]);
        let limit = drain_limit(&loaded.adjustable);
        assert!(limit >= grace / 6 * 5, "{limit:?} of {grace:?}");
        assert!(limit < grace, "{limit:?} of {grace:?}");
    }
}

/// Failure: many peers announce a new generation at once, their reports fill the queue of the task
/// that follows the configuration, and the store's answer is dropped. The watch that it answers
/// then counts as open for 40 s, in which the node neither reads nor watches.
#[tokio::test]
async fn an_answer_of_the_store_reaches_a_follower_whose_queue_is_full() {
    const CALL: u64 = 7;
    let node = node();
    let mut events = node.take_configuration_events().unwrap();
    for number in 0..2 * CONFIGURATION_EVENT_CAPACITY {
        node.report_peer_generation(format!("howrah-{number}"), 2);
    }
    let answer = Event::PlatformCallEnded {
        call: CALL,
        end: CallEnd::RevisionGone,
    };
    let sender = node.clone();
    let sending = tokio::spawn(async move { sender.send_configuration_event(answer).await });
    // Runs until it waits for room.
    tokio::task::yield_now().await;
    let mut answered_calls = Vec::new();
    while !events.is_empty() {
        if let Some(Event::PlatformCallEnded { call, .. }) = events.recv().await {
            answered_calls.push(call);
        }
        tokio::task::yield_now().await;
    }
    assert_eq!(answered_calls, [CALL]);
    sending.await.unwrap();
}

/// Failure: the task that follows the configuration has ended with its node, and one that reports to
/// it waits for ever.
#[tokio::test]
async fn an_event_for_an_ended_follower_is_dropped() {
    let node = node();
    drop(node.take_configuration_events());
    for number in 0..2 * CONFIGURATION_EVENT_CAPACITY {
        let node_id = format!("howrah-{number}");
        node.send_configuration_event(Event::PeerFailed { node_id })
            .await;
    }
}

fn node() -> Arc<Node> {
    let loaded = for_tests::with_flags(&[]);
    Arc::new(new_node(loaded.settings, loaded.adjustable).unwrap())
}
