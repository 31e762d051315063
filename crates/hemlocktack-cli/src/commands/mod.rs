//! Commands: they change the system, and repeating one is safe.

pub(crate) mod config;
pub(crate) mod fleet;
