//! HTTP server for deployments whose callers and upstreams use a wire format of
//! their own.
//!
//! Uses hyper directly instead of the web framework behind the native interface:
//! the framework keeps running a handler after its caller has disconnected, and its
//! shutdown cuts keep-alive connections. The gateway guarantees neither happens.

mod announcements;
mod caller_socket;
mod classify;
mod connection;
mod headers;
mod look_ahead;
mod request_log;
mod requests;
mod server;
mod start;
#[cfg(test)]
mod tests;
mod tracked_body;
mod unread_body;

pub(crate) use headers::forwarded_headers;
pub(crate) use server::close;
pub(crate) use start::start;
