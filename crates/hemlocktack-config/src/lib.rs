//! The operators' configuration document: its format, checks and lookups.
//!
//! `docs/CONFIGURATION.md` describes every field.

mod accounts;
mod bounds;
mod check;
mod diff;
mod document;
mod parse;
mod places;
mod read;
mod routes;
mod table_reader;

pub use accounts::{AccountDirectory, ClientAccount, KeyDigest, Quota, RequestRanks, digest_key};
pub use bounds::{
    ACCOUNT_KEY_LIMIT, ACCOUNT_LIMIT, ATTEMPT_LIMIT, BOUNDS, Bound, CALLER_KIND_LIMIT, CLASS_LIMIT,
    CLIENT_BODY_LIMIT_BYTES, DOCUMENT_LIMIT_BYTES, HEAD_LIMIT_BYTES, NAME_LIMIT_BYTES,
    PATH_PREFIX_LIMIT_BYTES, QUOTA_LIMIT, RULE_LIMIT, SERVICE_LIMIT,
};
pub use diff::{Change, diff};
pub use document::{ANY_METHOD, CallerKind, Class, Document, Limits, RequestRule, Service};
pub use parse::{Error, Result, parse};
pub use routes::{ClientLimits, Route, RouteTarget};
