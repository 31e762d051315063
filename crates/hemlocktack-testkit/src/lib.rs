//! Small stand-ins for tests: the platform's object API, an upstream, and a
//! relay that cuts connections. Each also runs as a process (`examples/`).

mod http;
pub mod platform;
mod relay;
mod server;
pub mod upstream;

pub use relay::Relay;
pub use server::{Error, Result};
