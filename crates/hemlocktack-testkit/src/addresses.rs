//! Addresses that nothing else on the machine uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the range that the system gives to outgoing connections.
const FIRST_PORT: u16 = 7_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// A loopback address for a listener of a test.
///
/// Each test process has an IP number of its own, made from its process id: a
/// port that is free when it is chosen is then still free when a child listens
/// on it, however many tests run beside this one.
pub fn next_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 120, middle, low);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::new(IpAddr::V4(ip), port)
}
