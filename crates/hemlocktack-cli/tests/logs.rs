//! `logs` commands on nodes' logs as log collectors write them.
#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn story(request_id: &str, logs: &str) -> Output {
    read_logs(&["story", request_id], logs.as_bytes())
}

fn read_logs(words: &[&str], logs: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hemlocktack"))
        .arg("logs")
        .args(words)
        .arg("-")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    input.write_all(logs).unwrap();
    drop(input);
    child.wait_with_output().unwrap()
}

/// Lines of two nodes are interleaved, out of order and prefixed by a collector. A child call belongs to
/// its request, a longer id does not. Lines that are not events, or are truncated, are skipped.
#[test]
fn a_story_is_told_in_order_whatever_stands_between() {
    let logs = r#"
12:00 howrah-2 {"timestamp":"2024-02-29T23:59:59.900000Z","level":"INFO","message":"second","number":711,"request_id":"a-1"}
panicked at nothing {of ours}
salt-lake-1 {"timestamp":"2024-03-01T00:00:00.100000Z","level":"INFO","message":"third","number":712,"request_id":"a-1.7"}
howrah-2 {"timestamp":"2024-02-29T23:59:59.899000Z","level":"INFO","message":"first","number":713,"request_id":"a-1"}
howrah-2 {"timestamp":"2024-02-29T23:59:59.899500Z","level":"INFO","message":"another's","number":713,"request_id":"a-10"}
howrah-2 {"timestamp":"2024-02-29T23:59:59.9
"#;
    let output = story("a-1", logs);
    assert!(output.status.success(), "{output:?}");
    insta::assert_snapshot!(String::from_utf8(output.stdout).unwrap());
}

#[test]
fn a_request_without_lines_is_said_to_have_none() {
    let output = story("a-2", "");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.starts_with("no line names this request"), "{text}");
}

#[test]
fn a_log_that_cannot_be_read_is_bad_input() {
    let output = Command::new(env!("CARGO_BIN_EXE_hemlocktack"))
        .args(["logs", "summary", "/nowhere/at/all.log"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("/nowhere/at/all.log"), "{text}");
}

/// One of 40 nodes refuses far more than the others. The fleet's totals come first, then only that
/// node, which forty rows would hide. Invalid UTF-8 of another program must not end the reading.
#[test]
fn a_summary_of_many_nodes_shows_totals_and_those_unlike_the_others() {
    let mut logs: Vec<u8> = (0..40).flat_map(|node| refusals(node, 1)).collect();
    logs.extend(b"\xff\xfe\n");
    logs.extend(refusals(7, 30));
    let shown = read_logs(&["summary"], &logs);
    assert!(shown.status.success(), "{shown:?}");
    insta::assert_snapshot!(String::from_utf8(shown.stdout).unwrap());
    let all = read_logs(&["summary", "--nodes"], &logs);
    let rows = String::from_utf8(all.stdout).unwrap();
    assert_eq!(
        rows.lines().filter(|row| row.starts_with("node-")).count(),
        40
    );
}

/// There are more outliers than are shown. Those left out must be counted as outliers: counted among
/// the other nodes, they would be overlooked.
#[test]
fn nodes_that_stand_out_and_are_not_shown_are_counted_as_such() {
    let logs: Vec<u8> = (0..60)
        .flat_map(|node| refusals(node, if node < 20 { 30 } else { 1 }))
        .collect();
    let shown = read_logs(&["summary"], &logs);
    let text = String::from_utf8(shown.stdout).unwrap();
    let rows = text.lines().filter(|row| row.starts_with("node-")).count();
    assert_eq!(rows, 12);
    assert!(
        text.contains("8 more count more than twice the mean"),
        "{text}"
    );
    assert!(text.contains("40 nodes count less than"), "{text}");
}

/// Returns log lines of one node about requests that it refused.
fn refusals(node: usize, count: usize) -> Vec<u8> {
    let line = format!(
        "node-{node} {{\"timestamp\":\"2024-03-01T00:00:00.100000Z\",\"number\":713,\
         \"outcome\":\"not-run\",\"reason\":\"shed\"}}\n"
    );
    line.repeat(count).into_bytes()
}
