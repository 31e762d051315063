//! Decisions under load: admit, queue, refuse, place, retry, shed.
//!
//! Nothing here does input or output, reads a clock or starts a thread: `now`
//! and random numbers are arguments. README.md shows how a node drives the
//! pieces for one call.

mod admission;
mod edge_budget;
mod edge_budgets;
mod follow;
mod limit;
mod link_watch;
mod mix;
mod moves;
mod objective_limit;
mod offer;
mod peer_load;
mod placement;
mod policy;
mod quarantine;
mod queue;
mod retry;
mod retry_after;
mod sends;
mod shed;
mod suspects;
mod usual_patience;
mod work;

pub use admission::Admission;
pub use edge_budget::{EdgeBudget, RetryStanding};
pub use edge_budgets::{EdgeBudgets, FleetRetries, NodePlace};
pub use limit::{ConcurrencyLimit, LimitPolicy};
pub use link_watch::{LinkStep, LinkWatch, LinkWatchPolicy};
pub use moves::Moves;
pub use objective_limit::ObjectivePolicy;
pub use offer::{CancelResult, Decision, Ended, Offer, Verdict, WorkKind};
pub use peer_load::PeerLoad;
pub use placement::{PlacementPolicy, may_move, place};
pub use policy::{AdmissionPolicy, QueuePolicy};
pub use quarantine::{Quarantine, QuarantinePolicy, Standing, Suspect};
pub use queue::MAX_CLASSES;
pub use retry::{
    Allowance, RetryBudget, RetryPolicy, RetryVerdict, end_of_tries, retry_verdict, share_for_child,
};
pub use retry_after::{RetryAfterPolicy, retry_after, within_objective};
pub use sends::{CallSends, NextStep};
pub use shed::{ChainEdges, EntryShedPolicy, EntryShedder, ShedController, ShedLevel, ShedPolicy};
pub use usual_patience::UsualPatience;
