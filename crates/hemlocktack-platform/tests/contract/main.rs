//! Contract of the object API, as its client and the system's objects use it.
#![allow(clippy::unwrap_used)]

mod client;
mod configuration;
mod limits;
mod nodes;
mod support;
