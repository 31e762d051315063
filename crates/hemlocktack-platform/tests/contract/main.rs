//! Contract tests of the object API, as the client and the stored objects use it.
#![allow(clippy::unwrap_used)]

mod client;
mod configuration;
mod eras;
mod limits;
mod nodes;
mod support;
