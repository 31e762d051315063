//! Commands. They change the system and are idempotent.

pub(super) mod apply_configuration;
pub(super) mod drain_node;
