//! Queries: they change nothing.

pub(crate) mod calls;
pub(crate) mod config;
pub(crate) mod fleet;
pub(crate) mod logs;
