//! Nodes as they publish themselves in the platform.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_platform::NodeRecords;

use crate::node::Node;
use crate::run::Result;

const REFRESH: Duration = Duration::from_secs(1);

/// Publishes this node and keeps the list of the others up to date.
pub(crate) async fn start(node: &Arc<Node>) -> Result<()> {
    let records = NodeRecords::new(node.platform.clone());
    tokio::spawn(refresh(node.clone(), records));
    Ok(())
}

async fn refresh(node: Arc<Node>, records: NodeRecords) {
    let mut published = None;
    loop {
        let own = node.own_member();
        if published.as_ref() != Some(&own) && records.publish(&own).await.is_ok() {
            published = Some(own);
        }
        if let Ok(listed) = records.list().await {
            node.set_members(
                listed
                    .nodes
                    .into_iter()
                    .map(|listed| listed.member)
                    .collect(),
            );
        }
        tokio::time::sleep(REFRESH).await;
    }
}
