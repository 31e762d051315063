//! Settings of `hemlocktackd` from flags, environment variables and a settings file.

mod support;

use std::io::Write;
use std::process::{Command, Output};

use support::{COMPLETE, RunningNode};

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

/// An operator gets five settings wrong. Reported one at a time, they would cost six attempts to
/// start. A key must not end up in a log.
#[test]
fn all_faults_are_reported_at_once_without_secrets() {
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
fn a_start_without_settings_lists_all_required_ones() {
    let output = run(&[], &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert_eq!(standard_error(&output).lines().count(), COMPLETE.len());
}

#[test]
fn an_unknown_flag_is_refused() {
    let output = run(&["--colour"], &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}

fn settings_file(text: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("it is written");
    file
}

fn file_flag(file: &tempfile::NamedTempFile) -> String {
    format!("--settings-file={}", file.path().display())
}

/// A deployment provides all settings in one file and sets no environment variable.
#[test]
fn all_settings_may_come_from_a_file() {
    let as_line = |flag: &&str| {
        let (name, value) = flag
            .trim_start_matches("--")
            .split_once('=')
            .expect("a flag");
        let name = name.replace('-', "_").to_uppercase();
        format!("HEMLOCKTACK_{name}={value}\n")
    };
    let lines: String = COMPLETE.iter().map(as_line).collect();
    let file = settings_file(&format!("# one node\n\n{lines}"));
    let output = run(&[&file_flag(&file), "--check"], &[]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// A value given by hand overrides the file.
#[test]
fn flags_and_the_environment_override_the_file() {
    let file = settings_file("HEMLOCKTACK_NODE=not a name\nHEMLOCKTACK_REGION=nor this\n");
    let mut arguments = COMPLETE.to_vec();
    let flag = file_flag(&file);
    arguments.extend([flag.as_str(), "--check"]);
    let output = run(&arguments, &[("HEMLOCKTACK_REGION", "kolkata")]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// Each invalid line of a file is reported with its number, and its content only where that is
/// the name of a setting.
#[test]
fn faults_of_the_file_are_reported_with_their_line() {
    let file = settings_file("HEMLOCKTACK_NODE=a\nnonsense\n\nHEMLOCKTACK_NODE=b\nCOLOUR=red\n");
    let mut arguments = COMPLETE.to_vec();
    let flag = file_flag(&file);
    arguments.extend([flag.as_str(), "--check"]);
    let output = run(&arguments, &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let reported = standard_error(&output).replace(&file.path().display().to_string(), "FILE");
    insta::assert_snapshot!(reported);
}

/// A line in another format, or a lost line break, puts the fleet key where a name or another
/// value is expected. Guards against logging it as the invalid name or value.
#[test]
fn a_secret_in_the_wrong_place_is_not_logged() {
    const SECRET: &str = "c2VjcmV0IG9mIGFsbCBub2Rlcw";
    let cases = [
        (":1: ", format!("HEMLOCKTACK_FLEET_KEY: {SECRET}==")),
        (":1: ", format!("{SECRET}=HEMLOCKTACK_FLEET_KEY")),
        (
            "--region: ",
            format!("HEMLOCKTACK_REGION=kolkata HEMLOCKTACK_FLEET_KEY={SECRET}"),
        ),
        (
            "--seed-peers: ",
            format!("HEMLOCKTACK_SEED_PEERS=127.0.0.1:6,HEMLOCKTACK_FLEET_KEY={SECRET}=="),
        ),
    ];
    for (place, line) in cases {
        let file = settings_file(&line);
        let mut arguments = COMPLETE.to_vec();
        let flag = file_flag(&file);
        arguments.extend([flag.as_str(), "--check"]);
        let output = run(&arguments, &[]);
        assert_eq!(output.status.code(), Some(2), "{line}: {output:?}");
        let reported = standard_error(&output);
        assert!(
            reported.contains(place) && !reported.contains(SECRET),
            "{reported}"
        );
    }
}

#[test]
fn a_missing_settings_file_is_a_fault() {
    let mut arguments = COMPLETE.to_vec();
    arguments.extend(["--settings-file=/nowhere/at/all", "--check"]);
    let output = run(&arguments, &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(standard_error(&output).contains("/nowhere/at/all"));
}

/// A platform may write a count as a fraction (`57.0`); anything that is not a count fails the
/// start.
#[test]
fn a_count_may_be_written_as_a_fraction() {
    let code = |given: &str| {
        let flag = format!("--retries-beside-share={given}");
        let mut arguments = COMPLETE.to_vec();
        arguments.extend(["--check", &flag]);
        run(&arguments, &[]).status.code()
    };
    assert_eq!(["57", "57.0", "0"].map(code), [Some(0); 3]);
    assert_eq!(["-1", "many", "NaN"].map(code), [Some(2); 3]);
}

/// Nodes refuse datagrams with a longer name, so a node with such a name would never be known.
#[test]
fn a_name_too_long_for_a_datagram_is_refused() {
    let code = |length: usize| {
        let flag = format!("--node={}", "n".repeat(length));
        let mut arguments = COMPLETE.to_vec();
        arguments[0] = &flag;
        arguments.push("--check");
        run(&arguments, &[]).status.code()
    };
    assert_eq!([128, 129].map(code), [Some(0), Some(2)]);
}

/// The flag names a disk image by mistake. Reading all of it would take the memory that the
/// upstream beside the node needs.
#[test]
fn a_file_too_large_for_settings_is_not_read_whole() {
    const MEMORY_LIMIT_KIB: u64 = 4 << 20;
    let file = tempfile::NamedTempFile::new().expect("a file");
    let size_bytes = 2 * MEMORY_LIMIT_KIB * 1_024;
    file.as_file().set_len(size_bytes).expect("a sparse file");
    let limited = format!("ulimit -v {MEMORY_LIMIT_KIB}; exec \"$0\" \"$@\"");
    let output = Command::new("sh")
        .args(["-c", &limited, env!("CARGO_BIN_EXE_hemlocktackd")])
        .args(COMPLETE)
        .args([&file_flag(&file), "--check"])
        .env_clear()
        .output()
        .expect("the binary runs");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let reported = standard_error(&output);
    assert!(reported.contains("is it a settings file?"), "{reported}");
}

/// Guards against findings on lines of their own: a search of the log for the event would show
/// only the first one.
#[test]
fn findings_of_a_changed_file_are_logged_in_one_line() {
    let mut file = settings_file("# nothing yet\n");
    let node = RunningNode::start(&[&file_flag(&file)]);
    node.line_with("number=101");
    file.write_all(b"COLOUR=red\nnonsense\n")
        .expect("it is written");
    let reported = node.line_with("number=108");
    let faults = [":2: 'COLOUR' is not a setting", ":3: not of the form"];
    assert!(
        faults.iter().all(|fault| reported.contains(fault)),
        "{reported}"
    );
}
