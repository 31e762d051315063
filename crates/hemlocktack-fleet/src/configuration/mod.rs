//! Which configuration is in force on a node, and how it learns of the next.

mod from_platform;
mod in_force;
mod peer_pulls;
mod platform_calls;
mod settings;
mod watchers;

pub use in_force::{ConfigurationAction, InForce, PeersView};
pub use settings::{ConfigurationSafeguard, ConfigurationSettings};
pub use watchers::watches_platform;
