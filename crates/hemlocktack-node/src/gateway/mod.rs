//! HTTP towards callers and upstreams of a deployment that speaks an interface
//! of its own.
//!
//! Built on the HTTP library under the web framework of the product's own
//! interface. The framework runs a handler to its end after its caller has
//! gone, and its shutdown cuts kept connections; both are promises here.

mod announcements;
mod caller_socket;
mod classify;
mod connection;
mod headers;
mod lines;
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
