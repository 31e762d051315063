//! Changes of the settings file.

#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use super::follow_settings;
use crate::run::new_node;
use crate::settings::for_tests;

const NEW_TOKEN: &str = "another-token-for-tests";

/// Guards against a change that is never applied: the file changes after it was loaded at startup
/// and before its follower first runs.
#[tokio::test(start_paused = true)]
async fn a_change_before_the_follower_first_runs_is_applied() {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    let path = file.path().to_str().unwrap().to_owned();
    let settings = for_tests::run_with_flags(&[("--settings-file", &path)]);
    let loaded = &settings.loaded;
    let node = new_node(loaded.settings.clone(), loaded.adjustable.clone()).unwrap();
    let node = Arc::new(node);
    writeln!(file, "HEMLOCKTACK_PREVIOUS_OPERATOR_TOKEN={NEW_TOKEN}").unwrap();
    tokio::spawn(follow_settings(node.clone(), settings));
    tokio::time::sleep(Duration::from_secs(20)).await;
    let token = node.adjustable().previous_operator_token.clone();
    assert_eq!(token.as_deref(), Some(NEW_TOKEN));
}
