//! Takes over changed settings while the node runs.

use std::sync::Arc;
use std::time::Duration;

use hemlocktack_telemetry::{Event, log_event};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::node::Node;
use crate::settings::{FileContents, LoadedSettings, Sources};

/// How often the settings file is compared with what was read last: a change
/// without a signal is in force about as soon as a new configuration.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Reads the settings again at SIGHUP and when their file has changed, for as
/// long as the process lives.
///
/// Failure: the platform tells all nodes that a settings file has changed, and
/// the default of the signal ends them with their callers' requests. A file
/// that cannot be used leaves what is in force.
pub(crate) async fn follow_settings(node: Arc<Node>, sources: Sources, mut loaded: LoadedSettings) {
    let Ok(mut reload) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut contents = sources.file_contents();
    loop {
        let is_asked = is_asked(&mut reload).await;
        let now = sources.file_contents();
        if !is_asked && now == contents {
            continue;
        }
        contents = now;
        if says_nothing(&contents) {
            let faults = "the file is empty, as while it is being written";
            log_event!(Event::SettingsFaulty, faults);
            continue;
        }
        match sources.read(contents.clone()) {
            Ok(read) => {
                adopt(&node, &read, &loaded);
                loaded = read;
            }
            Err(error) => {
                let faults = error.in_one_line();
                log_event!(Event::SettingsFaulty, faults);
            }
        }
    }
}

/// Failure: a tool cuts the file to nothing and then writes it, and the node looks
/// in between. Symptom: an empty file passes for settings that say nothing, and
/// operators are refused until the next look. A file of a few hundred bytes is
/// written in one piece, and whoever wants no setting in it can leave a comment, so
/// it is enough to pass over an empty one.
fn says_nothing(contents: &FileContents) -> bool {
    matches!(contents, Some(Ok(bytes)) if bytes.trim_ascii().is_empty())
}

/// Whether the signal came before the next look was due.
async fn is_asked(reload: &mut Signal) -> bool {
    tokio::select! {
        _ = reload.recv() => true,
        () = tokio::time::sleep(LOOK_EVERY) => false,
    }
}

fn adopt(node: &Node, read: &LoadedSettings, before: &LoadedSettings) {
    node.adjust(&read.adjustable);
    let changes = read.changes_since(before);
    log_event!(
        Event::SettingsReloaded,
        adjusted = changes.adjusted.join(","),
        deferred = changes.deferred.join(",")
    );
}
