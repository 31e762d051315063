//! Client of the operators' remote procedure calls.

mod client;
pub(crate) mod methods;

pub(crate) use client::Client;
pub(crate) use methods::Method;
