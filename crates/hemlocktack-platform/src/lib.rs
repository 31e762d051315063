//! Client of the platform's object API, and the objects that the system stores there.
//!
//! docs/interfaces/platform.md describes the API and how the client reports its failures.

mod backoff;
mod budget;
mod call_backoffs;
mod client;
mod configuration;
mod eras;
mod error;
mod exchange;
pub mod json_pieces;
mod native_codec;
mod nodes;
mod resolve;
mod store_codec;
mod values;

pub use backoff::{Backoff, BackoffSettings};
pub use budget::{Budget, BudgetSettings, PlatformRates, Rate};
pub use client::{Client, ClientSettings, VALUE_LIMIT_BYTES};
pub use configuration::{
    Applied, Change, ConfigurationSnapshot, ConfigurationStore, HISTORY_LENGTH, StoredConfiguration,
};
pub use eras::{SeenEra, StoreEras};
pub use error::{Effect, Error, Result};
pub use native_codec::NATIVE_CODEC;
pub use nodes::{NodeRecords, Publication, PublishedNode, PublishedNodes, RecordChange};
pub use store_codec::{DecodeResult, ListingPage, StoreCall, StoreCodec, StoreError};
pub use values::{
    Era, Listing, Object, Revision, StoreRevision, Version, WatchResponse, WatchedObject,
};
