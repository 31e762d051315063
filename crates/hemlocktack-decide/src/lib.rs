//! Overload decisions: admission, queueing, refusal, placement, retries and load shedding.
//!
//! This crate does no input or output, reads no clock and starts no threads: the current time
//! and random numbers are arguments. README.md shows how a node uses the components for one
//! call.

pub mod accounts;
mod admission;
mod answer_sizes;
mod body_budget;
mod caller_timeout;
mod edge_budget;
mod edge_budgets;
mod limit;
mod link_monitor;
mod mix;
mod moves;
mod notice_book;
mod objective_limit;
mod offer;
mod peer_load;
mod placement;
mod policy;
mod prior_work_losses;
mod quarantine;
mod queue;
mod rate_limiter;
mod retry;
mod retry_after;
mod retry_threshold;
mod returned_callers;
mod run_profiles;
mod sends;
mod shed;
mod slowness;
mod suspects;
mod upstream_notices;
mod upstream_state;
mod work;

pub use admission::Admission;
pub use answer_sizes::AnswerSizes;
pub use body_budget::{
    BodyBudget, BodyBudgetPolicy, BodyClaim, BodyDecision, BodyId, BodyOwner, BodyPool,
    SMALL_BODY_BYTES, WaitEnd,
};
pub use caller_timeout::CallerTimeoutEstimator;
pub use edge_budget::{EdgeRetryBudget, RetryPriority, ScarcityChange};
pub use edge_budgets::{EdgeRetryBudgets, FleetRetryLimits, NodePosition};
pub use limit::{ConcurrencyLimit, LimitPolicy};
pub use link_monitor::{LinkAction, LinkMonitor, LinkMonitorPolicy};
pub use moves::MoveCounter;
pub use notice_book::NoticeBook;
pub use objective_limit::ObjectiveLimitPolicy;
pub use offer::{AdmissionDecision, CancelResult, OfferedCall, QueueDecision, RunResult, WorkKind};
pub use peer_load::PeerLoad;
pub use placement::{PlacementPolicy, keeps_large_body, may_move, place};
pub use policy::{AdmissionPolicy, QueuePolicy};
pub use quarantine::{Quarantine, QuarantinePolicy, QuarantineStatus, Suspect};
pub use queue::MAX_CLASSES;
pub use retry::{
    RetryAllowance, RetryBudget, RetryDecision, RetryPolicy, combined_outcome, decide_retry,
    share_for_child,
};
pub use retry_after::{RetryAfterPolicy, cap_to_objective, retry_after};
pub use returned_callers::{draw_root_request_id, has_returned_on_time};
pub use run_profiles::{ChildCallCounts, RunProfiles};
pub use sends::{CallSends, NextStep};
pub use shed::{ChainEdges, EntryShedPolicy, EntryShedder, ShedController, ShedLevel, ShedPolicy};
pub use upstream_notices::{
    AdoptedNotice, HeardNotice, NoticeChanges, NoticeSafeguard, RateLimitChange, UpstreamStart,
};
