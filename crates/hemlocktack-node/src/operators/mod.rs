//! Operators' remote procedure calls on the control address.
//!
//! `POST /hemlocktack.v1.Operators/{Method}` with a protobuf or JSON body of
//! the schema. Queries change nothing; commands may be repeated.

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
