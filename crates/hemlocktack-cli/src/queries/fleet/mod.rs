//! Queries about nodes and upstreams.

pub(crate) mod nodes;
pub(crate) mod status;
mod summary;
pub(crate) mod upstreams;
