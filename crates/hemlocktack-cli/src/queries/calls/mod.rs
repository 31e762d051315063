//! Queries about single calls.

pub(crate) mod explain;
