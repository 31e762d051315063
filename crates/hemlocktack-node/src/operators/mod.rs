//! Operators' remote procedure calls on the control address.

mod apply_configuration;

pub(crate) use apply_configuration::routes;
