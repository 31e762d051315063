//! Operators' API on the control address: remote procedure calls.
//!
//! `POST /hemlocktack.v1.Operators/{Method}` with a protobuf or JSON body of the schema.
//! Queries are read-only; commands are idempotent.

mod authorise;
mod body;
mod commands;
mod dispatch;
mod failure;
mod fan_out;
mod queries;
mod routes;

pub(crate) use failure::{Failure, Result};
pub(crate) use routes::routes;
