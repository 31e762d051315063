//! Misused tickets, tickets of stopped homes, and re-sends after a change of keys or settings.

use reqwest::Method;

use crate::harness::{Caller, DOCUMENT, FLEET_KEY, Fleet, Plan, Reply, wait_until};

const PATH: &str = "diaries/appointments";
/// Keeps the entry running for the whole test; shorter than the caller timeout of the default kind.
const LONG_SERVICE_MS: u64 = 8_000;
const NEW_FLEET_KEY: &str = "another fleet key for tests, long enough";

async fn send(caller: &Caller, body: &str, ticket: &str) -> Reply {
    let headers = [("x-marker", body), ("idempotency-key", ticket)];
    caller.send(Method::POST, PATH, &headers, body).await
}

/// A faulty client uses the ticket of its first booking for a second one. The answer to the first
/// would be wrong for it, so every node refuses it and gives it a new ticket.
#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_is_valid_for_its_first_request_only() {
    let fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 2)]).await;
    let ticket = fleet.caller(0).ticket(PATH, "first viewing").await;
    let first = send(&fleet.caller(0), "first viewing", &ticket).await;
    assert!(first.is_answered(), "{first:?}");
    for entry in 0..fleet.nodes.len() {
        let second = send(&fleet.caller(entry), "second viewing", &ticket).await;
        assert_eq!(second.summary(), "409 not-run ticket-foreign");
        assert!(second.ticket.is_some_and(|fresh| fresh != ticket));
        let again = send(&fleet.caller(entry), "first viewing", &ticket).await;
        assert_eq!(again.body, first.body);
    }
    assert_eq!(fleet.starts("diaries", "second viewing").await, 0);
    assert_eq!(fleet.starts("diaries", "first viewing").await, 1);
}

/// A booking ran and its answer was lost. Its caller sends it again to an entry that is stopping.
/// The entry accepts no new calls and does not know of the first send. Guards against the answer
/// `not-run`, after which the caller would book a second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_answers_unknown_to_a_resend() {
    let fleet = Fleet::start(&[Plan::new("listings", 2), Plan::new("diaries", 1)]).await;
    let ticket = fleet.caller(0).ticket(PATH, "viewing").await;
    assert!(
        send(&fleet.caller(0), "viewing", &ticket)
            .await
            .is_answered()
    );
    fleet.set_service_time_ms("diaries", LONG_SERVICE_MS).await;
    let stopping = fleet.caller(1);
    let long = stopping.clone();
    let in_flight = tokio::spawn(async move { long.get("diaries/slots", "long").await });
    fleet.wait_for_start("diaries", "long").await;
    fleet.nodes[1].process.signal("TERM");
    wait_until("the entry accepts no new calls", || async {
        !fleet.nodes[1].is_ready().await
    })
    .await;
    let again = send(&stopping, "viewing", &ticket).await;
    assert_eq!(again.summary(), "502 unknown draining");
    assert!(again.ticket.is_none());
    assert!(in_flight.await.unwrap().is_answered());
    assert!(
        send(&fleet.caller(0), "viewing", &ticket)
            .await
            .is_answered()
    );
    assert_eq!(fleet.starts("diaries", "viewing").await, 1);
}

/// The home of some tickets is stopped before their first send. Its successor takes over all its
/// tickets, including those that the home had not seen: each booking runs once, and a re-send gets
/// the same answer.
#[tokio::test(flavor = "multi_thread")]
async fn tickets_first_sent_after_their_home_stopped_run_once() {
    let mut fleet = Fleet::start(&[Plan::new("listings", 2), Plan::new("diaries", 2)]).await;
    let mut tickets = Vec::new();
    for number in 0..8 {
        let marker = format!("viewing {number}");
        tickets.push((fleet.caller(0).ticket(PATH, &marker).await, marker));
    }
    let is_home = |position: &usize| {
        let home = format!("~{}~", fleet.nodes[*position].options.id);
        tickets[0].0.contains(&home)
    };
    let leaving = fleet
        .positions_of("diaries")
        .into_iter()
        .find(is_home)
        .unwrap();
    fleet.nodes[leaving].process.signal("TERM");
    assert_eq!(fleet.nodes[leaving].process.exit_code().await, Some(0));
    for (ticket, marker) in &tickets {
        let first = send(&fleet.caller(0), marker, ticket).await;
        assert!(first.is_answered(), "{marker}: {first:?}");
        let again = send(&fleet.caller(1), marker, ticket).await;
        assert_eq!(again.body, first.body, "{marker}");
        assert_eq!(fleet.starts("diaries", marker).await, 1, "{marker}");
    }
}

