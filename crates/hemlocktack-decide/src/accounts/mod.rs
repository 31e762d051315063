//! Recognises the client account of a request that enters the fleet.

mod identity;

pub use identity::{IdentityDecision, IdentityPolicy, KeyCheck, decide_identity};
