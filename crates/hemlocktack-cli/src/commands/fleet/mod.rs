//! Commands on nodes.

pub(crate) mod drain;
