//! Which configuration is in force.

mod follow;
mod relay;

pub(crate) use follow::{Event, start};
pub(crate) use relay::answer_pull;
