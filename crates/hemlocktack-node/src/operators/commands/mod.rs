//! Commands: they change the system, and repeating one is safe.

pub(super) mod apply_configuration;
pub(super) mod drain_node;
