//! Reloads changed settings while the node runs.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_telemetry::{Event, log_event};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::node::Node;
use crate::settings::{FileContents, LoadedSettings, RunSettings};

/// How often the settings file is compared with what was last read. With this interval a
/// change without a signal takes effect about as soon as a new configuration does.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads the settings on SIGHUP and whenever their file has changed, for the lifetime
/// of the process. An invalid file leaves the current settings unchanged.
///
/// Handling SIGHUP matters: platforms send it to all nodes when a settings file changes,
/// and its default action would terminate the process with its callers' requests.
///
/// The file is compared with the contents that were loaded at startup. Read again here for the
/// comparison, it may have changed since, and that change would never be applied.
pub(crate) async fn follow_settings(node: Arc<Node>, settings: RunSettings) {
    let RunSettings {
        mut loaded,
        file_contents: mut contents,
        sources,
    } = settings;
    let Ok(mut reload) = signal(SignalKind::hangup()) else {
        return;
    };
    loop {
        let is_signalled = wait_for_signal(&mut reload).await;
        let current = sources.file_contents();
        if !is_signalled && current == contents {
            continue;
        }
        contents = current;
        if is_blank(&contents) {
            let faults = "the file is empty; it may be in the middle of being written";
            log_event!(Event::SettingsFaulty, faults);
            continue;
        }
        match sources.read(contents.clone()) {
            Ok(reloaded) => {
                apply(&node, &reloaded, &loaded);
                loaded = reloaded;
            }
            Err(error) => {
                let faults = error.to_line();
                log_event!(Event::SettingsFaulty, faults);
            }
        }
    }
}

/// Returns whether the file has no content at all; such a file is ignored.
///
/// A tool may truncate the file before it writes it, and the node may read it in between.
/// Taken as valid, the empty file would remove all settings in it, and operators would be
/// refused until the next poll. Ignoring empty files is enough, because a few hundred bytes
/// are written in one call; a file without settings can contain a comment instead.
fn is_blank(contents: &FileContents) -> bool {
    matches!(contents, Some(Ok(bytes)) if bytes.trim_ascii().is_empty())
}

/// Waits for SIGHUP or the next poll; returns whether the signal came first.
async fn wait_for_signal(reload: &mut Signal) -> bool {
    tokio::select! {
        _ = reload.recv() => true,
        () = tokio::time::sleep(POLL_INTERVAL) => false,
    }
}

fn apply(node: &Node, reloaded: &LoadedSettings, before: &LoadedSettings) {
    node.apply_settings(&reloaded.adjustable);
    let changes = reloaded.changes_since(before);
    log_event!(
        Event::SettingsReloaded,
        adjusted = changes.adjusted.join(","),
        deferred = changes.deferred.join(",")
    );
}
