//! Watching the platform for newer configurations.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_platform::ConfigurationStore;
use hemlocktack_protocol::NodeState;

use crate::node::Node;
use crate::run::Result;

const WATCH_WAIT: Duration = Duration::from_secs(20);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// Starts to watch; the first configuration makes the node ready.
pub(crate) fn start(node: &Arc<Node>) -> Result<()> {
    let store = ConfigurationStore::new(node.platform.clone());
    tokio::spawn(watch(node.clone(), store));
    Ok(())
}

async fn watch(node: Arc<Node>, store: ConfigurationStore) {
    let mut version = 0;
    loop {
        match store.watch_newer(version, WATCH_WAIT).await {
            Ok(Some(stored)) => {
                version = stored.version;
                node.take_configuration(stored.configuration);
                if node.state() == NodeState::Starting && node.configuration_in_force().is_some() {
                    node.set_state(NodeState::Ready);
                }
            }
            Ok(None) => {}
            Err(_) => tokio::time::sleep(PAUSE_AFTER_FAILURE).await,
        }
    }
}