/// The fleet key is changed node by node: first every node accepts the new key, then signs with it,
/// then stops accepting the old one. At each step nodes with different keys communicate and
/// bookings are answered. A booking whose ticket is signed with the removed key may have run, so
/// its outcome is `unknown` and not `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn the_fleet_key_is_changed_node_by_node() {
    let mut fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 1)]).await;
    let old_ticket = fleet.caller(0).ticket(PATH, "before").await;
    assert!(
        send(&fleet.caller(0), "before", &old_ticket)
            .await
            .is_answered()
    );
    let steps = [
        (FLEET_KEY, Some(NEW_FLEET_KEY)),
        (NEW_FLEET_KEY, Some(FLEET_KEY)),
        (NEW_FLEET_KEY, None),
    ];
    for (step, keys) in steps.into_iter().enumerate() {
        for position in 0..fleet.nodes.len() {
            fleet.restart_with_keys(position, keys);
            fleet.wait_until_serving().await;
            let marker = format!("step {step}, node {position}");
            let ticket = fleet.caller(0).ticket(PATH, &marker).await;
            let reply = send(&fleet.caller(0), &marker, &ticket).await;
            assert!(reply.is_answered(), "{marker}: {reply:?}");
            assert_eq!(fleet.starts("diaries", &marker).await, 1, "{marker}");
        }
    }
    let late = send(&fleet.caller(0), "before", &old_ticket).await;
    assert_eq!(late.summary(), "409 unknown ticket-foreign");
}

/// Two bookings ran and their answers were lost. Operators then lower the body limit and remove a
/// caller kind, and both bookings are sent again. A node that refuses them by its present
/// configuration does not know of the first sends. Guards against the answer `not-run`, after which
/// the callers would book a second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_refused_by_a_changed_configuration_is_unknown() {
    const LISTINGS: &str = "listings/viewings";
    let fleet = Fleet::start(&[Plan::new("listings", 1)]).await;
    let caller = fleet.caller(0);
    let long_body = "x".repeat(3_000);
    let large = caller.ticket(LISTINGS, "large").await;
    let at_kiosk = caller.ticket(LISTINGS, "kiosk").await;
    let headers = |ticket| [("x-marker", "large"), ("idempotency-key", ticket)];
    let send_large = async |ticket| {
        caller
            .send(Method::POST, LISTINGS, &headers(ticket), &long_body)
            .await
    };
    let kiosk = [
        ("x-marker", "kiosk"),
        ("idempotency-key", at_kiosk.as_str()),
        ("hemlocktack-caller-kind", "kiosk"),
    ];
    assert!(send_large(&large).await.is_answered());
    let first = caller.send(Method::POST, LISTINGS, &kiosk, "").await;
    assert!(first.is_answered(), "{first:?}");
    let changed = DOCUMENT
        .replace("body_limit_bytes = 4096", "body_limit_bytes = 1024")
        .replace("name = \"kiosk\"", "name = \"counter\"");
    let applied = fleet.operator(0, "asha").apply(&changed, 1).await;
    assert_eq!(applied.exit_code, 0, "{applied:?}");
    wait_until("the lower limit is in force", || async {
        let unticketed = caller.send(Method::POST, LISTINGS, &[], &long_body).await;
        unticketed.summary() == "413 not-run body-too-large"
    })
    .await;
    let again = send_large(&large).await;
    assert_eq!(again.summary(), "413 unknown body-too-large");
    assert!(again.ticket.is_none());
    let again = caller.send(Method::POST, LISTINGS, &kiosk, "").await;
    assert_eq!(again.summary(), "400 unknown malformed-request");
    assert!(again.ticket.is_none());
}
