//! Discovery of other nodes: gossip, and the platform's node records as initial seeds.

mod counts;
mod gossip;
mod records;

use std::sync::Arc;
use std::time::Duration;

pub(crate) use counts::GossipCounts;

use crate::node::Node;
use crate::run::Result;

/// Longest time that a leaving node spends on announcing its departure.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(1);
/// The same if the process will be killed soon.
const SHORT_DEPARTURE_LIMIT: Duration = Duration::from_millis(300);

/// Starts the gossip and the publication of this node's record.
pub(crate) async fn start(node: &Arc<Node>) -> Result<()> {
    gossip::start(node).await?;
    tokio::spawn(records::maintain(node.clone()));
    Ok(())
}

/// Waits until this node's departure has been announced to members, and withdraws its record.
pub(crate) async fn announce_departure(node: &Node) {
    let announced = node.signals.leave_announced.notified();
    let withdrawn = node.records.withdraw(&node.identity.node_id);
    let both = async { tokio::join!(announced, withdrawn) };
    // Members that miss the announcement detect the departure by probing.
    let limit = match node.adjustable().stop_grace {
        Some(_) => SHORT_DEPARTURE_LIMIT,
        None => DEPARTURE_LIMIT,
    };
    let _ = tokio::time::timeout(limit, both).await;
}
