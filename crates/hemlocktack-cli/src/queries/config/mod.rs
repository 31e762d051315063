//! Queries about the configuration.

pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod history;
pub(crate) mod new_key;
pub(crate) mod show;
