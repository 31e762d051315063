//! Queries, which are read-only.

pub(super) mod check_configuration;
pub(super) mod explain_call;
pub(super) mod get_status;
pub(super) mod list_configuration_history;
pub(super) mod list_nodes;
pub(super) mod list_upstreams;
pub(super) mod show_configuration;
