//! Planned stop: this node's tickets go to another node of its service.
//!
//! The promise is kept by `hemlocktack_fleet::handover`; here are its sends.

mod give;
mod take;

pub(crate) use give::{TIME_LIMIT, send_tickets};
pub(crate) use take::receive_frame;
