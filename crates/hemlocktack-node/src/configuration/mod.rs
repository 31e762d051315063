//! Which configuration is in force, and operators' changes to it.

mod apply;
mod relay;
mod watch;

pub(crate) use apply::{ApplyError, apply};
pub(crate) use relay::newer_than;
pub(crate) use watch::start;
