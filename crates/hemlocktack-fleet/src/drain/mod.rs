//! Lifecycle of a node and its upstream, up to a graceful stop.

mod node_lifecycle;
mod upstream_lifecycle;

pub use node_lifecycle::{
    DrainSafeguard, DrainSettings, LifecycleAction, NodeLifecycle, PublishedState,
};
pub use upstream_lifecycle::{Announcement, UpstreamSettings};
