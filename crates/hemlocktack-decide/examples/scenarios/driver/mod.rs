//! Simulation in virtual time of upstream queues, callers and the decisions between them. There
//! is no network and no cluster: messages only take time.

mod arena;
mod callers;
mod capacity;
mod deployment;
mod entry_side;
mod faults;
mod outcome;
mod scenario;
mod simulation;
mod upstream;
mod upstream_crash;
mod upstream_side;
mod upstream_work;

pub(crate) use capacity::{allowed, with_long_calls};
pub(crate) use deployment::{Deployment, bhadralok, pases_dorados, quickstart};
pub(crate) use outcome::{BIN, Outcomes};
pub(crate) use scenario::{Fault, Policy, Scenario, all_scenarios};
pub(crate) use simulation::run;
