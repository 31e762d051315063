//! Which other nodes there are: gossip with them, and the platform's records
//! as a way to find the first ones.

mod counts;
mod gossip;
mod records;

use std::sync::Arc;
use std::time::Duration;

pub(crate) use counts::GossipCounts;

use crate::node::Node;
use crate::run::Result;

/// Longest that a leaving node takes to say so.
const FAREWELL_LIMIT: Duration = Duration::from_secs(1);
/// The same where the process is ended by force soon.
const SHORT_FAREWELL_LIMIT: Duration = Duration::from_millis(300);

/// Starts to gossip and to publish this node.
pub(crate) async fn start(node: &Arc<Node>) -> Result<()> {
    gossip::start(node).await?;
    tokio::spawn(records::keep(node.clone()));
    Ok(())
}

/// Waits until members have been told that this node has left, and withdraws
/// its record.
pub(crate) async fn announce_departure(node: &Node) {
    let told = node.signals.leave_announced.notified();
    let withdrawn = node.records.withdraw(&node.identity.node_id);
    let both = async { tokio::join!(told, withdrawn) };
    // What others do not hear they find out by probing.
    let limit = match node.adjustable().stop_grace {
        Some(_) => SHORT_FAREWELL_LIMIT,
        None => FAREWELL_LIMIT,
    };
    let _ = tokio::time::timeout(limit, both).await;
}
