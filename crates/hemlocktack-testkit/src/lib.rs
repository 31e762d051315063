//! Test stand-ins for the platform's object API and for an upstream, and relays that disturb the
//! traffic through them. The stand-ins also run as processes (`examples/`).

mod addresses;
pub mod cut_answers;
mod datagram_relay;
mod http;
pub mod mutated_json;
pub mod platform;
mod relay;
mod server;
pub mod upstream;

pub use addresses::next_address;
pub use datagram_relay::{DatagramRelay, Loss};
pub use relay::{HeldDirection, Relay, RelayMode};
pub use server::{Error, Result};
