//! Settings files that change while a node runs.

use std::path::Path;
use std::time::Duration;

use crate::harness::{Fleet, Plan, wait_until};

const OLD_TOKEN: &str = "the operators' token until now";
const NEW_TOKEN: &str = "the operators' token from now on";

fn write_token(path: &Path, token: &str) {
    std::fs::write(
        path,
        format!("HEMLOCKTACK_PREVIOUS_OPERATOR_TOKEN={token}\n"),
    )
    .unwrap();
}

/// HTTP status of an operator call with this token.
async fn status(fleet: &Fleet, token: &str) -> u16 {
    let url = format!(
        "http://{}/hemlocktack.v1.Operators/GetStatus",
        fleet.nodes[0].control
    );
    let call = reqwest::Client::new().post(url).bearer_auth(token);
    let call = call.header("content-type", "application/json").body("{}");
    call.send().await.unwrap().status().as_u16()
}

async fn wait_until_accepted(fleet: &Fleet, token: &str) {
    wait_until("the token is accepted", || async {
        status(fleet, token).await == 200
    })
    .await;
}

/// Starts one node with the old token in its settings file and waits until it is accepted.
async fn start_with_old_token(path: &Path) -> Fleet {
    write_token(path, OLD_TOKEN);
    let flags = vec!["--settings-file".to_owned(), path.display().to_string()];
    let fleet = Fleet::start(&[Plan::new("diaries", 1).with_node_flags(flags)]).await;
    wait_until_accepted(&fleet, OLD_TOKEN).await;
    fleet
}

/// The file changes, once with a signal and once without: the node applies the new token. In
/// between the file is invalid: the node keeps its settings and answers its callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_file_is_applied_and_an_invalid_one_is_not() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("settings.env");
    let fleet = start_with_old_token(&path).await;

    write_token(&path, NEW_TOKEN);
    fleet.nodes[0].process.signal("HUP");
    wait_until_accepted(&fleet, NEW_TOKEN).await;
    assert_eq!(status(&fleet, OLD_TOKEN).await, 401);

    std::fs::write(
        &path,
        "HEMLOCKTACK_PREVIOUS_OPERATOR_TOKEN=short\nand nonsense",
    )
    .unwrap();
    fleet.nodes[0].process.signal("HUP");
    let reply = fleet.caller(0).get("diaries/slots", "after").await;
    assert!(reply.is_answered(), "{reply:?}");
    assert_eq!(status(&fleet, NEW_TOKEN).await, 200);

    write_token(&path, OLD_TOKEN);
    wait_until_accepted(&fleet, OLD_TOKEN).await;
}

/// Most tools rewrite a file by truncating and then writing it, and the node may read it in
/// between. Guards against an empty file that resets all settings until the next read: operator
/// calls with a token that is in both the old and the new file would be refused meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_file_that_is_being_written_is_not_applied() {
    const REWRITES: usize = 5;
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("settings.env");
    let fleet = start_with_old_token(&path).await;
    for _ in 0..REWRITES {
        std::fs::write(&path, "").unwrap();
        fleet.nodes[0].process.signal("HUP");
        tokio::time::sleep(Duration::from_millis(20)).await;
        write_token(&path, OLD_TOKEN);
        for _ in 0..10 {
            assert_eq!(status(&fleet, OLD_TOKEN).await, 200);
        }
    }
}
