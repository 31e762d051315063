//! Membership, one node at a time.

#![allow(clippy::unwrap_used)]

mod addresses;
mod datagrams;
mod malformed_datagrams;
mod merging;
mod replacement;
mod restart;
mod store_contacts;
mod support;
mod urgent_updates;
