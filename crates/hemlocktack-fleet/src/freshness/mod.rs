//! Proof that the active configuration was the newest one a short while ago.
//!
//! A key that operators take away must stop working at every node within a bounded time, also at
//! one that reaches nobody. So a node admits requests with keys only while it holds a recent proof.
//! A few nodes of each data centre get theirs from the platform's store, the others from those
//! nodes. A proof is dated by the moment at which it was asked for, on the asking node's own clock:
//! the answer was given later, whatever time it took, so no clocks have to agree.

mod proof;
mod settings;
mod state;

pub use proof::FreshnessProof;
pub use settings::{FreshnessSafeguard, FreshnessSettings};
pub use state::{FreshnessAction, FreshnessSources, FreshnessState};
