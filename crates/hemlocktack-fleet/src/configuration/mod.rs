//! The active configuration of a node, and how the node learns of a newer one.

mod from_platform;
mod peer_pulls;
mod platform_calls;
mod settings;
mod state;
mod store_contact;
mod watchers;

pub use settings::{ConfigurationSafeguard, ConfigurationSettings};
pub use state::{ConfigurationAction, ConfigurationState, PeerView};
pub use store_contact::{StoreContactSettings, StoreContactState, StoreContactView};
pub use watchers::{StoreCandidate, platform_watchers, store_watchers, watches_platform};
