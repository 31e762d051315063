//! Which configuration is in force on a node, and how it learns of the next.

mod from_platform;
mod peer_pulls;
mod platform_calls;
mod settings;
mod state;
mod watchers;

pub use settings::{ConfigurationSafeguard, ConfigurationSettings};
pub use state::{ConfigurationAction, ConfigurationState, PeerView};
pub use watchers::watches_platform;
