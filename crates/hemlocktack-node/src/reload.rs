//! Takes over changed settings while the node runs.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_telemetry::{Event, log_event};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::node::Node;
use crate::settings::{Loaded, Sources};

/// How often the settings file is compared with what was read last: a change
/// without a signal is in force about as soon as a new configuration.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Reads the settings again at SIGHUP and when their file has changed, for as
/// long as the process lives.
///
/// Failure: the platform tells all nodes that a settings file has changed, and
/// the default of the signal ends them with their callers' requests. A file
/// that cannot be used leaves what is in force.
pub(crate) async fn follow_settings(node: Arc<Node>, sources: Sources, mut loaded: Loaded) {
    let Ok(mut reload) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut bytes = sources.file_bytes();
    loop {
        let is_asked = is_asked(&mut reload).await;
        let now = sources.file_bytes();
        if !is_asked && now == bytes {
            continue;
        }
        bytes = now;
        match sources.read() {
            Ok(read) => {
                adopt(&node, &read, &loaded);
                loaded = read;
            }
            Err(faults) => log_event!(Event::SettingsFaulty, %faults),
        }
    }
}

/// Whether the signal came before the next look was due.
async fn is_asked(reload: &mut Signal) -> bool {
    tokio::select! {
        _ = reload.recv() => true,
        () = tokio::time::sleep(LOOK_EVERY) => false,
    }
}

fn adopt(node: &Node, read: &Loaded, before: &Loaded) {
    node.adjust(&read.adjustable);
    let changes = read.changes_since(before);
    log_event!(
        Event::SettingsReloaded,
        adjusted = changes.adjusted.join(","),
        deferred = changes.deferred.join(",")
    );
}
