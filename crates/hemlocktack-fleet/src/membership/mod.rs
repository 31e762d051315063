//! Membership by gossip: which nodes exist and in what state.
//!
//! The information is a hint that nodes exchange with small probes. The cost per node does not grow
//! with the size of the fleet.

mod datagram;
mod gossip_queue;
mod machine;
mod outgoing;
mod probes;
mod receive;
mod record;
mod settings;
mod table;
mod tick;
mod urgent;

pub use datagram::{DatagramError, open_datagram, seal_datagram};
pub use machine::{Membership, MembershipAction, Peer};
pub use settings::{MembershipSafeguard, MembershipSettings, NODE_ID_LIMIT_BYTES};
