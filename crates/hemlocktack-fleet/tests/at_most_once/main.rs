//! At-most-once execution: keys, tickets, the home's ticket table, lost links and handover.

#![allow(clippy::unwrap_used)]

mod arrivals;
mod children;
mod decoders;
mod handover;
mod keys;
mod pending_calls;
mod properties;
mod table;
mod ticket;

use std::sync::Arc;

use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::keys::FleetKeys;
use hemlocktack_fleet::tickets::{TableLimits, Ticket, TicketTable};
use hemlocktack_protocol::Answer;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

const KEY: &[u8] = b"a fleet key for tests";
const OTHER_KEY: &[u8] = b"another key for tests";
const SERVICE: &str = "bookings";
const FINGERPRINT: u64 = 0xf1;

// Every run has the same cases, and therefore the same result.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn keys() -> FleetKeys {
    FleetKeys::new(KEY, None).unwrap()
}

fn home() -> NodeIncarnation {
    NodeIncarnation::new("salt-lake-1", 7)
}

fn peer(node_id: &str) -> NodeIncarnation {
    NodeIncarnation::new(node_id, 9)
}

fn table() -> TicketTable {
    TicketTable::new("salt-lake-1", 7, TableLimits::default())
}

fn ticket(nonce: u128) -> Ticket {
    Ticket::issue(&keys(), SERVICE.into(), home(), 1, nonce).unwrap()
}

fn answer(body: &'static str) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        body: body.into(),
        ..Answer::default()
    })
}
