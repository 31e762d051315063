//! Commands on the configuration.

pub(crate) mod apply;
