//! Commands, which change the system and are idempotent.

pub(crate) mod config;
pub(crate) mod fleet;
