//! Opens the gateway's listeners.

use std::net::SocketAddr;
use std::sync::Arc;

use hemlocktack_interface::Interface;

use super::{announcements, requests, server};
use crate::node::Node;
use crate::run::{Result, listen};

/// Listens for callers, announcements and readiness probes.
pub(crate) async fn start(node: &Arc<Node>, interface: Interface) -> Result<()> {
    let settings = &node.settings;
    let callers = listen(settings.caller_address).await?;
    let handle = move |node, request| requests::answer(node, interface, request);
    tokio::spawn(server::serve(
        node.clone(),
        callers,
        handle,
        Some(interface),
    ));
    for address in probe_addresses(settings.announce_address, settings.readiness_address) {
        let listener = listen(address).await?;
        let handle = move |node, request| announcements::answer(node, interface, request);
        tokio::spawn(server::serve(node.clone(), listener, handle, None));
    }
    tokio::spawn(announcements::discover_upstream(node.clone(), interface));
    Ok(())
}

/// Returns the distinct addresses for announcements and readiness probes, which may be
/// the same.
fn probe_addresses(
    announce: Option<SocketAddr>,
    readiness: Option<SocketAddr>,
) -> impl Iterator<Item = SocketAddr> {
    let readiness = readiness.filter(|readiness| Some(*readiness) != announce);
    announce.into_iter().chain(readiness)
}
