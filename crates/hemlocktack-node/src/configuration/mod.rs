//! Which configuration is in force.

mod relay;
mod watch;

pub(crate) use relay::newer_than;
pub(crate) use watch::start;
