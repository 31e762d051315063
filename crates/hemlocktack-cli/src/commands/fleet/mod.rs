//! Commands that change the state of nodes.

pub(crate) mod drain;
