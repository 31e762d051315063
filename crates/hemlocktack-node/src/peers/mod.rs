//! Which other nodes there are.

mod seen_in_platform;

pub(crate) use seen_in_platform::start;
