//! Membership, one node at a time.

#![allow(clippy::unwrap_used)]

mod addresses;
mod datagrams;
mod merging;
mod nearly_right;
mod replacement;
mod restart;
mod support;
mod urgent_news;
