//! Settings of `hemlocktackd`, as an operator gives them.

use std::process::{Command, Output};

const COMPLETE: [&str; 10] = [
    "--node=listings-1",
    "--service=listings",
    "--data-centre=salt-lake",
    "--caller-address=127.0.0.1:1",
    "--control-address=127.0.0.1:2",
    "--link-address=127.0.0.1:3",
    "--gossip-address=127.0.0.1:4",
    "--platform-url=http://127.0.0.1:5",
    "--fleet-key=a fleet key for tests, long enough",
    "--operator-token=a token for tests",
];

fn run(arguments: &[&str], environment: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hemlocktackd"))
        .args(arguments)
        .env_clear()
        .envs(environment.iter().copied())
        .output()
        .expect("the binary runs")
}

fn standard_error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn complete_settings_pass_the_check() {
    let mut arguments = COMPLETE.to_vec();
    arguments.push("--check");
    let output = run(&arguments, &[]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn a_setting_may_come_from_the_environment() {
    let mut arguments = COMPLETE[1..].to_vec();
    arguments.push("--check");
    let output = run(&arguments, &[("HEMLOCKTACK_NODE", "listings-1")]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// An operator gets five settings wrong. Told one at a time, the start would
/// have to be tried six times; and a key must not end up in a log.
#[test]
fn all_faults_are_told_at_once_and_no_secret() {
    let mut arguments = COMPLETE.to_vec();
    arguments.extend(["--check", "stray"]);
    arguments[5] = "--link-address=nowhere";
    arguments[7] = "--platform-url=ftp://127.0.0.1";
    arguments[8] = "--fleet-key=hush";
    arguments.push("--drain-limit-ms=soon");
    let output = run(&arguments, &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    insta::assert_snapshot!(standard_error(&output));
    assert!(!standard_error(&output).contains("hush"));
}

#[test]
fn nothing_given_names_all_that_is_required() {
    let output = run(&[], &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert_eq!(standard_error(&output).lines().count(), COMPLETE.len());
}

#[test]
fn an_unknown_flag_is_refused() {
    let output = run(&["--colour"], &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}
