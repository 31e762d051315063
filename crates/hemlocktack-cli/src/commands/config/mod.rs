//! Commands that change the configuration.

pub(crate) mod apply;
