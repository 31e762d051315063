//! Small stand-ins for tests: the platform's object API, an upstream, and
//! relays that disturb what goes through them. Each also runs as a process (`examples/`).

mod addresses;
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
