//! The life of a node and of the upstream beside it, up to a stop that cuts
//! nothing off.

mod node_lifecycle;
mod upstream_lifecycle;

pub use node_lifecycle::{
    DrainSafeguard, DrainSettings, LifecycleAction, NodeLifecycle, PublishedState,
};
pub use upstream_lifecycle::{Announcement, UpstreamSettings};
