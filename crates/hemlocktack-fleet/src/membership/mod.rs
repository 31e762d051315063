//! Which nodes there are and in what state: a hint that nodes spread among
//! themselves by small probes, with no work that grows with the fleet.

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
