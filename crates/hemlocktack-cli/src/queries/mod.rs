//! Queries, which are read-only.

pub(crate) mod calls;
pub(crate) mod config;
pub(crate) mod fleet;
pub(crate) mod logs;
