//! Client of the platform's object API, and the objects that the system keeps there.
//!
//! What the platform gives, and what a caller of the client sees of its
//! faults, is in docs/interfaces/platform.md.

mod backoff;
mod budget;
mod client;
mod configuration;
mod error;
mod exchange;
mod nodes;
mod own_codec;
mod resolve;
mod store_codec;
mod values;

pub use backoff::{Backoff, BackoffSettings};
pub use budget::{Budget, BudgetSettings, PlatformRates, Rate};
pub use client::{Client, ClientSettings, VALUE_LIMIT_BYTES};
pub use configuration::{
    Applied, Change, ConfigurationStore, HISTORY_LENGTH, SeenConfiguration, StoredConfiguration,
};
pub use error::{Effect, Error, Result};
pub use nodes::{NodeRecords, Publication, PublishedNode, PublishedNodes};
pub use own_codec::OWN_CODEC;
pub use store_codec::{ListingPage, Read, StoreCall, StoreCodec, StoreRefusal};
pub use values::{Listing, Object, Revision, Version, Watched, WatchedObject};
