//! The operators' configuration document: its format, checks and lookups.

mod document;
mod parse;

pub use document::{CallerKind, Class, Document, RequestRule, Service};
pub use parse::{Error, Result, parse};
