//! The life of a node and of the upstream beside it, up to a stop that cuts
//! nothing off.

mod life;
mod upstream;

pub use life::{DrainSafeguard, DrainSettings, Life, LifeAction, Publication};
pub use upstream::{Announcement, UpstreamSettings};
